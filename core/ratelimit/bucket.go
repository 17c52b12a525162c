package ratelimit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"bilberrylug.dev/core/ids"
)

const (
	// Never is the delay of a request to an upstream that this router may not send to at present.
	Never time.Duration = math.MaxInt64
	// burstTime is the time for which a router may save up its part of a limit.
	burstTime = 500 * time.Millisecond
	// minShareLifetime is how long the part of a limit is used before it is computed anew. In a large fleet, which announces demand at
	// longer intervals, it is that interval divided by sharesPerInterval.
	minShareLifetime  = 50 * time.Millisecond
	sharesPerInterval = 8
	// minRate is the rate below which a router does not send to an upstream at all.
	minRate Rate = 1.0 / 300

	// A limit holds for as long as the upstream should have been heard of again: statementsExpected requests at the limit, within the two
	// bounds. Then it doubles every fadeTime, from fadeFrom at least, and is forgotten after fadeDoublings.
	statementsExpected      = 3
	minHold                 = 3 * time.Second
	maxHold                 = 15 * time.Second
	fadeTime                = time.Second
	fadeFrom           Rate = 0.1
	fadeDoublings           = 10
)

// hold returns how long a statement holds without a newer one.
func (s Statement) hold() time.Duration {
	if s.Rate <= 0 {
		return maxHold
	}
	seconds := min(maxHold.Seconds(), statementsExpected/float64(s.Rate))
	return max(minHold, time.Duration(seconds*float64(time.Second)))
}

// effective returns the rate that a statement of an age still limits to, or false if it has faded.
func (s Statement) effective(age time.Duration) (Rate, bool) {
	if !s.Named {
		return 0, false
	}
	over := age - s.hold()
	if over <= 0 {
		return s.Rate, true
	}
	doublings := over.Seconds() / fadeTime.Seconds()
	return max(s.Rate, fadeFrom) * Rate(math.Exp2(doublings)), doublings < fadeDoublings
}

// bucket is the token bucket of this router's part of a limit.
type bucket struct {
	*rate.Limiter
	rate       Rate
	computedAt time.Time
}

// refill sets the rate of an upstream's bucket to this router's part of the limit. It reports whether the upstream is limited.
func (l *Limiter) refill(id ids.VM, u *limited, now time.Time) bool {
	limit, ok := u.effective(now.Sub(u.at))
	if !ok {
		u.bucket = nil
		return false
	}
	if l.isFresh(u.bucket, now) {
		return true
	}
	part := limit * Rate(share(id, limit, l.sharers(u.service, now)))
	if u.bucket == nil {
		u.bucket = &bucket{Limiter: rate.NewLimiter(rate.Limit(part), 1)}
	}
	u.bucket.rate, u.bucket.computedAt = part, now
	u.bucket.SetLimitAt(now, rate.Limit(part))
	u.bucket.SetBurstAt(now, max(1, int(part*Rate(burstTime.Seconds()))))
	return true
}

// isFresh reports whether this router's part of a limit need not be computed anew.
func (l *Limiter) isFresh(b *bucket, now time.Time) bool {
	return b != nil && now.Sub(b.computedAt) < max(minShareLifetime, l.interval/sharesPerInterval)
}

// Delay returns how long a request to an upstream has to wait, or [Never].
func (l *Limiter) Delay(id ids.VM, now time.Time) time.Duration {
	held := max(0, l.holds[id].Sub(now))
	u, known := l.upstreams[id]
	if !known || !l.refill(id, u, now) {
		return held
	}
	return delay(u.bucket.TokensAt(now), u.bucket.rate, held)
}

// delay returns how long a request has to wait for a token of a bucket, and at least as long as the upstream wants nothing.
func delay(tokens float64, r Rate, held time.Duration) time.Duration {
	lacking := 1 - tokens
	switch {
	case lacking <= 0 && r > 0:
		return held
	case r < minRate:
		return Never
	}
	return max(held, time.Duration(lacking/float64(r)*float64(time.Second)))
}

// Take charges a request to an upstream that is sent after its delay.
func (l *Limiter) Take(id ids.VM, now time.Time) Charge {
	u, known := l.upstreams[id]
	if !known || !l.refill(id, u, now) || u.bucket.rate < minRate {
		return Charge{}
	}
	return Charge{u.bucket.ReserveN(now, 1)}
}

// Charge is a request that was charged to a limit.
type Charge struct{ reservation *rate.Reservation }

// Cancel takes back the charge of a request that is not sent.
func (c Charge) Cancel(now time.Time) {
	if c.reservation != nil {
		c.reservation.CancelAt(now)
	}
}

// Expire forgets the limits that have faded, and returns them as changes.
func (l *Limiter) Expire(now time.Time) []Change {
	l.expireHolds(now)
	var out []Change
	for id, u := range l.upstreams {
		age := now.Sub(u.at)
		if _, ok := u.effective(age); ok || !u.Named {
			continue
		}
		out = append(out, Change{Upstream: id, Before: u.Statement, BeforeAge: age})
		delete(l.upstreams, id)
	}
	return out
}
