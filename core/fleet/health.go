package fleet

import (
	"slices"
	"time"

	"bilberrylug.dev/core/boottime"
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
	d.losses[domain] = append(recent, now)
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

// Exchange is a request and its answer, which was given at some time between the two: it may have waited on the way or, while
// this machine stood still, in its socket.
type Exchange struct{ Sent, Read boottime.Instant }

// AdoptID renames an upstream to the ID that its address has answered an exchange with, and reports whether it did. It refuses when
// the address may already belong to another service: an address is reused no sooner than the reuse time after its upstream has
// ended, so the upstream must have been alive within that time.
func (d *Directory) AdoptID(old Upstream, newID ids.VM, x Exchange, now time.Time, reuse time.Duration) bool {
	u := d.current(old)
	if u == nil || newID == "" || newID == old.ID || u.aliveAt == 0 || x.Read.Sub(u.aliveAt) > reuse-adoptMargin {
		return false
	}
	if !d.Rename(old.ID, newID, now) {
		return false
	}
	d.upstreams[newID].aliveAt = x.Sent
	return true
}

// current returns the entry of the same start of an upstream at the same address, or nil.
func (d *Directory) current(u Upstream) *Upstream {
	if c, known := d.upstreams[u.ID]; known && c.Started == u.Started && c.Address == u.Address {
		return c
	}
	return nil
}

// Rename applies another router's report of the ID that an upstream's address answers with, and reports whether it did. When the
// upstream was alive under that ID is not known then.
func (d *Directory) Rename(oldID, newID ids.VM, now time.Time) bool {
	u, known := d.upstreams[oldID]
	if _, exists := d.upstreams[newID]; !known || exists || u.Draining {
		return false
	}
	e := u.Entry
	e.ID = newID
	e.Started = 0
	d.remove(oldID)
	d.add(&Upstream{Entry: e, answeredAt: now})
	return true
}

// RecordAnswer records that an upstream has answered a request that was sent at one time, and that its answer was read at another.
func (d *Directory) RecordAnswer(from Upstream, sent boottime.Instant, read time.Time) {
	u := d.current(from)
	if u == nil {
		return
	}
	u.aliveAt = max(u.aliveAt, sent)
	if read.After(u.answeredAt) {
		u.answeredAt = read
	}
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
