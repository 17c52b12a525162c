// Package orders sends load and unload orders to upstreams until they hold the declared models.
//
// One router holds a lease in the platform's key-value service; the index at which it acquired the lease is the fencing
// number of its orders. It compares the models that agents report with the declared ones and loads those that are missing,
// at a rate that the weight store can sustain. A version that is no longer declared is unloaded once every upstream of the
// service holds the declared versions.
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

	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/inforce"
	"bilberrylug.dev/core/kv"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/rendezvous"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/router/agent"
	"bilberrylug.dev/router/view"
)

const (
	leaseTTL      = 15 * time.Second
	renewInterval = 4 * time.Second
	orderTimeout  = 5 * time.Second
	// leaseCandidates is the number of routers that try to acquire the lease.
	leaseCandidates = 2
)

// Options are the dependencies of a Giver.
type Options struct {
	Store  kv.Store
	View   *view.View
	Config *inforce.Holder
	Links  *agent.Links
	Clock  clockwork.Clock
	Log    *event.Log
	// LoadsPerMinute is the rate of model loads, over the whole fleet, that the weight store can sustain.
	LoadsPerMinute float64
}

// Giver sends orders to upstreams while it holds the lease.
type Giver struct {
	Options

	loadLimiter *rate.Limiter
	session     kv.Session
	fence       ids.Fence
	leaseExpiry time.Time
}

// New returns a Giver that does not hold the lease yet.
func New(o Options) *Giver {
	return &Giver{Options: o, loadLimiter: rate.NewLimiter(rate.Limit(o.LoadsPerMinute/60), 1)}
}

// Run acquires and renews the lease, and sends orders while it holds the lease, until ctx is done.
func (g *Giver) Run(ctx context.Context) {
	ticker := g.Clock.NewTicker(time.Second)
	defer ticker.Stop()
	var renewed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if g.Clock.Since(renewed) >= renewInterval && g.isCandidate() {
			renewed = g.Clock.Now()
			g.renewLease(ctx)
		}
		if g.hasLease() {
			g.reconcile(ctx)
		}
	}
}

func (g *Giver) isCandidate() bool {
	return slices.Contains(rendezvous.Top("orders", g.View.Routers(), leaseCandidates), g.View.Self().VM)
}

// hasLease reports whether the lease is still valid by this process's clock. leaseExpiry counts from before the call to the
// service, so the lease ends here before it ends in the service.
func (g *Giver) hasLease() bool { return g.fence > 0 && g.Clock.Now().Before(g.leaseExpiry) }

// renewLease renews the session and acquires the lease, opening a new session if there is none.
func (g *Giver) renewLease(ctx context.Context) {
	start := g.Clock.Now()
	if g.session != "" {
		if ok, err := g.Store.RenewSession(ctx, g.session); err == nil && !ok {
			g.clearSession()
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
		g.clearLease()
		return
	}
	if g.fence != ids.Fence(v.Index) {
		g.fence = ids.Fence(v.Index)
		g.Log.Write(event.LeaseHeld, "fence", uint64(g.fence))
	}
	g.leaseExpiry = start.Add(leaseTTL)
}

func (g *Giver) clearSession() {
	g.session = ""
	g.clearLease()
}

func (g *Giver) clearLease() {
	if g.fence > 0 {
		g.Log.Write(event.LeaseLost, "fence", uint64(g.fence))
	}
	g.fence = 0
}

// reconcile issues the orders that the active configuration requires. It stops when the lease expires.
func (g *Giver) reconcile(ctx context.Context) {
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
			if !g.hasLease() {
				return
			}
			g.issue(ctx, o)
		}
	}
}

func (g *Giver) issue(ctx context.Context, o Order) {
	if o.Action == Load && !g.loadLimiter.AllowN(g.Clock.Now(), 1) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := g.Links.Order(ctx, o.VM, &wire.OrderRequest{
		Fence: uint64(g.fence), Action: string(o.Action), Model: o.Model.Name, Version: o.Model.Version,
	})
	if err != nil {
		g.Log.Write(event.OrderRefused, "upstream", string(o.VM), "action", string(o.Action), "error", err.Error())
		return
	}
	g.Log.Write(event.OrderGiven, "upstream", string(o.VM), "action", string(o.Action), "model", o.Model.String(), "fence", uint64(g.fence))
}

// liveAgents returns the live agents of a service.
func liveAgents(s ids.Service, members []membership.Member) []membership.Member {
	var out []membership.Member
	for _, m := range members {
		if m.Role == membership.Agent && m.Service == s && m.State == membership.Live {
			out = append(out, m)
		}
	}
	return out
}
