package rollout

import (
	"slices"
	"time"
)

// policy tells which versions may get requests. It is not changed after it was built.
type policy struct {
	// running means that an order is under way whose version has the class New.
	running bool
	to      Version
	phase   Phase
	proven  bool
	share   Share
	// inService are the versions in service. Empty means all but forbidden ones, and but the new one while an order runs.
	inService []Version
	forbidden []Version
}

// refresh builds the policy from the order, the record and the verdict.
func (t *Tracker) refresh() {
	p := &policy{inService: t.serviceVersions()}
	if t.record != nil {
		p.forbidden = t.record.forbidden()
	}
	if o := t.order; o != nil && (t.record == nil || t.record.For(*o) || o.Revision > t.record.Order) {
		t.applyOrder(p, o.To)
	}
	t.policy = p
}

func (t *Tracker) applyOrder(p *policy, to Version) {
	p.to = to
	p.forbidden = slices.DeleteFunc(p.forbidden, func(v Version) bool { return v == to })
	r := t.current()
	switch t.verdict {
	case WrittenCompleted:
		p.inService = []Version{to}
		return
	case Rejected, WrittenRolledBack:
		p.inService = without(p.inService, to)
		p.forbidden = append(p.forbidden, to)
		return
	case Undecided:
	}
	if slices.Contains(p.inService, to) && len(p.inService) == 1 {
		return
	}
	p.running = true
	p.inService = without(p.inService, to)
	if r != nil {
		p.phase, p.proven, p.share = r.Phase, r.Proven, r.Share
	}
}

func without(list []Version, v Version) []Version {
	return slices.DeleteFunc(slices.Clone(list), func(x Version) bool { return x == v })
}

func (p *policy) class(v Version) Class {
	switch {
	case p.running && v == p.to:
		return ClassNew
	case slices.Contains(p.forbidden, v):
		return ClassOther
	case len(p.inService) == 0 || slices.Contains(p.inService, v):
		return ClassOld
	}
	return ClassOther
}

// mayReplace reports whether the new version may get requests for which no old upstream is left.
func (p *policy) mayReplace() bool { return p.phase == Handover || p.phase == Ramp && p.proven }

// Choice tells which versions a request may go to. It stays valid when the tracker changes, and is safe for concurrent use.
type Choice struct {
	policy *policy
	// class is the class of the preferred versions.
	class Class
}

// Preferred reports whether the request should go to an upstream of a version.
func (c Choice) Preferred(v Version) bool { return c.policy.class(v) == c.class }

// Fallback reports whether the request may go to an upstream of a version if no preferred version has an upstream.
func (c Choice) Fallback(v Version) bool {
	p := c.policy
	switch p.class(v) {
	case ClassNew:
		return c.class == ClassNew || p.mayReplace()
	case ClassOld:
		return true
	case ClassOther:
	}
	return !p.running && !slices.Contains(p.forbidden, v)
}

// New reports whether the request should go to the new version.
func (c Choice) New() bool { return c.class == ClassNew }

// Choose returns the versions for a request with a random number from 0 up to but not including 1. All attempts of one request should use
// the same number.
func (t *Tracker) Choose(draw float64, now time.Time) Choice {
	if draw < float64(t.Share(now)) {
		return Choice{t.policy, ClassNew}
	}
	return Choice{t.policy, ClassOld}
}

// Allowed reports whether a version may get any request now.
func (t *Tracker) Allowed(v Version, now time.Time) bool {
	switch t.policy.class(v) {
	case ClassNew:
		return t.Share(now) > 0 || t.policy.mayReplace()
	case ClassOld:
		return true
	case ClassOther:
	}
	return false
}

// Class returns the class of a version at present.
func (t *Tracker) Class(v Version) Class { return t.policy.class(v) }

// Share returns the share of the requests that this router sends to the new version now. It is zero without an order under way.
func (t *Tracker) Share(now time.Time) Share {
	p := t.policy
	if !p.running || p.share == 0 || t.isolated(now) {
		return 0
	}
	if p.phase == Handover && t.suspicious {
		return min(p.share, comparedShare)
	}
	if p.proven || p.share <= t.settings.ExposeShare {
		return p.share
	}
	if t.exposure() >= t.settings.bound(t.counts.requests(), guardSlack) {
		return t.settings.ExposeShare / 2
	}
	return p.share
}
