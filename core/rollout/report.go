package rollout

import (
	"maps"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
)

// Class tells the versions of a rollout apart. The values are used on the wire.
type Class uint8

// Classes of versions.
const (
	// ClassOther is a version that is neither in service nor ordered.
	ClassOther Class = iota
	// ClassOld is a version that is in service.
	ClassOld
	// ClassNew is the version that an order under way names.
	ClassNew
)

const (
	// maxReportCells and maxReportDurations bound a report.
	maxReportCells     = 1024
	maxReportDurations = 1024
)

// Report is what a router tells the others about the rollout of a service. Counts are cumulative since the router saw the order, so that a
// report replaces the earlier ones of the same start of the router, and a lost one does no harm.
type Report struct {
	Service ids.Service
	Router  ids.VM
	// Started distinguishes one start of the router from the next.
	Started int64
	// Sequence orders the reports of one start.
	Sequence uint64
	Order    store.Revision
	To       Version
	// Elapsed is the time since any router that the sender has heard of saw the order.
	Elapsed time.Duration
	// Verdict is the highest verdict that the sender knows for the order.
	Verdict Verdict
	Cells   []Cell
	// Durations is the histogram of the old versions' answers.
	Durations []DurationCount
}

// Cell holds the counts of one class of versions on a route at one upstream. Upstreams at which no router has seen a bad answer are counted
// together in a cell of their failure domain, whose Upstream is empty.
type Cell struct {
	Route    Route
	Class    Class
	Domain   ids.FailureDomain
	Upstream ids.VM
	Counts
}

// Counts are cumulative counts.
type Counts struct {
	// Requests are the requests of callers, Sent all attempts.
	Requests, Sent uint32
	// Answers are those that say something about the version, and Bad those of them that failed or were slow.
	Answers, Bad uint32
}

// DurationCount is the number of answers on a route whose duration lies in a bucket of a logarithmic scale.
type DurationCount struct {
	Route  Route
	Bucket uint8
	Count  uint32
}

// Report returns what to tell the other routers now, and false without an order.
func (t *Tracker) Report(now time.Time) (Report, bool) {
	if t.order == nil {
		return Report{}, false
	}
	t.countOverdue(now)
	t.assess(now)
	t.sequence++
	r := Report{
		Service: t.service, Router: t.router, Started: t.started, Sequence: t.sequence, Order: t.order.Revision, To: t.order.To,
		Elapsed: t.Elapsed(now), Verdict: t.verdict, Durations: t.counts.ownDurations(),
	}
	if !t.verdict.written() {
		r.Cells = t.counts.ownCells()
	} else {
		r.Durations = nil
	}
	return r, true
}

// Merge records the report of another router. It reports whether it has changed the verdict that this router knows.
func (t *Tracker) Merge(r Report, now time.Time) bool {
	t.Hear(now)
	if r.Router == t.router || t.order == nil || (orderKey{r.Order.Count(), r.To}) != t.rollout {
		return false
	}
	t.moveOrderAt(now.Add(-max(0, r.Elapsed)))
	if !t.verdict.written() {
		t.counts.merge(r, t.Elapsed(now))
	}
	before := t.verdict
	if recorded := t.current(); !t.verdict.written() && r.Verdict > t.verdict && r.Verdict <= WrittenCompleted &&
		(recorded == nil || !recorded.Phase.Final()) {
		t.verdict, t.reason = r.Verdict, "told by "+string(r.Router)
	}
	if t.verdict == before {
		return false
	}
	t.refresh()
	return true
}

// ownCells returns this router's cells, with the upstreams at which no bad answer was seen summed up by failure domain.
func (c *counts) ownCells() []Cell {
	sums := map[cellKey]Counts{}
	for k, n := range c.own {
		if !c.suspects[k.upstream] {
			k.upstream = ""
		}
		sums[k] = sums[k].plus(*n)
	}
	out := make([]Cell, 0, len(sums))
	for _, k := range slices.SortedFunc(maps.Keys(sums), cellKey.compare) {
		out = append(out, Cell{k.route, k.class, k.domain, k.upstream, sums[k]})
	}
	return out[:min(len(out), maxReportCells)]
}

func (c *counts) ownDurations() []DurationCount {
	var out []DurationCount
	for _, route := range slices.Sorted(maps.Keys(c.ownHistogram)) {
		for b, n := range c.ownHistogram[route] {
			if n > 0 {
				out = append(out, DurationCount{route, uint8(b), uint32(n)})
			}
		}
	}
	return out[:min(len(out), maxReportDurations)]
}
