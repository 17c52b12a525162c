package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/ids"
)

const (
	// openTime is how long a breaker stays open after the crash that opened it; it doubles when a trial crashes, up to
	// maxOpenTime.
	openTime    = 5 * time.Minute
	maxOpenTime = time.Hour
	// shortOpenTime is the first open time of a part that was sound before, or while no run of its model is sound: engines may
	// crash for a cause that ends.
	shortOpenTime = 10 * time.Second
	// contrastRuns is the number of runs without a part that must be sound while those with it crash before a part that was
	// sound before is convicted. Without them, engines may crash whatever they run.
	contrastRuns = 8
	// trialInterval is the time for which one router after the other admits trials of a half-open breaker, so that the outcome of a
	// trial reaches the others before their turn.
	trialInterval = 3 * time.Second
	// peerLifetime is how long a router that has sent no report is counted in this order.
	peerLifetime = 10 * time.Second
	// alternativeSpread is the time over which the routers begin to admit trials of a part that is one of several suspects.
	alternativeSpread = 3 * time.Second
	// trialTime bounds a trial whose outcome is not recorded.
	trialTime = 10 * time.Second
	// trialBackoff is the pause after a trial that crashed without a verdict on the part.
	trialBackoff = 3 * time.Second
	// breakerMemory is how long a breaker is remembered after it was released or has become half-open.
	breakerMemory = time.Hour
	// maxBreakers bounds the breakers that are kept, maxStanding those that stand: so many parts are not to blame at once.
	maxBreakers = 64
	maxStanding = 16
)

// breaker is the circuit breaker of a part.
type breaker struct {
	part Part
	// epoch counts how often the breaker was opened. The routers agree on the state of the highest epoch.
	epoch    uint32
	openedAt time.Time
	openFor  time.Duration
	// releasedAt is the time of the sound run that released the part.
	releasedAt time.Time
	// suspended is set while this router's own evidence, which is no less than that on which the breaker was opened, does not
	// convict the part. Unlike a release this is not reported, since another router may know more.
	suspended bool
	// stored is set while the times are those of a snapshot, in which the clock of another router has a part. They are not reported.
	stored bool
	// alternatives are parts that explain the crashes as well. A request without one of them may be a trial.
	alternatives []Part
	// crashes and routers are the evidence that the breaker was opened on.
	crashes int
	routers []ids.VM
	// trial is the request that has the trial at this router until trialUntil.
	trial      ids.Request
	trialUntil time.Time
}

func (b *breaker) standing() bool            { return b.releasedAt.IsZero() }
func (b *breaker) isOpen(now time.Time) bool { return b.active() && now.Before(b.until()) }
func (b *breaker) active() bool              { return b.standing() && !b.suspended }
func (b *breaker) until() time.Time          { return b.openedAt.Add(b.openFor) }

// release closes the breaker after a sound run.
func (b *breaker) release(at time.Time) {
	b.releasedAt = at
	b.suspended = false
}

// reopen opens the breaker again after the crash of a trial, for at least a given time.
func (b *breaker) reopen(at time.Time, least time.Duration) {
	b.epoch++
	b.openedAt = at
	b.openFor = min(max(2*b.openFor, least), maxOpenTime)
	b.stored = false
	b.trial, b.trialUntil = "", time.Time{}
}

// update takes over the evidence against the part.
func (b *breaker) update(s *suspicion) {
	b.alternatives = slices.Clone(s.alternatives)
	b.crashes = s.count
	b.routers = slices.Clone(s.routers)
}

// open opens the breaker of a part and returns it, or nil if too many stand or if engines may crash whatever they run.
func (q *Quarantine) open(s *suspicion, now time.Time) *breaker {
	standing := 0
	for _, other := range q.breakers {
		if other.isOpen(now) {
			standing++
		}
	}
	if standing >= maxStanding {
		return nil
	}
	b := q.breakers[s.part]
	if b != nil && b.suspended {
		b.suspended = false
		b.update(s)
		return b
	}
	if s.everSound() && q.evidence.soundRunsWithout(s.part, s.firstAt) < contrastRuns {
		return nil
	}
	opened := &breaker{part: s.part, epoch: 1, openedAt: s.lastAt, openFor: q.leastOpenTime(s.part, now)}
	if s.incidents < s.threshold() {
		// A single moment may deceive, so that a trial soon checks it.
		opened.openFor = shortOpenTime
	}
	if b != nil {
		opened.epoch = b.epoch + 1
	}
	opened.update(s)
	if !q.put(opened) {
		return nil
	}
	return opened
}

// put stores a breaker and drops another that is not open if there are too many. It reports whether there was room.
func (q *Quarantine) put(b *breaker) bool {
	if q.breakers[b.part] == nil && len(q.breakers) >= maxBreakers {
		closed := slices.DeleteFunc(q.sorted(), func(other *breaker) bool { return other.isOpen(b.openedAt) })
		if len(closed) == 0 {
			return false
		}
		delete(q.breakers, slices.MinFunc(closed, func(a, b *breaker) int { return a.openedAt.Compare(b.openedAt) }).part)
	}
	q.breakers[b.part] = b
	return true
}

// forget drops the breakers that no request has tried for long, and the routers that have sent no report for long.
func (q *Quarantine) forget(now time.Time) {
	for router, seen := range q.peers {
		if now.Sub(seen) >= peerLifetime {
			delete(q.peers, router)
		}
	}
	for p, b := range q.breakers {
		if now.Sub(b.until()) > breakerMemory {
			delete(q.breakers, p)
		}
	}
}

// sorted returns the breakers in a fixed order.
func (q *Quarantine) sorted() []*breaker {
	out := make([]*breaker, 0, len(q.breakers))
	for _, b := range q.breakers {
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b *breaker) int { return cmp.Compare(a.part, b.part) })
	return out
}

// leastOpenTime returns how long the breaker of a part is open at first.
func (q *Quarantine) leastOpenTime(p Part, now time.Time) time.Duration {
	if !q.evidence.soundAt(p).IsZero() || !q.evidence.modelSound(p, now) {
		return shortOpenTime
	}
	return openTime
}

// rank returns the number of routers whose turn to admit a trial of a part is before this one's, and the number of all routers.
func (q *Quarantine) rank(b *breaker, now time.Time) (rank, routers int) {
	own := trialOrder(b, q.router)
	routers = 1
	for router, seen := range q.peers {
		if now.Sub(seen) >= peerLifetime {
			continue
		}
		routers++
		if trialOrder(b, router) < own {
			rank++
		}
	}
	return rank, routers
}

// trialOrder returns a router's place in the order in which routers admit trials of a part.
func trialOrder(b *breaker, router ids.VM) uint64 {
	var key [12]byte
	binary.LittleEndian.PutUint64(key[:], uint64(b.part))
	binary.LittleEndian.PutUint32(key[8:], b.epoch)
	h := xxhash.New()
	_, _ = h.Write(key[:])
	_, _ = h.WriteString(string(router))
	return h.Sum64()
}
