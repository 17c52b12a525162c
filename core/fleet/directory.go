// Package fleet tracks the upstreams of all services: what they registered, and their health as observed by this router and
// reported by others.
//
// # Usage
//
//	d := fleet.New(2*time.Second, 1800*time.Millisecond)
//	d.Put(entry, era, now)
//	for _, u := range d.Usable("lug-pool") { ... }
//	d.MarkLost(u.ID, u.Started, now) // unavailable until it registers a new start or a probe succeeds
package fleet

import (
	"slices"
	"strings"
	"time"

	"bilberrylug.dev/core/boottime"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
)

const (
	// domainWindow is the period within which losses in one failure domain are counted together.
	domainWindow = time.Second
	// answerDelay is how long before it was read an answer may have been sent.
	answerDelay = 50 * time.Millisecond
	// checkInterval is the least time between two questions to an upstream that is suspected with its failure domain.
	checkInterval = 300 * time.Millisecond
	// domainLossThreshold is the number of losses within domainWindow from which a failure domain is suspected.
	domainLossThreshold = 2
	// suspicionTTL is how long another router's report of a loss is used, unless the upstream answers earlier. An upstream
	// that has crashed registers its next start within this time.
	suspicionTTL = 3 * time.Second
	// adoptMargin allows for clocks that run at different rates.
	adoptMargin = 50 * time.Millisecond
	// outageProbeInterval is the minimum time between probes of one upstream while the store is unreachable: only probes
	// detect its next start then.
	outageProbeInterval = 200 * time.Millisecond
	// probeInterval is the minimum time between probes of an unavailable upstream.
	probeInterval = time.Second
)

// Upstream is a registered upstream and its health.
type Upstream struct {
	Entry
	// lostAt is when it was last found unreachable, zero if it is not lost.
	lostAt time.Time
	// suspectedAt is when another router last reported it unreachable.
	suspectedAt time.Time
	// answeredAt is when an answer of it was last read.
	answeredAt time.Time
	// checkedAt is when it was last asked because its failure domain is suspected.
	checkedAt time.Time
	// aliveAt is the latest time at which it is known to have been alive: when the last request that it has answered was sent.
	aliveAt boottime.Instant
	// probedAt is when it was last probed while unavailable.
	probedAt time.Time
	// askedAt is when it was last due to be asked for its ID, replacedAt when its address was found to answer with another one.
	askedAt, replacedAt time.Time
	// silent is set if it has not answered when it was last asked.
	silent bool
	// era is that of the store in which the entry was last read.
	era store.Era
	// seenAt is when the entry of this start was first read, or when the upstream was renamed.
	seenAt time.Time
	// missingSince is when its entry disappeared while the store may have dropped the entries of live upstreams.
	missingSince time.Time
}

// Directory holds the upstreams. It is not safe for concurrent use.
type Directory struct {
	// reregisterTime is how long live upstreams may take to register again after the store has recovered.
	reregisterTime time.Duration
	// minOutage is the shortest outage of the store in which the entries of live upstreams may lapse.
	minOutage time.Duration
	upstreams map[ids.VM]*Upstream
	// byAddress holds the upstream at each address.
	byAddress map[string]ids.VM
	// losses holds the times of the recent losses in each failure domain.
	losses map[ids.FailureDomain][]time.Time
	// lossBegan holds the time of the first of these losses.
	lossBegan map[ids.FailureDomain]time.Time
	// storeRecoveredAt is when the store became reachable again, zero before its first recovery.
	storeRecoveredAt time.Time
	storeDown        bool
	// storeSilentSince is when the store last answered before it counted as unreachable.
	storeSilentSince time.Time
	// departed holds the last entries of upstreams that have left the store, returned those that only an older copy of it has brought back.
	departed map[ids.VM]departure
	returned map[ids.VM]returnedEntry
	// replaced holds upstreams whose addresses have answered with other IDs lately.
	replaced map[ids.VM]*Upstream
	// usable caches the results of Usable until an upstream appears, disappears or changes its availability.
	usable map[ids.Service][]*Upstream
	// generation counts the changes of the upstreams and their availability.
	generation uint64
}

// New returns an empty directory. Entries removed from the store during an outage and, if it took minOutage, within reregisterTime after
// it are kept.
func New(reregisterTime, minOutage time.Duration) *Directory {
	return &Directory{
		reregisterTime: reregisterTime, minOutage: minOutage, upstreams: map[ids.VM]*Upstream{}, byAddress: map[string]ids.VM{}, losses: map[ids.FailureDomain][]time.Time{}, lossBegan: map[ids.FailureDomain]time.Time{},
		usable: map[ids.Service][]*Upstream{}, departed: map[ids.VM]departure{}, returned: map[ids.VM]returnedEntry{},
		replaced: map[ids.VM]*Upstream{},
	}
}

// changed discards the cached results of Usable.
func (d *Directory) changed() {
	clear(d.usable)
	d.generation++
}

func (d *Directory) add(u *Upstream) {
	d.changed()
	d.upstreams[u.ID] = u
	d.byAddress[u.Address] = u.ID
}

