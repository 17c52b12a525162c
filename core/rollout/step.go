package rollout

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// refreshTime is the least time between two records that differ in their counts only.
	refreshTime = 2 * time.Second
	// shareStep is the relative change of the share from which a record is written.
	shareStep = 0.25
)

// Fleet is what the leader knows about the upstreams of the service.
type Fleet struct {
	// OldRunning is the number of requests that run on upstreams of the old versions, as told by all routers.
	OldRunning int
	// New and Old are the registered upstreams of the order's version and of those in service.
	New, Old Presence
	// InService are the versions in service before the order, for the first record.
	InService []Version
	// Forbidden are versions that the previous record has forbidden.
	Forbidden []Version
}

// Decision tells the leader what to do with the record that [Step] returns.
type Decision struct {
	// Write means that the record and its status are to be written in one transaction, on condition that the leader's key, the order and the
	// record are as they were when they were read.
	Write bool
	// Reason is for the log.
	Reason    string
	Judgement Judgement
}

// Step returns the next record of an order. prev is the record in the store, nil if there is none for the order. It is a pure function:
// a leader that has lost its role computes a record that the store then refuses.
func Step(s Settings, prev *Record, o Order, e Evidence, f Fleet) (Record, Decision) {
	d := Decision{Judgement: Judge(e)}
	next := Record{
		Order: o.Revision, To: o.To, From: f.InService, Phase: Canary, RolledBack: f.Forbidden, Elapsed: e.Elapsed, Since: e.Elapsed,
		UsableAt: unusable, Reason: "ordered",
	}
	if prev != nil {
		next = *prev
		next.Order, next.Elapsed = o.Revision, max(e.Elapsed, prev.Elapsed)
	}
	if next.Phase.Final() {
		return next, d
	}
	next.Requests, next.Exposed = max(next.Requests, e.Requests), max(next.Exposed, e.Exposed)
	next.Proven = next.Proven || d.Judgement.Sound
	if next.UsableAt == unusable && f.New.Upstreams > 0 {
		next.UsableAt = next.Elapsed
	}
	phase, reason := s.nextPhase(next, o, e, f, d.Judgement)
	if phase != next.Phase {
		next.Phase, next.Since, next.Reason = phase, next.Elapsed, reason
	}
	if next.Phase.Final() && !e.Settled && !e.Verdict.written() {
		// Another router may know a verdict that the store has lost.
		if prev != nil {
			next = *prev
		}
		return next, d
	}
	next.Share = s.nextShare(next, o, e, f, d.Judgement)
	d.Write, d.Reason = differs(prev, next)
	return next, d
}

// differs reports whether a record is to be written, and why.
func differs(prev *Record, next Record) (bool, string) {
	switch {
	case prev == nil:
		return true, next.Reason
	case prev.Phase != next.Phase:
		return true, next.Reason
	case prev.Proven != next.Proven:
		return true, "the version has passed the canary"
	case math.Abs(float64(next.Share-prev.Share)) > shareStep*float64(max(prev.Share, 0.01)):
		return true, fmt.Sprintf("share %.2f after %.2f", next.Share, prev.Share)
	case prev.Order != next.Order || prev.UsableAt != next.UsableAt:
		return true, "the order's revision or the first upstream's time has changed"
	case next.Elapsed-prev.Elapsed >= refreshTime && next.Requests > prev.Requests:
		return true, "counts"
	}
	return false, ""
}

// nextPhase returns the phase that follows, and why.
func (s Settings) nextPhase(r Record, o Order, e Evidence, f Fleet, j Judgement) (Phase, string) {
	switch e.Verdict {
	case WrittenCompleted:
		return Completed, "verdict known to a router"
	case WrittenRolledBack:
		return RolledBack, "verdict known to a router"
	case Rejected:
		return RolledBack, e.Reason
	case Undecided:
	}
	if j.Bad {
		return RolledBack, j.String()
	}
	if !slices.ContainsFunc(r.From, func(v Version) bool { return v != r.To }) && f.Old.Upstreams == 0 {
		if f.New.Upstreams > 0 || slices.Contains(r.From, r.To) {
			return Completed, "the version is the one in service"
		}
		return r.Phase, r.Reason
	}
	if r.UsableAt == unusable {
		if e.Elapsed >= o.Duration-min(2*time.Second, o.Duration/5) {
			return RolledBack, "the version has no upstream"
		}
		return r.Phase, r.Reason
	}
	return s.advance(r, newPlan(o.Duration, r.UsableAt, e.LongestMedian), e, f, j)
}

