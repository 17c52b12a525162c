package direct

import (
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ratelimit"
)

// limitedError ends an attempt for which each upstream has as many requests as it takes.
type limitedError struct{ wait time.Duration }

// Error implements error.
func (e *limitedError) Error() string { return "all upstreams get as many requests as they take" }

const (
	// maxLimitRetryAfter bounds the Retry-After of a request that no upstream takes, since the parts of the limits that routers use
	// follow their callers within a few seconds.
	maxLimitRetryAfter = 2 * time.Second
	// limitWaitShare is the part of a request's remaining time that it may wait for an upstream that takes it.
	limitWaitShare = 0.5
)

// fault returns the refusal. The spread keeps callers from returning at once.
func (e *limitedError) fault() *fault.Error {
	f := e.fixedFault()
	f.Kind.RetryAfter = spread(f.Kind.RetryAfter)
	return f
}

// fixedFault returns the refusal without a spread of its Retry-After.
func (e *limitedError) fixedFault() *fault.Error {
	f := fault.New(fault.UpstreamLimited, "%s", e.Error())
	f.Kind.RetryAfter = min(maxLimitRetryAfter, e.wait)
	return f
}

// mayAwaitLimit reports whether the request may wait for an upstream that takes it after a delay.
func (x *exchange) mayAwaitLimit(delay time.Duration) bool {
	return delay < time.Duration(limitWaitShare*float64(x.remaining()))
}

// awaitLimit waits for the delay of a request that was charged to the limit of an upstream. It takes the charge back and returns an error if
// the upstream may not receive the request any more, or if a graceful shutdown leaves no time for it.
func (x *exchange) awaitLimit(u fleet.Upstream, delay time.Duration, charge ratelimit.Charge) error {
	if delay <= 0 {
		return nil
	}
	x.metrics.Counter("requests_held_by_limit", "service", string(x.service.Name)).Inc(1)
	refusal := x.awaitDelay(delay)
	x.mu.Lock()
	defer x.mu.Unlock()
	now, known := x.fleet.Get(u.ID)
	if refusal == nil && x.ctx.Err() == nil && known && now.Started == u.Started && now.Available() {
		return nil
	}
	charge.Cancel(x.clock.Now())
	if refusal != nil {
		return refusal
	}
	return errNotSent
}

// awaitDelay waits until a delay is over or the request has ended. It returns the refusal of a request that a graceful shutdown leaves no
// time for after the delay.
func (x *exchange) awaitDelay(delay time.Duration) error {
	end := x.clock.Now().Add(delay)
	over := x.clock.After(delay)
	select {
	case <-x.ctx.Done():
		return nil
	case <-over:
		return nil
	case <-x.shutdown.started():
	}
	if refusal := x.admitWaiting(end.Sub(x.clock.Now())); refusal != nil {
		return refusal
	}
	select {
	case <-x.ctx.Done():
	case <-over:
	}
	return nil
}
