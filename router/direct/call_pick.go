package direct

import (
	"slices"
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/ratelimit"
	"bilberrylug.dev/router/upstream"
)

// pickCall chooses the upstream of the next attempt, waits until it takes the call, and counts the call there. It returns the refusal of
// a call that no upstream takes in time.
func (x *exchange) pickCall(tried map[ids.VM]bool) (fleet.Upstream, *fault.Error) {
	for {
		u, delay, charge, refusal := x.chargeCall(tried)
		if refusal != nil {
			return u, refusal
		}
		err := x.awaitLimit(u, delay, charge)
		if err == nil {
			return u, nil
		}
		x.endCall(u.ID)
		if fault.CodeOf(err) == fault.RouterStopping {
			return u, fault.As(err)
		}
		if x.ctx.Err() != nil {
			return u, fault.As(x.deadlineError())
		}
	}
}

// chargeCall chooses the upstream of the next attempt, and charges the call to its limit. The upstream takes the call after the delay.
func (x *exchange) chargeCall(tried map[ids.VM]bool) (fleet.Upstream, time.Duration, ratelimit.Charge, *fault.Error) {
	now := x.clock.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	list := x.candidates(tried, "", now)
	slots := make(map[ids.VM]int, len(list.upstreams))
	for _, u := range list.upstreams {
		slots[u.ID] = u.Slots
	}
	x.weigh(list, func(u *fleet.Upstream) (own, others, slots int) {
		own, others = x.calls.InFlight(u.ID, now)
		return own, others, u.Slots
	}, now)
	c, ok := x.calls.Pick(list.candidates, slots, now)
	if !ok {
		return fleet.Upstream{}, 0, ratelimit.Charge{}, x.noUpstreamError()
	}
	if list.delay > 0 && !x.mayAwaitLimit(list.delay) {
		return fleet.Upstream{}, 0, ratelimit.Charge{}, (&limitedError{list.delay}).fault()
	}
	x.countOverWindow(c.WindowFull)
	x.calls.Start(c.ID)
	return list.get(c.ID), list.delay, x.rateLimits.Take(c.ID, now), nil
}

// endCall records that a call is not in flight at an upstream any more.
func (x *exchange) endCall(id ids.VM) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.calls.End(id)
}

// attemptLimit returns the function that ends an attempt at a time if a retry elsewhere is possible and the retry budget allows it.
func (x *exchange) attemptLimit(at time.Time, id ids.VM, tried map[ids.VM]bool) upstream.StallFunc {
	return func(time.Duration) (time.Duration, error) {
		if left := at.Sub(x.clock.Now()); left > 0 {
			return left, nil
		}
		if !x.hasAlternative(id, tried) || !x.chargeRetry() {
			return attemptRecheckInterval, nil
		}
		return 0, errAttemptTimeout
	}
}

// attemptRecheckInterval is the interval at which an overdue attempt that could not be replaced is looked at again.
const attemptRecheckInterval = 100 * time.Millisecond

// hasAlternative reports whether another upstream than those tried and the given one may receive the call.
func (x *exchange) hasAlternative(id ids.VM, tried map[ids.VM]bool) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := x.clock.Now()
	other := func(u *fleet.Upstream) bool { return u.ID != id && !tried[u.ID] && x.rateLimits.Delay(u.ID, now) == 0 }
	preferred, fallback := x.tiers(now)
	return slices.ContainsFunc(preferred, other) || slices.ContainsFunc(fallback, other)
}
