package direct

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/routing"
)

const (
	// startupTime is how long a router takes from its start until it has the configuration, if the store answers.
	startupTime = 300 * time.Millisecond
	// maxStartupWait bounds how long a request waits for the configuration of a router that has just started. The wait is also
	// limited to the caller's max wait divided by startupWaitDivisor, so that a generation still starts within a few seconds.
	maxStartupWait     = 3 * time.Second
	startupWaitDivisor = 8
	// storeRetryAfter is the Retry-After of a router that has no configuration because the store is unavailable. Outages last a
	// few seconds, and callers retry only a few times.
	storeRetryAfter = 3 * time.Second
)

// awaitConfig returns the active configuration. On a router that has just started, it waits for a limited time until the
// configuration and the engines' cached prompts are known. It returns nil if there is no configuration.
func (x *exchange) awaitConfig() *routing.Config {
	if cfg := x.config.Load(); cfg != nil {
		return cfg
	}
	ctx, cancel := x.configWait("none active yet")
	defer cancel()
	for _, ready := range []chan struct{}{x.configured, x.promptsFetched} {
		select {
		case <-ready:
		case <-ctx.Done():
			return x.config.Load()
		}
	}
	return x.config.Load()
}

// configWait returns the context of a wait for a configuration.
func (x *exchange) configWait(reason string) (context.Context, context.CancelFunc) {
	wait := x.configWaitTime()
	x.log.Write(event.RequestWaiting, "request", x.req.ID, "patience", x.req.MaxWait.String(), "at_most", wait.String(), "reason", reason,
		"config_version", uint64(x.configVersion()))
	return clockwork.WithTimeout(x.r.Context(), x.clock, wait)
}

// configWaitTime is how long the request waits for a configuration at most.
func (x *exchange) configWaitTime() time.Duration {
	if maxWait := x.req.MaxWait; maxWait > 0 {
		return min(maxStartupWait, maxWait/startupWaitDivisor)
	}
	return maxStartupWait
}

// matchCurrent finds the route and the workspace of the request. If the active configuration does not allow the request and
// the router knows of a newer one that it does not have yet, the request waits for that one for a limited time. It returns the
// configuration that was used.
func (x *exchange) matchCurrent(cfg *routing.Config) (*routing.Config, error) {
	err := x.match(cfg)
	if err == nil || x.behind() == 0 {
		return cfg, err
	}
	ctx, cancel := x.configWait("behind for " + x.behind().String())
	defer cancel()
	for err != nil && x.behind() > 0 {
		activated := x.nextActivation()
		if newer := x.config.Load(); newer != cfg {
			cfg = newer
			err = x.match(cfg)
			continue
		}
		select {
		case <-activated:
		case <-ctx.Done():
			f := fault.Wrap(fault.NotReady, err, "behind for %s", x.behind())
			f.Kind.RetryAfter = startupTime
			return cfg, f
		}
	}
	if err != nil {
		cfg = x.config.Load()
		err = x.match(cfg)
	}
	return cfg, err
}

// notReadyError returns the fault for a request to a router without a configuration.
func (x *exchange) notReadyError() error {
	f := fault.New(fault.NotReady, "no configuration")
	f.Kind.RetryAfter = startupTime
	if x.clock.Since(x.startedAt) > startupTime {
		f.Kind.RetryAfter = storeRetryAfter
	}
	return f
}
