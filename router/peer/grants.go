package peer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/admission"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/rendezvous"
	"bilberrylug.dev/core/rpc"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/router/fleetview"
)

const (
	// grantTimeout bounds a call to the coordinator.
	grantTimeout = 150 * time.Millisecond
	// accountIdleTimeout is how long an unused account or quota of a workspace is kept.
	accountIdleTimeout = time.Minute
	expireInterval     = 30 * time.Second
)

// Grants enforces the limits of workspaces over all routers: the coordinator of a workspace, which is one of the routers,
// grants credits to the others. It is safe for concurrent use.
type Grants struct {
	view   *fleetview.View
	config *activeconfig.Holder
	dialer *rpc.Dialer
	clock  clockwork.Clock

	mu          sync.Mutex
	coordinator *admission.Coordinator
	limiter     *admission.Limiter
	pending     map[ids.Workspace]chan struct{}
}

// NewGrants returns a Grants without accounts and quotas.
func NewGrants(v *fleetview.View, config *activeconfig.Holder, dialer *rpc.Dialer, clock clockwork.Clock) *Grants {
	return &Grants{
		view: v, config: config, dialer: dialer, clock: clock,
		coordinator: admission.NewCoordinator(), limiter: admission.NewLimiter(), pending: make(map[ids.Workspace]chan struct{}),
	}
}

// Run deletes idle accounts and quotas until ctx is done.
func (g *Grants) Run(ctx context.Context) {
	group.Every(ctx, g.clock, expireInterval, g.expire)
}

func (g *Grants) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.coordinator.Expire(g.clock.Now(), accountIdleTimeout)
	g.limiter.Expire(g.clock.Now(), accountIdleTimeout)
}

func (g *Grants) limit(w ids.Workspace) admission.Limit {
	current := g.config.Current()
	if current == nil {
		return admission.Limit{}
	}
	d := current.Workspaces[w]
	return admission.Limit{RequestsPerSecond: d.RequestsPerSecond, MaxRunning: d.MaxRunning}
}

func (g *Grants) grantLocally(from ids.VM, w ids.Workspace, want, running int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.coordinator.Grant(g.clock.Now(), w, from, g.limit(w), want, running)
}

// Admit admits a request of a workspace, or returns a fault of kind workspace_limit. The caller must call the returned
// function when the request has ended.
func (g *Grants) Admit(ctx context.Context, w ids.Workspace) (func(), error) {
	for {
		g.mu.Lock()
		decision := g.limiter.Admit(g.clock.Now(), w)
		g.mu.Unlock()
		switch decision {
		case admission.Admitted:
			return g.releaseFunc(w), nil
		case admission.Denied:
			return nil, fault.New(fault.WorkspaceLimit, "workspace %s", w)
		case admission.NeedsGrant:
		}
		reached, err := g.requestGrant(ctx, w)
		if err != nil {
			return nil, err
		}
		if !reached {
			return g.admitByShare(w)
		}
	}
}

// releaseFunc returns the function that ends an admitted request.
func (g *Grants) releaseFunc(w ids.Workspace) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.limiter.Release(w)
		})
	}
}

// admitByShare admits a request by this router's equal share of the limit, because the coordinator is unreachable.
func (g *Grants) admitByShare(w ids.Workspace) (func(), error) {
	routers := len(g.view.Routers())
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.limiter.Fallback(g.clock.Now(), w, g.limit(w), routers) {
		return nil, fault.New(fault.WorkspaceLimit, "workspace %s, by this router's share", w)
	}
	return g.releaseFunc(w), nil
}

// requestGrant requests credits from the coordinator of a workspace. Concurrent requests of a workspace share one call; for
// those that only waited for it, it returns true, so that they check the limiter again. It returns false if the coordinator
// could not be reached, and a fault of kind deadline_exceeded if ctx ended while waiting.
func (g *Grants) requestGrant(ctx context.Context, w ids.Workspace) (bool, error) {
	g.mu.Lock()
	if waiting, busy := g.pending[w]; busy {
		g.mu.Unlock()
		select {
		case <-waiting:
			return true, nil
		case <-ctx.Done():
			return false, fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "waiting for a grant")
		}
	}
	done := make(chan struct{})
	g.pending[w] = done
	want, running := g.limiter.Want(w), g.limiter.Running(w)
	g.mu.Unlock()
	granted, reached := g.grantFromCoordinator(ctx, w, want, running)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, w)
	close(done)
	if reached {
		g.limiter.ReceiveGrant(g.clock.Now(), w, granted)
	}
	return reached, nil
}

// grantFromCoordinator requests credits from the coordinator of a workspace, which may be this router. It returns the number
// that was granted, and false if the coordinator could not be reached.
func (g *Grants) grantFromCoordinator(ctx context.Context, w ids.Workspace, want, running int) (int, bool) {
	self := g.view.Self().VM
	coordinators := rendezvous.Top(string(w), g.view.Routers(), 1)
	if len(coordinators) == 0 || coordinators[0] == self {
		return g.grantLocally(self, w, want, running), true
	}
	address, known := g.view.Address(coordinators[0])
	if !known {
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	conn := g.dialer.Conn(address)
	defer func() { _ = conn.Close() }()
	reply, err := wire.NewDRPCRouterClient(conn).Grant(ctx, &wire.GrantRequest{
		Header:    &wire.Header{Sender: string(self), Revision: uint64(g.config.Revision())},
		Workspace: string(w), Want: uint32(want), Running: uint32(running),
	})
	if err != nil {
		return 0, false
	}
	return int(reply.GetGranted()), true
}
