package direct

import (
	"context"
	"time"

	"golang.org/x/sync/singleflight"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/router/upstream"
)

// connection is a connection of the pool.
type connection = *upstream.Conn

const (
	// minProbeTimeout and maxProbeTimeout bound the timeout of a probe. A running VM answers within a round trip of a few
	// milliseconds, unless the link or the CPU of the router's own VM is busy.
	minProbeTimeout = 80 * time.Millisecond
	maxProbeTimeout = 350 * time.Millisecond
	// probeTimeoutFactor is the probe timeout as a multiple of the mean connection time.
	probeTimeoutFactor = 8
	// connectWeight is the weight of a new connection time in the moving average.
	connectWeight = 0.3
	// minCheckInterval is the least time between two background checks of an upstream.
	minCheckInterval = 100 * time.Millisecond
	// maxChecked bounds the number of upstreams whose last check is stored. It exceeds the number of upstreams of a large site.
	maxChecked = 1024
	// lostProbeInterval is the interval between probes of lost upstreams. Only one is probed at a time, since all routers probe
	// them.
	lostProbeInterval = 50 * time.Millisecond
)

// prober checks whether an upstream's VM answers by opening a connection, which is then pooled for later requests. A lost
// upstream that answers with its own ID becomes available again.
type prober struct {
	*state
	group  *group.Group
	flight singleflight.Group
	// checkedAt holds the time of each upstream's last background check.
	checkedAt map[ids.VM]time.Time
	// onRecovered is called when a lost upstream answers.
	onRecovered func(ctx context.Context, u fleet.Upstream)
	// meanConnect is the moving average of the connection times.
	meanConnect time.Duration
}

// alive probes an upstream and reports whether it answered in time. Concurrent calls for an upstream share one probe.
func (p *prober) alive(u fleet.Upstream) bool {
	_, err, _ := p.flight.Do(string(u.ID), func() (any, error) {
		return nil, p.probe(u)
	})
	return err == nil
}

// probe makes one probe, and returns the reason if it is not answered in time.
func (p *prober) probe(u fleet.Upstream) error {
	p.metrics.Counter("probes").Inc(1)
	start, timeout := p.clock.Now(), p.timeout()
	result := make(chan error, 1)
	p.group.Go(func(ctx context.Context) { result <- p.connect(ctx, u) })
	err := context.DeadlineExceeded
	select {
	case err = <-result:
	case <-p.clock.After(timeout):
	}
	if err != nil {
		p.logUnanswered(u, timeout, p.clock.Since(start), err)
	}
	return err
}

// logUnanswered logs an unanswered probe of an upstream that is not known to be lost.
func (p *prober) logUnanswered(u fleet.Upstream, timeout, waited time.Duration, err error) {
	if locked(&p.mu, func() bool { return p.fleet.IsLost(u.ID, u.Started) }) {
		return
	}
	p.log.Write(event.ProbeUnanswered, "upstream", u.ID, "failure_domain", u.Domain, "timeout", timeout.String(),
		"waited", waited.String(), "error", err.Error())
}

// connect opens a connection for the pool and measures the connection time. It goes on after the probe has timed out, so
// that delays of the router's own VM enter the average.
func (p *prober) connect(ctx context.Context, u fleet.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, maxProbeTimeout)
	defer cancel()
	start := p.clock.Now()
	conn, err := p.pool.Dial(ctx, u.Address)
	if err != nil {
		return err
	}
	p.pool.Put(conn)
	connectTime := p.clock.Since(start)
	p.mu.Lock()
	p.meanConnect += time.Duration(connectWeight * float64(connectTime-p.meanConnect))
	wasLost := p.fleet.IsLost(u.ID, u.Started)
	p.mu.Unlock()
	if wasLost {
		p.onRecovered(ctx, u)
	}
	return nil
}

// timeout returns the timeout of a probe.
func (p *prober) timeout() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(maxProbeTimeout, max(minProbeTimeout, probeTimeoutFactor*p.meanConnect))
}

// checkAsync probes an upstream in the background and marks it as lost if it does not answer.
func (p *prober) checkAsync(u fleet.Upstream) {
	p.mu.Lock()
	recent := p.clock.Since(p.checkedAt[u.ID]) < minCheckInterval
	if len(p.checkedAt) > maxChecked {
		clear(p.checkedAt)
	}
	p.checkedAt[u.ID] = p.clock.Now()
	p.mu.Unlock()
	if recent {
		return
	}
	p.group.Go(func(context.Context) {
		if !p.alive(u) {
			p.markLost(u, "probe")
		}
	})
}

// run probes lost upstreams until ctx is done.
func (p *prober) run(ctx context.Context) {
	group.Every(ctx, p.clock, lostProbeInterval, func() {
		p.mu.Lock()
		u, found := p.fleet.NextProbe(p.clock.Now())
		p.mu.Unlock()
		if found {
			p.alive(u)
		}
	})
}
