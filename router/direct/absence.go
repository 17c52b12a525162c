package direct

import (
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/placing"
	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/core/stopping"
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
	work := stopping.Work{Long: x.route.Kind == routing.Streaming, Limit: x.left(), Expected: x.pace.Expected(x.engineModel(), x.need())}
	if s.Takes(work, x.others.Serving(now)) {
		return nil
	}
	f := fault.New(fault.RouterStopping, "stops in %s, expected to take %s", s.Left, work.Expected)
	f.Kind.RetryAfter = x.others.Back(s.Left, now)
	return f
}

// need is the size of the request's generation.
func (x *exchange) need() placing.Need {
	return placing.Need{Prompt: x.req.Prompt.Tokens, Output: x.req.Prompt.MaxOutput, Seed: rand.Uint64()}
}
