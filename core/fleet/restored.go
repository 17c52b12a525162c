package fleet

import (
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
)

const (
	// departureLifetime is how long it is remembered that an upstream has left the store, and maxDepartures the number of upstreams for which
	// it is. A copy of the store is some seconds old.
	departureLifetime = time.Minute
	maxDepartures     = 4096
	// returnDelay is how long an entry that only an older copy has brought back must stand until the upstream counts as present: the entries
	// of upstreams that have left expire within it.
	returnDelay = 5 * time.Second
)

// departure is the last entry of an upstream that has left the store.
type departure struct {
	Entry
	era store.Era
	at  time.Time
}

// returnedEntry is an entry that an older copy of the store has brought back.
type returnedEntry struct {
	Entry
	era store.Era
	at  time.Time
}

// precedes reports whether an entry was written before another one of the same upstream.
func (e Entry) precedes(other Entry) bool {
	if e.Started != other.Started {
		return e.Started < other.Started
	}
	return e.Seq < other.Seq
}

// outdates reports whether an entry is older than the known one, although it was read in a later era of the store.
func (u *Upstream) outdates(e Entry, era store.Era) bool { return era > u.era && e.precedes(u.Entry) }

// StoreRestored records that the store has returned from an older copy. Upstreams whose entries are missing there have the time to write
// them again that they have after an outage.
func (d *Directory) StoreRestored(now time.Time) { d.storeRecoveredAt = now }

// depart deletes an upstream that has left the store, and remembers its entry.
func (d *Directory) depart(u *Upstream, now time.Time) {
	d.remove(u.ID)
	for id, gone := range d.departed {
		if now.Sub(gone.at) > departureLifetime || len(d.departed) >= maxDepartures {
			delete(d.departed, id)
		}
	}
	d.departed[u.ID] = departure{u.Entry, u.era, now}
}

// HasLeft reports whether an upstream has left the store lately with the given start.
func (d *Directory) HasLeft(id ids.VM, started int64) bool {
	gone, left := d.departed[id]
	return left && gone.Started == started
}

// holdBack reports whether an entry is one with which an upstream had left before the store returned from an older copy.
func (d *Directory) holdBack(e Entry, era store.Era, now time.Time) bool {
	gone, known := d.departed[e.ID]
	if !known || era <= gone.era || now.Sub(gone.at) > departureLifetime || gone.precedes(e) {
		return false
	}
	d.returned[e.ID] = returnedEntry{e, era, now}
	return true
}

// AdmitReturned adds the upstreams whose entries an older copy of the store has brought back and that have not left it again, and returns
// them.
func (d *Directory) AdmitReturned(now time.Time) []Entry {
	var out []Entry
	for id, r := range d.returned {
		if now.Sub(r.at) < returnDelay {
			continue
		}
		e, gone := r.Entry, d.departed[id]
		e.Draining = e.Draining || gone.Draining && gone.Started == e.Started
		delete(d.departed, id)
		if d.Put(e, r.era, now) {
			out = append(out, e)
		}
	}
	return out
}
