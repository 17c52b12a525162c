package direct

import (
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/core/shutdown"
)

// admitStopping refuses a request that this router could not answer before its planned stop ends, and tells when a router is
// there that can.
func (x *exchange) admitStopping() error {
	s, stops := x.stop.stop()
	if !stops {
		return nil
	}
	now := x.clock.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	work := shutdown.Request{Long: x.route.Kind == routing.Streaming, Limit: x.left(), Expected: x.pace.GenerationTime(x.engineModel(), x.need())}
	if s.Accepts(work, x.others.AnyServing(now)) {
		return nil
	}
	f := fault.New(fault.RouterStopping, "stops in %s, expected to take %s", s.Remaining, work.Expected)
	f.Kind.RetryAfter = x.others.RetryAfter(s.Remaining, now)
	return f
}
