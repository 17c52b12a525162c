package fleet

import (
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

// MarkLost takes an upstream out of use until it registers a new start or is found again.
func (d *Directory) MarkLost(id ids.VM, started int64, now time.Time) {
	u, known := d.upstreams[id]
	if !known || u.Started != started {
		return
	}
	if u.lostAt.IsZero() && now.Sub(u.doubtedAt) > doubtTime {
		d.countLoss(u.Domain, now)
	}
	u.lostAt = now
	u.probedAt = now
}

func (d *Directory) countLoss(domain ids.FailureDomain, now time.Time) {
	recent := slices.DeleteFunc(d.losses[domain], func(t time.Time) bool { return now.Sub(t) > domainWindow })
	d.losses[domain] = append(recent, now)
}

// MarkSuspected notes that another router found an upstream unreachable, and tells whether that is news.
func (d *Directory) MarkSuspected(id ids.VM, started int64, now time.Time) bool {
	u, known := d.upstreams[id]
	if !known || u.Started != started || !u.lostAt.IsZero() {
		return false
	}
	fresh := now.Sub(u.doubtedAt) > doubtTime
	u.doubtedAt = now
	if fresh {
		d.countLoss(u.Domain, now)
	}
	return fresh
}

// IsLost tells whether an upstream is out of use since it was found unreachable.
func (d *Directory) IsLost(id ids.VM, started int64) bool {
	u, known := d.upstreams[id]
	return known && u.Started == started && !u.lostAt.IsZero()
}

// MarkRecovered puts an upstream back in use.
func (d *Directory) MarkRecovered(id ids.VM, started int64) {
	if u, known := d.upstreams[id]; known && u.Started == started {
		u.lostAt = time.Time{}
		u.doubtedAt = time.Time{}
	}
}

// Doubtful tells whether an upstream is better not given work: it, or its failure domain, seems to be lost.
func (d *Directory) IsSuspected(u Upstream, now time.Time) bool {
	if !u.lostAt.IsZero() || now.Sub(u.doubtedAt) <= doubtTime && !u.provedAt.After(u.doubtedAt) {
		return true
	}
	return d.DomainSuspected(u.Domain, now) && !u.provedAt.After(d.lastLoss(u.Domain))
}

// DomainSuspected tells that several upstreams of a failure domain were lost within a short time. While the store is away, that
// holds until its return: those that have started anew are registered only then.
func (d *Directory) DomainSuspected(domain ids.FailureDomain, now time.Time) bool {
	if d.storeDown {
		now = d.lastLoss(domain)
	}
	n := 0
	for _, t := range d.losses[domain] {
		if now.Sub(t) <= domainWindow {
			n++
		}
	}
	return n >= domainLosses
}

func (d *Directory) lastLoss(domain ids.FailureDomain) time.Time {
	var last time.Time
	for _, t := range d.losses[domain] {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// AdoptID takes the name that an upstream's address now answers to, when it cannot have gone to another service yet: addresses
// are used again only a while after their upstream has ended, and it has answered since. It returns whether that holds.
func (d *Directory) AdoptID(old, name ids.VM, now time.Time, reuse time.Duration) bool {
	u, known := d.upstreams[old]
	if !known || name == "" || name == old || now.Sub(u.provedAt) > reuse-adoptMargin {
		return false
	}
	return d.Rename(old, name, now)
}

// Rename takes another router's word on the name that an upstream's address answers to.
func (d *Directory) Rename(old, name ids.VM, now time.Time) bool {
	u, known := d.upstreams[old]
	if _, taken := d.upstreams[name]; !known || taken || u.Draining {
		return false
	}
	e := u.Entry
	e.ID = name
	e.Started = 0
	delete(d.upstreams, old)
	d.upstreams[name] = &Upstream{Entry: e, provedAt: now}
	return true
}

// RecordAnswer notes that an upstream has answered a request.
func (d *Directory) RecordAnswer(id ids.VM, now time.Time) {
	if u, known := d.upstreams[id]; known && now.After(u.provedAt) {
		u.provedAt = now
	}
}

// NextProbe returns the upstream that has been out of use longest without a probe, and notes the probe.
func (d *Directory) NextProbe(now time.Time) (Upstream, bool) {
	var next *Upstream
	pause := probePause
	if d.storeDown {
		pause = awayProbePause
	}
	for _, u := range d.upstreams {
		if u.lostAt.IsZero() || now.Sub(u.probedAt) < pause {
			continue
		}
		if next == nil || u.probedAt.Before(next.probedAt) {
			next = u
		}
	}
	if next == nil {
		return Upstream{}, false
	}
	next.probedAt = now
	return *next, true
}
