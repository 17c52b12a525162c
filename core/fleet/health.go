package fleet

import (
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

// MarkLost makes an upstream unavailable until it registers a new start or is marked as recovered.
func (d *Directory) MarkLost(id ids.VM, started int64, now time.Time) {
	u, known := d.upstreams[id]
	if !known || u.Started != started {
		return
	}
	if u.lostAt.IsZero() && now.Sub(u.suspectedAt) > suspicionTTL {
		d.recordLoss(u.Domain, now)
	}
	if u.lostAt.IsZero() {
		d.changed()
	}
	u.lostAt = now
	u.probedAt = now
}

func (d *Directory) recordLoss(domain ids.FailureDomain, now time.Time) {
	recent := slices.DeleteFunc(d.losses[domain], func(t time.Time) bool { return now.Sub(t) > domainWindow })
	if len(recent) == 0 {
		d.lossBegan[domain] = now
	}
	d.losses[domain] = append(recent, now)
}

// SuspectedByDomain reports whether an upstream is to be avoided for no other reason than that others of its failure domain were lost.
func (d *Directory) SuspectedByDomain(u Upstream, now time.Time) bool {
	own := !u.lostAt.IsZero() || now.Sub(u.suspectedAt) <= suspicionTTL && !u.answeredAt.After(u.suspectedAt)
	return !own && d.IsSuspected(u, now)
}

// Outlived reports whether an upstream has answered after others of its failure domain were lost. Losses are noticed one after the other
// for seconds, but what has answered since the first one was not lost with them.
func (d *Directory) Outlived(u Upstream) bool {
	return u.answeredAt.After(d.lossBegan[u.Domain].Add(answerDelay))
}

// ClaimCheck reports whether an upstream that is suspected with its failure domain is to be asked whether it is alive, and records that it
// is being asked.
func (d *Directory) ClaimCheck(id ids.VM, now time.Time) bool {
	u, known := d.upstreams[id]
	if !known || now.Sub(u.checkedAt) < checkInterval {
		return false
	}
	u.checkedAt = now
	return true
}

// MarkSuspected records another router's report that an upstream is unreachable, and reports whether the suspicion is new.
func (d *Directory) MarkSuspected(id ids.VM, started int64, now time.Time) bool {
	u, known := d.upstreams[id]
	if !known || u.Started != started || !u.lostAt.IsZero() {
		return false
	}
	fresh := now.Sub(u.suspectedAt) > suspicionTTL
	u.suspectedAt = now
	if fresh {
		d.recordLoss(u.Domain, now)
	}
	return fresh
}

// IsLost reports whether an upstream is unavailable because it was found unreachable.
func (d *Directory) IsLost(id ids.VM, started int64) bool {
	u, known := d.upstreams[id]
	return known && u.Started == started && !u.lostAt.IsZero()
}

// MarkRecovered makes an upstream available again.
func (d *Directory) MarkRecovered(id ids.VM, started int64) {
	if u, known := d.upstreams[id]; known && u.Started == started {
		d.changed()
		u.lostAt = time.Time{}
		u.suspectedAt = time.Time{}
	}
}

// IsSuspected reports whether an upstream should be avoided because it, or its failure domain, is lost or suspected.
func (d *Directory) IsSuspected(u Upstream, now time.Time) bool {
	if !u.lostAt.IsZero() || now.Sub(u.suspectedAt) <= suspicionTTL && !u.answeredAt.After(u.suspectedAt) {
		return true
	}
	return d.DomainSuspected(u.Domain, now) && !u.answeredAt.After(d.lastLoss(u.Domain))
}

// DomainSuspected reports whether several upstreams of a failure domain were lost within a short time. While the store is
// unreachable, the suspicion lasts until its recovery: upstreams that have restarted can register only then.
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
	return n >= domainLossThreshold
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

// NextProbe returns the unavailable upstream whose last probe is the longest ago, and records a probe of it now.
func (d *Directory) NextProbe(now time.Time) (Upstream, bool) {
	var next *Upstream
	interval := probeInterval
	if d.storeDown {
		interval = outageProbeInterval
	}
	for _, u := range d.upstreams {
		if u.lostAt.IsZero() || now.Sub(u.probedAt) < interval {
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