// advance returns the phase that follows by the plan.
func (s Settings) advance(r Record, p plan, e Evidence, f Fleet, j Judgement) (Phase, string) {
	usable := f.New.Upstreams > 0
	clean := !j.Doubtful
	switch r.Phase {
	case Canary:
		if e.Elapsed >= p.rampAt && usable && clean && (r.Proven || j.LogRatio <= 0 && s.affordable(e, requestRate(e)) >= rampFirst) {
			return Ramp, j.String()
		}
		return s.timeOver(r, p, e, usable, j)
	case Ramp:
		if e.Elapsed >= p.handoverAt && usable && clean && f.enough() {
			return Handover, j.String()
		}
		return s.timeOver(r, p, e, usable, j)
	case Handover:
		if e.Elapsed < p.completeAt || e.Elapsed-r.Since < p.minHandover {
			return Handover, r.Reason
		}
		switch doubt := j.Doubtful || !usable; {
		case e.Elapsed < p.lastAt && (f.OldRunning > 0 || doubt || j.Suspicion >= controlAt):
			return Handover, r.Reason
		case doubt:
			return RolledBack, "time is over: " + j.String()
		default:
			return Completed, j.String()
		}
	case Completed, RolledBack:
	}
	return r.Phase, r.Reason
}

// timeOver decides a rollout whose time for the handover has come before its version was proven.
func (s Settings) timeOver(r Record, p plan, e Evidence, usable bool, j Judgement) (Phase, string) {
	latest := p.handoverAt + (p.completeAt-p.handoverAt)/2
	if e.Elapsed < latest {
		return r.Phase, r.Reason
	}
	if j.Doubtful || !usable {
		return RolledBack, "time is over: " + j.String()
	}
	return Handover, "time is nearly over: " + j.String()
}

// enough reports whether the new upstreams can take all requests.
func (f Fleet) enough() bool {
	if f.New.Slots == 0 || f.Old.Slots == 0 {
		return f.New.Upstreams > 0
	}
	return 2*f.New.Slots >= f.Old.Slots
}

// nextShare returns the share for a record's phase.
func (s Settings) nextShare(r Record, o Order, e Evidence, f Fleet, j Judgement) Share {
	if r.UsableAt == unusable {
		return 0
	}
	p := newPlan(o.Duration, r.UsableAt, e.LongestMedian)
	switch r.Phase {
	case Canary:
		return s.canaryShare(e, p, j)
	case Ramp:
		share := s.rampShare(e, p, r)
		if !f.enough() || j.Suspicion > 0 {
			share = min(share, max(r.Share, rampFirst))
		}
		return share
	case Handover, Completed:
		return 1
	case RolledBack:
	}
	return 0
}

// Step returns the next record of the order, and whether the leader is to write it. There is nothing to write without an
// order, and before any upstream is known.
func (t *Tracker) Step(oldRunning int, now time.Time) (Record, Decision) {
	if t.order == nil || len(t.present) == 0 || t.record != nil && !t.record.For(*t.order) && t.record.Order > t.order.Revision {
		return Record{}, Decision{}
	}
	f := Fleet{OldRunning: oldRunning}
	for _, p := range t.present {
		if p.Version == t.order.To {
			f.New = p
		} else if t.policy.class(p.Version) == ClassOld {
			f.Old.Upstreams += p.Upstreams
			f.Old.Slots += p.Slots
		}
	}
	prev := t.current()
	if prev == nil {
		f.InService = t.serviceVersions()
		if t.record != nil {
			f.Forbidden = slices.DeleteFunc(t.record.forbidden(), func(v Version) bool { return v == t.order.To })
		}
		if len(f.InService) != 1 {
			f.InService = without(f.InService, t.order.To)
		}
	}
	t.countOverdue(now)
	t.assess(now)
	return Step(t.settings, prev, *t.order, t.Evidence(now), f)
}
