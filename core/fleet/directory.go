// Package fleet knows the upstreams of all services: what they registered, and what the router has seen of them since.
//
// # Usage
//
//	d := fleet.New(2*time.Second)
//	d.Put(entry, now)
//	for _, u := range d.Usable("lug-pool", now) { ... }
//	d.Lost(u.ID, u.Started, now) // no answer: out of use until it registers anew or a probe succeeds
package fleet

import (
	"slices"
	"strings"
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// domainWindow is the time in which losses in one failure domain count together.
	domainWindow = time.Second
	// domainLosses is the number of upstreams lost together that puts their failure domain under suspicion.
	domainLosses = 2
	// doubtTime is how long another router's word on a loss counts, unless the upstream answers before: a crashed one
	// registers its next start by then.
	doubtTime = 3 * time.Second
	// adoptMargin covers the way of the last answer and of the probe.
	adoptMargin = 200 * time.Millisecond
	// awayProbePause is the least time between the probes of one upstream while the store is away: its next start is found
	// by them alone.
	awayProbePause = 200 * time.Millisecond
	// probePause is the least time between the probes of an upstream that is out of use.
	probePause = time.Second
)

// Upstream is one registered upstream.
type Upstream struct {
	Entry
	// lostAt is when it was last found unreachable, zero when it is in use.
	lostAt time.Time
	// doubtedAt is when another router last found it unreachable.
	doubtedAt time.Time
	// provedAt is when it last answered a request.
	provedAt time.Time
	// probedAt is when it was last probed while it was out of use.
	probedAt time.Time
	// missingSince is when its entry vanished while the store may have dropped living entries.
	missingSince time.Time
}

// Directory holds the upstreams. It is not safe for concurrent use.
type Directory struct {
	// returnTime is how long a living upstream may take to register anew after the store's return.
	returnTime time.Duration
	upstreams  map[ids.VM]*Upstream
	losses     map[ids.FailureDomain][]time.Time
	// storeBack is when the store was reached again, zero before the first failure.
	storeBack time.Time
	storeDown bool
}

// New returns an empty directory.
func New(returnTime time.Duration) *Directory {
	return &Directory{returnTime: returnTime, upstreams: map[ids.VM]*Upstream{}, losses: map[ids.FailureDomain][]time.Time{}}
}

// Put takes an upstream's entry. Others that were registered at its address have ended.
func (d *Directory) Put(e Entry) {
	for id, u := range d.upstreams {
		if id != e.ID && u.Address == e.Address {
			delete(d.upstreams, id)
		}
	}
	old, known := d.upstreams[e.ID]
	if !known || old.Started != e.Started || old.Address != e.Address {
		d.upstreams[e.ID] = &Upstream{Entry: e}
		return
	}
	old.Entry = e
	old.missingSince = time.Time{}
}

// Remove takes an entry out. While the store is away, and for the time that living upstreams need to register anew, the
// upstream stays in use.
func (d *Directory) Remove(id ids.VM, now time.Time) {
	u, known := d.upstreams[id]
	if !known {
		return
	}
	if !u.Draining && d.returning(now) {
		u.missingSince = now
		return
	}
	delete(d.upstreams, id)
}

// SetStoreReachable notes that the store answers, or no longer does. Before anything is known, that is no outage.
func (d *Directory) SetStoreReachable(reached bool, now time.Time) {
	if !reached && len(d.upstreams) == 0 {
		return
	}
	if reached && d.storeDown {
		d.storeBack = now
	}
	d.storeDown = !reached
}

func (d *Directory) returning(now time.Time) bool {
	return d.storeDown || !d.storeBack.IsZero() && now.Sub(d.storeBack) < d.returnTime
}

// Expire drops the upstreams that have not registered anew in time, and returns them.
func (d *Directory) Expire(now time.Time) []ids.VM {
	if d.returning(now) {
		return nil
	}
	var out []ids.VM
	for id, u := range d.upstreams {
		if !u.missingSince.IsZero() {
			delete(d.upstreams, id)
			out = append(out, id)
		}
	}
	return out
}

// Forget drops an upstream whose address answers as another one.
func (d *Directory) Forget(id ids.VM, started int64) {
	if u, known := d.upstreams[id]; known && u.Started == started {
		delete(d.upstreams, id)
	}
}

// Get returns an upstream.
func (d *Directory) Get(id ids.VM) (Upstream, bool) {
	u, known := d.upstreams[id]
	if !known {
		return Upstream{}, false
	}
	return *u, true
}

// Available tells whether an upstream may be given work.
func (u Upstream) Available() bool { return !u.Draining && u.lostAt.IsZero() }

// Usable returns the upstreams of a service that may be given work, in the order of their ids. When all were lost, those
// that are still registered are worth a try.
func (d *Directory) Usable(service ids.Service) []Upstream {
	list := d.list(func(u *Upstream) bool { return u.Service == service && u.Available() })
	if len(list) > 0 {
		return list
	}
	return d.list(func(u *Upstream) bool { return u.Service == service && !u.Draining })
}

// LostUpstreams returns the registered upstreams that are out of use since they were lost.
func (d *Directory) LostUpstreams() []Upstream {
	return d.list(func(u *Upstream) bool { return !u.lostAt.IsZero() })
}

// AnsweredAt returns when the upstream last answered a request.
func (u Upstream) AnsweredAt() time.Time { return u.provedAt }

// LostAt returns when the upstream was last found unreachable.
func (u Upstream) LostAt() time.Time { return u.lostAt }

func (d *Directory) list(match func(u *Upstream) bool) []Upstream {
	var out []Upstream
	for _, u := range d.upstreams {
		if match(u) {
			out = append(out, *u)
		}
	}
	slices.SortFunc(out, func(a, b Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
