package direct

import (
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/core/shutdown"
)

// admitDuringShutdown refuses a request that the router cannot answer before its graceful shutdown ends. Retry-After is the
// time until another router is available.
func (x *exchange) admitDuringShutdown() error {
	s, stopping := x.shutdown.status()
	if !stopping {
		return nil
	}
	now := x.clock.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	req := shutdown.Request{
		Long: x.route.Kind == routing.Streaming, Limit: x.remaining(),
		Expected: x.tokenTime.GenerationTime(x.engineModel(), x.placementRequest()),
	}
	if !x.shutdown.closing.Load() && s.Accepts(req, x.peers.AnyServing(now)) {
		return nil
	}
	return x.stoppingFault(s, req.Expected)
}

// admitWaiting refuses a request that waits before it is sent, if the graceful shutdown will not leave the time for it after that. An
// answer that has begun can no longer be refused.
func (x *exchange) admitWaiting(wait time.Duration) error {
	s, stopping := x.shutdown.status()
	if !stopping || x.headerSent {
		return nil
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	expected := wait
	if x.route.Kind == routing.Streaming {
		expected += x.tokenTime.GenerationTime(x.engineModel(), x.placementRequest())
	}
	if expected <= s.Remaining {
		return nil
	}
	return x.stoppingFault(s, expected)
}

// stoppingFault returns the refusal of a request for which the graceful shutdown leaves no time. The caller must hold x.mu.
func (x *exchange) stoppingFault(s shutdown.Progress, expected time.Duration) error {
	f := fault.New(fault.RouterStopping, "shutdown ends in %s, request expected to take %s", s.Remaining, expected)
	f.Kind.RetryAfter = x.peers.RetryAfter(s.Remaining, x.clock.Now())
	return f
}
