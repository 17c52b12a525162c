// Package orders gives upstreams the orders that bring them to the declared models.
//
// One router holds a lease of the platform's service; the index of its grant is the fencing number of its orders. It
// compares what agents report with what is declared and loads what is missing, at a rate that the weight store stands.
// A version that is no longer declared is unloaded when every upstream of the service holds the new ones.
//
// # Usage
//
//	g := orders.New(orders.Options{...})
//	group.Go(g.Run)
package orders

import (
	"context"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/kv"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/rendezvous"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/router/agent"
	"bilberrylug.dev/router/fleetview"
)

const (
	leaseTTL     = 15 * time.Second
	renewEvery   = 4 * time.Second
	orderTimeout = 5 * time.Second
	// candidates is the number of routers that try for the lease.
	candidates = 2
)

// Options are the dependencies of a giver.
type Options struct {
	Store  kv.Store
	View   *fleetview.View
	Config *activeconfig.Holder
	Agents *agent.Client
	Clock  clockwork.Clock
	Log    *event.Log
	// LoadsPerMinute is the rate that the weight store stands, for the whole fleet.
	LoadsPerMinute float64
}

// Reconciler gives orders while it holds the lease.
type Reconciler struct {
	Options

	loads   *rate.Limiter
	session kv.Session
	fence   ids.Fence
	heldTo  time.Time
}

// New returns a giver without the lease.
func New(o Options) *Reconciler {
	return &Reconciler{Options: o, loads: rate.NewLimiter(rate.Limit(o.LoadsPerMinute/60), 1)}
}

// Run tries for the lease and gives orders until the context ends.
func (g *Reconciler) Run(ctx context.Context) {
	ticker := g.Clock.NewTicker(time.Second)
	defer ticker.Stop()
	var renewed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if g.Clock.Since(renewed) >= renewEvery && g.candidate() {
			renewed = g.Clock.Now()
			g.hold(ctx)
		}
		if g.holds() {
			g.reconcile(ctx)
		}
	}
}

func (g *Reconciler) candidate() bool {
	return slices.Contains(rendezvous.Top("orders", g.View.Routers(), candidates), g.View.Self().VM)
}

// holds tells whether the lease is held by this process's own clock, which began before the service's.
func (g *Reconciler) holds() bool { return g.fence > 0 && g.Clock.Now().Before(g.heldTo) }

// hold renews the lease or tries for it anew.
func (g *Reconciler) hold(ctx context.Context) {
	began := g.Clock.Now()
	if g.session != "" {
		if ok, err := g.Store.RenewSession(ctx, g.session); err == nil && !ok {
			g.drop()
		} else if err != nil {
			return
		}
	}
	if g.session == "" {
		session, err := g.Store.OpenSession(ctx, leaseTTL)
		if err != nil {
			return
		}
		g.session = session
	}
	v, acquired, err := g.Store.Acquire(ctx, kv.OrderLeaseKey, []byte(g.View.Self().VM), g.session)
	if err != nil {
		return
	}
	if !acquired {
		g.lose()
		return
	}
	if g.fence != ids.Fence(v.Index) {
		g.fence = ids.Fence(v.Index)
		g.Log.Write(event.LeaseAcquired, "fence", uint64(g.fence))
	}
	g.heldTo = began.Add(leaseTTL)
}

func (g *Reconciler) drop() {
	g.session = ""
	g.lose()
}

func (g *Reconciler) lose() {
	if g.fence > 0 {
		g.Log.Write(event.LeaseLost, "fence", uint64(g.fence))
	}
	g.fence = 0
}

func (g *Reconciler) reconcile(ctx context.Context) {
	current := g.Config.Current()
	if current == nil {
		return
	}
	members := g.View.Members()
	for _, s := range current.Declared.Services {
		if s.Kind != declared.ModelService {
			continue
		}
		for _, o := range Plan(s, members) {
			if !g.holds() {
				return
			}
			g.give(ctx, o)
		}
	}
}

func (g *Reconciler) give(ctx context.Context, o Order) {
	if o.Action == Load && !g.loads.AllowN(g.Clock.Now(), 1) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := g.Agents.Order(ctx, o.VM, &wire.OrderRequest{
		Fence: uint64(g.fence), Action: string(o.Action), Model: o.Model.Name, Version: o.Model.Version,
	})
	if err != nil {
		g.Log.Write(event.OrderRefused, "upstream", string(o.VM), "action", string(o.Action), "error", err.Error())
		return
	}
	g.Log.Write(event.OrderGiven, "upstream", string(o.VM), "action", string(o.Action), "model", o.Model.String(), "fence", uint64(g.fence))
}

// live lists the live agents of a service.
func live(s ids.Service, members []membership.Member) []membership.Member {
	var out []membership.Member
	for _, m := range members {
		if m.Role == membership.Agent && m.Service == s && m.State == membership.Live {
			out = append(out, m)
		}
	}
	return out
}