func (d *Directory) remove(id ids.VM) {
	u, known := d.upstreams[id]
	if !known {
		return
	}
	d.changed()
	delete(d.upstreams, id)
	if d.byAddress[u.Address] == id {
		delete(d.byAddress, u.Address)
	}
}

// Put adds or updates an upstream's entry that was read in an era of the store. Any other upstream registered at the same address has
// ended and is deleted. It returns false if the entry comes from an older copy of the store and is outdated.
func (d *Directory) Put(e Entry, era store.Era, now time.Time) bool {
	old, known := d.upstreams[e.ID]
	if known && old.outdates(e, era) {
		old.era, old.missingSince = era, time.Time{}
		return false
	}
	if !known && d.holdBack(e, era, now) {
		return false
	}
	if gone, left := d.departed[e.ID]; left && gone.Started == e.Started {
		e.Draining = e.Draining || gone.Draining
	}
	// An upstream that leaves does not come back with the same start, which is unknown for one that was found at its address.
	if known && old.Address == e.Address && (old.Started == e.Started || old.Started == 0) {
		e.Draining = e.Draining || old.Draining
	}
	delete(d.departed, e.ID)
	delete(d.returned, e.ID)
	if at, taken := d.byAddress[e.Address]; taken && at != e.ID {
		d.remove(at)
	}
	if !known || old.Started != e.Started || old.Address != e.Address {
		d.remove(e.ID)
		d.add(&Upstream{Entry: e, era: era, seenAt: now})
		return true
	}
	d.changed()
	old.Entry, old.era = e, era
	old.missingSince = time.Time{}
	return true
}

// Remove deletes an entry. While the store is unreachable, and until live upstreams have had time to register again, an
// upstream that is not draining is only marked as missing and stays available.
func (d *Directory) Remove(id ids.VM, now time.Time) {
	delete(d.returned, id)
	u, known := d.upstreams[id]
	if !known {
		return
	}
	if !u.Draining && d.inGracePeriod(now) {
		u.missingSince = now
		return
	}
	d.depart(u, now)
}

// SetStoreReachable records whether the store is reachable, and when it last answered. An unreachable store does not count as an outage
// before any upstream is known, nor does a short time in which nobody has asked it.
func (d *Directory) SetStoreReachable(reachable bool, lastAnswer, now time.Time) {
	if !reachable && len(d.upstreams) == 0 {
		return
	}
	if !reachable {
		d.storeSilentSince = lastAnswer
	}
	if reachable && d.storeDown && now.Sub(d.storeSilentSince) >= d.minOutage {
		d.storeRecoveredAt = now
	}
	d.storeDown = !reachable
}

func (d *Directory) inGracePeriod(now time.Time) bool {
	return d.storeDown || !d.storeRecoveredAt.IsZero() && now.Sub(d.storeRecoveredAt) < d.reregisterTime
}

// Expire deletes the missing upstreams that have not registered again in time, and returns them.
func (d *Directory) Expire(now time.Time) []ids.VM {
	if d.inGracePeriod(now) {
		return nil
	}
	var out []ids.VM
	for id, u := range d.upstreams {
		if !u.missingSince.IsZero() {
			d.depart(u, now)
			out = append(out, id)
		}
	}
	return out
}

// Get returns a copy of an upstream.
func (d *Directory) Get(id ids.VM) (Upstream, bool) {
	u, known := d.upstreams[id]
	if !known {
		return Upstream{}, false
	}
	return *u, true
}

// Available reports whether an upstream may receive work.
func (u Upstream) Available() bool { return !u.Draining && u.lostAt.IsZero() }

// Usable returns the upstreams of a service that may receive work, sorted by ID. If all of them are lost, it returns the
// registered ones that are not draining, as a last resort. The list and the upstreams must not be changed, and may be used
// only until the next call of another method.
func (d *Directory) Usable(service ids.Service) []*Upstream {
	if list, known := d.usable[service]; known {
		return list
	}
	list := d.list(func(u *Upstream) bool { return u.Service == service && u.Available() })
	if len(list) == 0 {
		list = d.list(func(u *Upstream) bool { return u.Service == service && !u.Draining })
	}
	d.usable[service] = list
	return list
}

// LostUpstreams returns the registered upstreams that are unavailable because they were lost.
func (d *Directory) LostUpstreams() []Upstream {
	var out []Upstream
	for _, u := range d.list(func(u *Upstream) bool { return !u.lostAt.IsZero() }) {
		out = append(out, *u)
	}
	return out
}

// AliveAt returns the latest time at which the upstream is known to have been alive, or zero if it has not answered yet.
func (u Upstream) AliveAt() boottime.Instant { return u.aliveAt }

// LostAt returns when the upstream was last found unreachable, or zero if it is not lost.
func (u Upstream) LostAt() time.Time { return u.lostAt }

func (d *Directory) list(match func(u *Upstream) bool) []*Upstream {
	var out []*Upstream
	for _, u := range d.upstreams {
		if match(u) {
			out = append(out, u)
		}
	}
	slices.SortFunc(out, func(a, b *Upstream) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}
