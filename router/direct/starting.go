package direct

import (
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/routing"
)

const (
	// startTime is how long a router takes from its start until it knows the configuration, while the store answers.
	startTime = 300 * time.Millisecond
	// startWait is how long a request waits at most for the configuration of a router that has just started, and startShare
	// the part of its caller's patience: one in this many. A generation then still begins within some seconds.
	startWait  = 3 * time.Second
	startShare = 8
	// storeReturn is when callers come back to a router that knows no configuration since the store is away. Outages last
	// some seconds, and callers come back a few times at most.
	storeReturn = 3 * time.Second
)

// awaitStart has a request wait a moment until a router that has just started knows the configuration, and which engines have
// read which prompts. It returns nil if there is no configuration.
func (x *exchange) awaitStart() *routing.Config {
	if cfg := x.config.Load(); cfg != nil {
		return cfg
	}
	wait := startWait
	if p := x.req.Patience; p > 0 {
		wait = min(wait, p/startShare)
	}
	x.log.Write(event.RequestWaits, "request", x.req.ID, "patience", x.req.Patience.String(), "at_most", wait.String())
	ctx, cancel := clockwork.WithTimeout(x.r.Context(), x.clock, wait)
	defer cancel()
	for _, known := range []chan struct{}{x.configured, x.learnt} {
		select {
		case <-known:
		case <-ctx.Done():
			return x.config.Load()
		}
	}
	return x.config.Load()
}

// notReady refuses a request for want of a configuration.
func (x *exchange) notReady() error {
	f := fault.New(fault.NotReady, "no configuration")
	f.Kind.RetryAfter = startTime
	if x.clock.Since(x.world.began) > startTime {
		f.Kind.RetryAfter = storeReturn
	}
	return f
}
