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
	// probeTime bounds a probe: a living VM answers within its round trip of some milliseconds.
	probeTime = 60 * time.Millisecond
	// retryProbe is the pause between the probes of an upstream that is out of use.
	retryProbe = 500 * time.Millisecond
)

// prober finds out whether an upstream's VM answers, by opening a connection, which is kept for later requests.
type prober struct {
	*world
	group  *group.Group
	flight singleflight.Group
	// checked is when an upstream was last checked aside.
	checked map[ids.VM]time.Time
}

// alive opens a connection to the upstream; callers that ask at the same time share the answer.
func (p *prober) alive(u fleet.Upstream) bool {
	_, err, _ := p.flight.Do(string(u.ID), func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), probeTime)
		defer cancel()
		p.metrics.Counter("probes").Inc(1)
		conn, err := p.pool.Dial(ctx, u.Address)
		if err != nil {
			return nil, err
		}
		p.pool.Keep(conn)
		return nil, nil
	})
	return err == nil
}

// check probes an upstream aside and takes it out of use if it does not answer.
func (p *prober) check(u fleet.Upstream) {
	p.mu.Lock()
	recent := p.clock.Since(p.checked[u.ID]) < probeTime
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
		list := p.fleet.LostOnes()
		p.mu.Unlock()
		for _, u := range list {
			p.group.Go(func(context.Context) {
				if p.alive(u) {
					p.found(u)
				}
			})
		}
	})
}
