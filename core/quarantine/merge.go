package quarantine

import (
	"cmp"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

// Merge takes over another router's report, also an empty one, and returns the decisions that follow from it. A report may
// arrive more than once and in any order.
func (q *Quarantine) Merge(router ids.VM, r Report, now time.Time) []Change {
	if router == q.router {
		return nil
	}
	q.peers[router] = now
	if r.IsEmpty() {
		return nil
	}
	return q.merge(r, source{router: router}, now)
}

// MergeStored takes over a snapshot, whose times are less exact than those that are known already.
func (q *Quarantine) MergeStored(r Report, now time.Time) []Change {
	return q.merge(r, source{stored: true}, now)
}

// source tells where a report comes from: from another router or from the store.
type source struct {
	router ids.VM
	stored bool
}

func (s source) reason() string {
	if s.stored {
		return "kept in the store"
	}
	return "reported by another router"
}

// crash returns a reported crash.
func (s source) crash(r CrashReport, now time.Time) Crash {
	return Crash{
		Parts: slices.Clone(r.Parts[:min(len(r.Parts), maxCrashParts)]), Upstream: r.Upstream, Started: r.Started,
		Router: cmp.Or(r.Router, s.router), At: now.Add(-max(0, r.Age)), stored: s.stored,
	}
}

func (q *Quarantine) merge(r Report, from source, now time.Time) []Change {
	q.start(now)
	q.forget(now)
	affected := false
	for _, s := range r.Sound[:min(len(r.Sound), maxReportSound)] {
		affected = q.addSound(s.Part, now.Add(-max(0, s.Age)), false) || affected
	}
	var out []Change
	for _, b := range r.Breakers[:min(len(r.Breakers), maxReportBreakers)] {
		if b.Released {
			affected = q.addSound(b.Part, now.Add(-max(0, b.ReleasedAge)), false) || affected
		}
		if c, changed := q.mergeBreaker(from, b, now); changed {
			out = append(out, c)
		}
	}
	var added []Crash
	for _, c := range r.Crashes[:min(len(r.Crashes), maxReportCrashes)] {
		crash := from.crash(c, now)
		if q.evidence.addCrash(crash, now) {
			added = append(added, crash)
		}
	}
	for _, c := range added {
		out = append(out, q.renew(c, now)...)
	}
	out = append(out, q.releaseSound(now)...)
	if affected || len(added) > 0 || len(out) > 0 {
		out = append(out, q.assess(now)...)
	}
	return out
}

// mergeBreaker takes over the state of a breaker. A later epoch replaces an earlier one; within an epoch a release prevails,
// and the earliest times, since transport only makes reports look younger.
func (q *Quarantine) mergeBreaker(from source, r BreakerReport, now time.Time) (Change, bool) {
	reported := &breaker{
		part: r.Part, epoch: r.Epoch, openedAt: now.Add(-max(0, r.Age)), openFor: min(max(0, r.OpenFor), maxOpenTime),
		crashes: r.Crashes, stored: from.stored,
		alternatives: slices.Clone(r.Alternatives[:min(len(r.Alternatives), maxReportAlternatives)]),
	}
	if from.router != "" {
		reported.routers = []ids.VM{from.router}
	}
	if r.Released {
		reported.releasedAt = now.Add(-max(0, r.ReleasedAge))
	}
	if now.Sub(reported.until()) > breakerMemory {
		return Change{}, false
	}
	b := q.breakers[r.Part]
	if b == nil || b.epoch < r.Epoch {
		stood := b != nil && b.standing()
		if !q.put(reported) {
			return Change{}, false
		}
		switch {
		case reported.standing():
			return reported.change(Opened, from.reason(), nil, now), true
		case stood:
			return reported.change(Released, from.reason(), nil, now), true
		}
		return Change{}, false
	}
	if b.epoch > r.Epoch {
		return Change{}, false
	}
	b.mergeTimes(reported)
	b.crashes = max(b.crashes, reported.crashes)
	if reported.standing() {
		return Change{}, false
	}
	if b.standing() {
		b.release(reported.releasedAt)
		return b.change(Released, from.reason(), nil, now), true
	}
	if !from.stored && reported.releasedAt.Before(b.releasedAt) {
		b.releasedAt = reported.releasedAt
	}
	return Change{}, false
}

// mergeTimes takes over the times of a report on the same epoch. The earliest ones of other routers prevail, and any of them over
// those of a snapshot.
func (b *breaker) mergeTimes(reported *breaker) {
	if reported.stored {
		return
	}
	if b.stored || reported.openedAt.Before(b.openedAt) {
		b.openedAt = reported.openedAt
	}
	b.stored = false
	b.openFor = min(b.openFor, reported.openFor)
}

func comparePart(a, b Part) int { return cmp.Compare(a, b) }
