package direct

import (
	"context"
	"time"

	"golang.org/x/sync/singleflight"

	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/router/upstream"
)

type connection = *upstream.Conn

const (
	// minProbe and maxProbe bound the time in which a probe must be answered: a living VM answers within its round trip of
	// some milliseconds, unless this VM's own link or processor is busy.
	minProbe = 80 * time.Millisecond
	maxProbe = 350 * time.Millisecond
	// probeRounds is the number of usual connection times after which a probe counts as unanswered.
	probeRounds = 8
	// connectWeight is the weight of a connection time in the running mean.
	connectWeight = 0.3
	// recentCheck is the pause within which an upstream is not checked aside twice.
	recentCheck = 100 * time.Millisecond
	// maxChecked bounds the upstreams whose last check is remembered; it is above the upstreams of a large site.
	maxChecked = 1024
	// retryProbe is the pause between the probes of upstreams that are out of use. One at a time is probed, since all routers
	// do so.
	retryProbe = 50 * time.Millisecond
)

// prober finds out whether an upstream's VM answers, by opening a connection, which is kept for later requests. An upstream
// that was out of use and answers as the one it was is put back in use.
type prober struct {
	*world
	group  *group.Group
	flight singleflight.Group
	// checked is when an upstream was last checked aside.
	checked map[ids.VM]time.Time
	// returned is called when an upstream that was out of use answers.
	returned func(ctx context.Context, u fleet.Upstream)
	// usual is the running mean of the connection times.
	usual time.Duration
}

// alive opens a connection to the upstream; callers that ask at the same time share the answer.
func (p *prober) alive(u fleet.Upstream) bool {
	_, err, _ := p.flight.Do(string(u.ID), func() (any, error) {
		p.metrics.Counter("probes").Inc(1)
		answered := make(chan error, 1)
		p.group.Go(func(ctx context.Context) { answered <- p.connect(ctx, u) })
		select {
		case err := <-answered:
			return nil, err
		case <-p.clock.After(p.patience()):
			return nil, context.DeadlineExceeded
		}
	})
	return err == nil
}

// connect opens a connection for the pool and measures how long that takes, also beyond the probe's patience, so that this
// VM's own slowness is noticed.
func (p *prober) connect(ctx context.Context, u fleet.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, maxProbe)
	defer cancel()
	began := p.clock.Now()
	conn, err := p.pool.Dial(ctx, u.Address)
	if err != nil {
		return err
	}
	p.pool.Put(conn)
	taken := p.clock.Since(began)
	p.mu.Lock()
	p.usual += time.Duration(connectWeight * float64(taken-p.usual))
	late := p.fleet.IsLost(u.ID, u.Started)
	p.mu.Unlock()
	if late {
		p.returned(ctx, u)
	}
	return nil
}

// patience is the time in which a probe must be answered.
func (p *prober) patience() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(maxProbe, max(minProbe, probeRounds*p.usual))
}

// check probes an upstream aside and takes it out of use if it does not answer.
func (p *prober) check(u fleet.Upstream) {
	p.mu.Lock()
	recent := p.clock.Since(p.checked[u.ID]) < recentCheck
	if len(p.checked) > maxChecked {
		clear(p.checked)
	}
	p.checked[u.ID] = p.clock.Now()
	p.mu.Unlock()
	if recent {
		return
	}
	p.group.Go(func(context.Context) {
		if !p.alive(u) {
			p.lost(u, "probe")
		}
	})
}

// run probes the upstreams that are out of use until the context ends.
func (p *prober) run(ctx context.Context) {
	group.Every(ctx, p.clock, retryProbe, func() {
		p.mu.Lock()
		u, found := p.fleet.NextProbe(p.clock.Now())
		p.mu.Unlock()
		if found {
			p.alive(u)
		}
	})
}
