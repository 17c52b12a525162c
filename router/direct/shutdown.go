package direct

import (
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
	f := fault.New(fault.RouterStopping, "shutdown ends in %s, request expected to take %s", s.Remaining, req.Expected)
	f.Kind.RetryAfter = x.peers.RetryAfter(s.Remaining, now)
	return f
}
