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
	grantTimeout   = 150 * time.Millisecond
	walletIdle     = time.Minute
	expireInterval = 30 * time.Second
)

// Grants admits requests by the limits of their workspaces. It is safe for concurrent use.
type Grants struct {
	view   *fleetview.View
	config *activeconfig.Holder
	dialer *rpc.Dialer
	clock  clockwork.Clock

	mu     sync.Mutex
	home   *admission.Coordinator
	local  *admission.Limiter
	asking map[ids.Workspace]chan struct{}
}

// NewGrants returns grants without any account.
func NewGrants(v *fleetview.View, config *activeconfig.Holder, dialer *rpc.Dialer, clock clockwork.Clock) *Grants {
	return &Grants{
		view: v, config: config, dialer: dialer, clock: clock,
		home: admission.NewCoordinator(), local: admission.NewLimiter(), asking: make(map[ids.Workspace]chan struct{}),
	}
}

// Run drops idle accounts until the context ends.
func (g *Grants) Run(ctx context.Context) {
	group.Every(ctx, g.clock, expireInterval, g.expire)
}

func (g *Grants) expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.home.Expire(g.clock.Now(), walletIdle)
	g.local.Expire(g.clock.Now(), walletIdle)
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

// Admit starts a request of a workspace, or returns a fault of kind workspace_limit. The returned function ends it.
func (g *Grants) Admit(ctx context.Context, w ids.Workspace) (func(), error) {
	for {
		g.mu.Lock()
		answer := g.local.Admit(g.clock.Now(), w)
		g.mu.Unlock()
		switch answer {
		case admission.Admitted:
			return g.ender(w), nil
		case admission.Denied:
			return nil, fault.New(fault.WorkspaceLimit, "workspace %s", w)
		case admission.NeedsGrant:
		}
		reached, err := g.ask(ctx, w)
		if err != nil {
			return nil, err
		}
		if !reached {
			return g.fallback(w)
		}
	}
}

func (g *Grants) ender(w ids.Workspace) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			g.local.Release(w)
		})
	}
}

// fallback uses this router's share while the home cannot be reached.
func (g *Grants) fallback(w ids.Workspace) (func(), error) {
	routers := len(g.view.Routers())
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.local.Fallback(g.clock.Now(), w, g.limit(w), routers) {
		return nil, fault.New(fault.WorkspaceLimit, "workspace %s, by this router's share", w)
	}
	return g.ender(w), nil
}

// ask gets starts from the home. Requests that ask at the same time share one question.
func (g *Grants) ask(ctx context.Context, w ids.Workspace) (bool, error) {
	g.mu.Lock()
	if waiting, busy := g.asking[w]; busy {
		g.mu.Unlock()
		select {
		case <-waiting:
			return true, nil
		case <-ctx.Done():
			return false, fault.Wrap(fault.DeadlineExceeded, ctx.Err(), "waiting for a grant")
		}
	}
	done := make(chan struct{})
	g.asking[w] = done
	want, running := g.local.Want(w), g.local.Running(w)
	g.mu.Unlock()
	granted, reached := g.fromHome(ctx, w, want, running)
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.asking, w)
	close(done)
	if reached {
		g.local.ReceiveGrant(g.clock.Now(), w, granted)
	}
	return reached, nil
}

func (g *Grants) fromHome(ctx context.Context, w ids.Workspace, want, running int) (int, bool) {
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
