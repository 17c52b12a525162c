package fleet

import (
	"time"

	"bilberrylug.dev/core/boottime"
	"bilberrylug.dev/core/ids"
)

const (
	// confirmInterval is how often an upstream is asked for its ID while the store may be away. An upstream that crashes for a second
	// is then known to have been alive shortly before, and its next ID soon after: both within the reuse time of addresses.
	confirmInterval = 200 * time.Millisecond
	// silentInterval is how often one is asked that has not answered the last time.
	silentInterval = 100 * time.Millisecond
	// replacedLifetime is how long an upstream is remembered whose address answers with another ID, and maxReplaced the number of
	// them: another router may know more of it.
	replacedLifetime = 5 * time.Second
	maxReplaced      = 1024
)

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
	if !known {
		u = d.replaced[oldID]
		if u == nil || now.Sub(u.replacedAt) > replacedLifetime {
			return false
		}
		if _, taken := d.byAddress[u.Address]; taken {
			return false
		}
	}
	if _, exists := d.upstreams[newID]; exists || u.Draining {
		return false
	}
	e := u.Entry
	e.ID = newID
	e.Started = 0
	d.remove(oldID)
	delete(d.replaced, oldID)
	d.add(&Upstream{Entry: e, answeredAt: now, seenAt: now})
	return true
}

// RecordAnswer records that an upstream has answered a request that was sent at one time, and that its answer was read at another.
func (d *Directory) RecordAnswer(from Upstream, sent boottime.Instant, read time.Time) {
	u := d.current(from)
	if u == nil {
		return
	}
	u.aliveAt = max(u.aliveAt, sent)
	u.silent = false
	if read.After(u.answeredAt) {
		u.answeredAt = read
	}
}

// MayAdopt reports whether an upstream was alive so lately that the address cannot belong to another service yet.
func (d *Directory) MayAdopt(id ids.VM, now boottime.Instant, reuse time.Duration) bool {
	u, known := d.upstreams[id]
	return known && u.aliveAt != 0 && now.Sub(u.aliveAt) <= reuse-adoptMargin
}

// Forget deletes an upstream whose address now answers as another upstream.
func (d *Directory) Forget(id ids.VM, started int64, now time.Time) {
	u, known := d.upstreams[id]
	if !known || u.Started != started {
		return
	}
	d.remove(id)
	for id, old := range d.replaced {
		if now.Sub(old.replacedAt) > replacedLifetime || len(d.replaced) >= maxReplaced {
			delete(d.replaced, id)
		}
	}
	u.replacedAt = now
	d.replaced[id] = u
}

// RecordSilence records that an upstream has not answered when it was asked for its ID.
func (d *Directory) RecordSilence(asked Upstream) {
	if u := d.current(asked); u != nil {
		u.silent = true
	}
}

// DueForConfirmation returns the upstreams that are to be asked for their IDs now, of those for which owned returns true. It counts
// them as asked.
func (d *Directory) DueForConfirmation(now time.Time, owned func(id ids.VM) bool) []Upstream {
	var out []Upstream
	for id, u := range d.upstreams {
		interval := confirmInterval
		if u.silent {
			interval = silentInterval
		}
		if u.Draining || now.Sub(u.askedAt) < interval {
			continue
		}
		u.askedAt = now
		if owned(id) {
			out = append(out, *u)
		}
	}
	return out
}
