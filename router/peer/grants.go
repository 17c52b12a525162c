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
	grantTimeout       = 150 * time.Millisecond
	accountIdleTimeout = time.Minute
	expireInterval     = 30 * time.Second
)

// Grants enforces the limits of workspaces over all routers: the home router of a workspace grants request starts to the
// others. It is safe for concurrent use.
type Grants struct {
	view   *fleetview.View
	config *activeconfig.Holder
	dialer *rpc.Dialer
	clock  clockwork.Clock

	mu      sync.Mutex
	home    *admission.Coordinator
	local   *admission.Limiter
	pending map[ids.Workspace]chan struct{}
}

// NewGrants returns a Grants without accounts.
func NewGrants(v *fleetview.View, config *activeconfig.Holder, dialer *rpc.Dialer, clock clockwork.Clock) *Grants {
	return &Grants{
		view: v, config: config, dialer: dialer, clock: clock,
		home: admission.NewCoordinator(), local: admission.NewLimiter(), pending: make(map[ids.Workspace]chan struct{}),
	}
}

// Run drops idle accounts until ctx is done.
func (g *Grants) Run(ctx context.Context) {
	group.Every(ctx, g.clock, expireInterval, g.expire)
}

func (g *Grants) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.home.Expire(g.clock.Now(), accountIdleTimeout)
	g.local.Expire(g.clock.Now(), accountIdleTimeout)
}

func (g *Grants) limit(w ids.Workspace) admission.Limit {
	current := g.config.Current()
	if current == nil {
		return admission.Limit{}
	}
	d := current.Workspaces[w]
	return admission.Limit{RequestsPerSecond: d.RequestsPerSecond, MaxRunning: d.MaxRunning}
}

func (g *Grants) grantHere(from ids.VM, w ids.Workspace, want, running int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.home.Grant(g.clock.Now(), w, from, g.limit(w), want, running)
}

// Admit admits a request of a workspace, or returns a fault of kind workspace_limit. The caller must call the returned
// function when the request has ended.
func (g *Grants) Admit(ctx context.Context, w ids.Workspace) (func(), error) {
	for {
		g.mu.Lock()
		decision := g.local.Admit(g.clock.Now(), w)
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
			g.local.Release(w)
		})
	}
}

// admitByShare admits a request by this router's equal share of the limit, because the home router is unreachable.
func (g *Grants) admitByShare(w ids.Workspace) (func(), error) {
	routers := len(g.view.Routers())
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.local.Fallback(g.clock.Now(), w, g.limit(w), routers) {
		return nil, fault.New(fault.WorkspaceLimit, "workspace %s, by this router's share", w)
	}
	return g.releaseFunc(w), nil
}

// requestGrant requests starts from the home router. Concurrent requests of a workspace share one call; those that only
// waited for it return true and have to call Admit again. It returns false if the home router could not be reached, and a
// fault of kind deadline_exceeded if ctx ended while waiting.
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
	want, running := g.local.Want(w), g.local.Running(w)
	g.mu.Unlock()
	granted, reached := g.grantFromHome(ctx, w, want, running)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, w)
	close(done)
	if reached {
		g.local.ReceiveGrant(g.clock.Now(), w, granted)
	}
	return reached, nil
}

// grantFromHome requests starts from the home router of a workspace, which may be this router. It returns the number that
// was granted, and false if the home router could not be reached.
func (g *Grants) grantFromHome(ctx context.Context, w ids.Workspace, want, running int) (int, bool) {
	self := g.view.Self().VM
	home := rendezvous.Top(string(w), g.view.Routers(), 1)
	if len(home) == 0 || home[0] == self {
		return g.grantHere(self, w, want, running), true
	}
	address, known := g.view.Address(home[0])
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
