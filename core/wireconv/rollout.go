package wireconv

import (
	"math"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/rollout"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/core/wire"
)

// maxBuckets bounds the buckets of a histogram of durations that are taken from the wire.
const maxBuckets = math.MaxUint8 + 1

// RolloutToWire converts a report on a rollout to its wire message. The sender is part of the update that holds the message.
func RolloutToWire(r rollout.Report) *wire.RolloutReport {
	out := &wire.RolloutReport{
		Service: string(r.Service), Started: r.Started, Sequence: r.Sequence, Order: uint64(r.Order), To: string(r.To),
		ElapsedMs: milliseconds(r.Elapsed), Verdict: uint32(r.Verdict),
	}
	for _, c := range r.Cells {
		out.Cells = append(out.Cells, &wire.RolloutCell{
			Route: string(c.Route), Class: uint32(c.Class), FailureDomain: string(c.Domain), Upstream: string(c.Upstream),
			Requests: c.Requests, Sent: c.Sent, Answers: c.Answers, Bad: c.Bad,
		})
	}
	for _, d := range r.Durations {
		last := len(out.Durations) - 1
		if last < 0 || out.Durations[last].GetRoute() != string(d.Route) ||
			out.Durations[last].GetFirst()+uint32(len(out.Durations[last].GetCounts())) != uint32(d.Bucket) {
			out.Durations = append(out.Durations, &wire.RolloutDurations{Route: string(d.Route), First: uint32(d.Bucket)})
			last++
		}
		out.Durations[last].Counts = append(out.Durations[last].Counts, d.Count)
	}
	return out
}

// RolloutFromWire converts a report of a router on a rollout from its wire message. Values out of range are left out.
func RolloutFromWire(sender ids.VM, m *wire.RolloutReport) rollout.Report {
	out := rollout.Report{
		Service: ids.Service(m.GetService()), Router: sender, Started: m.GetStarted(), Sequence: m.GetSequence(),
		Order: store.Revision(m.GetOrder()), To: rollout.Version(m.GetTo()), Elapsed: duration(m.GetElapsedMs()),
	}
	if v := m.GetVerdict(); v <= uint32(rollout.WrittenCompleted) {
		out.Verdict = rollout.Verdict(v)
	}
	for _, c := range m.GetCells() {
		if c.GetClass() > uint32(rollout.ClassNew) {
			continue
		}
		out.Cells = append(out.Cells, rollout.Cell{
			Route: rollout.Route(c.GetRoute()), Class: rollout.Class(c.GetClass()), Domain: ids.FailureDomain(c.GetFailureDomain()),
			Upstream: ids.VM(c.GetUpstream()),
			Counts:   rollout.Counts{Requests: c.GetRequests(), Sent: c.GetSent(), Answers: c.GetAnswers(), Bad: c.GetBad()},
		})
	}
	for _, d := range m.GetDurations() {
		for i, n := range d.GetCounts() {
			bucket := uint64(d.GetFirst()) + uint64(i)
			if bucket < maxBuckets {
				out.Durations = append(out.Durations, rollout.DurationCount{Route: rollout.Route(d.GetRoute()), Bucket: uint8(bucket), Count: n})
			}
		}
	}
	return out
}
