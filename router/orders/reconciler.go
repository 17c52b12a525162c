// Package orders sends load and unload orders to upstreams until they hold the declared models.
//
// One router holds a lease in the platform's key-value service; the index at which it acquired the lease is the fencing
// number of its orders. It compares the models that agents report with the declared ones and loads those that are missing,
// at a rate that the store of the model weights can sustain. A version that is no longer declared is unloaded once every
// live upstream of the service holds the declared versions.
//
// # Usage
//
//	r := orders.New(orders.Options{...})
//	group.Go(r.Run)
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
	leaseTTL      = 15 * time.Second
	renewInterval = 4 * time.Second
	// orderTimeout bounds sending one order and waiting for its result.
	orderTimeout = 5 * time.Second
	// leaseCandidates is the number of routers that try to acquire the lease.
	leaseCandidates = 2
)

// Options holds the dependencies of a [Reconciler].
type Options struct {
	Store  kv.Store
	View   *fleetview.View
	Config *activeconfig.Holder
	Agents *agent.Client
	Clock  clockwork.Clock
	Log    *event.Log
	// LoadsPerMinute is the rate of model loads, over the whole fleet, that the store of the model weights can sustain.
	LoadsPerMinute float64
}

// Reconciler sends orders to upstreams while it holds the lease.
type Reconciler struct {
	Options

	loadLimiter *rate.Limiter
	session     kv.Session
	fence       ids.Fence
	leaseExpiry time.Time
}

// New returns a Reconciler that does not hold the lease yet.
func New(o Options) *Reconciler {
	return &Reconciler{Options: o, loadLimiter: rate.NewLimiter(rate.Limit(o.LoadsPerMinute/60), 1)}
}

// Run acquires and renews the lease, and sends orders while it holds the lease, until ctx is done.
func (r *Reconciler) Run(ctx context.Context) {
	ticker := r.Clock.NewTicker(time.Second)
	defer ticker.Stop()
	var renewed time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if r.Clock.Since(renewed) >= renewInterval && r.isCandidate() {
			renewed = r.Clock.Now()
			r.renewLease(ctx)
		}
		if r.hasLease() {
			r.reconcile(ctx)
		}
	}
}

func (r *Reconciler) isCandidate() bool {
	return slices.Contains(rendezvous.Top("orders", r.View.Routers(), leaseCandidates), r.View.Self().VM)
}

// hasLease reports whether the lease is still valid by this process's clock. leaseExpiry counts from before the call to the
// service, so the lease ends here before it ends in the service.
func (r *Reconciler) hasLease() bool { return r.fence > 0 && r.Clock.Now().Before(r.leaseExpiry) }

// renewLease renews the session and acquires the lease, opening a new session if there is none.
func (r *Reconciler) renewLease(ctx context.Context) {
	start := r.Clock.Now()
	if r.session != "" {
		if ok, err := r.Store.RenewSession(ctx, r.session); err == nil && !ok {
			r.clearSession()
		} else if err != nil {
			return
		}
	}
	if r.session == "" {
		session, err := r.Store.OpenSession(ctx, leaseTTL)
		if err != nil {
			return
		}
		r.session = session
	}
	v, acquired, err := r.Store.Acquire(ctx, kv.OrderLeaseKey, []byte(r.View.Self().VM), r.session)
	if err != nil {
		return
	}
	if !acquired {
		r.clearLease()
		return
	}
	if r.fence != ids.Fence(v.Index) {
		r.fence = ids.Fence(v.Index)
		r.Log.Write(event.LeaseAcquired, "fence", uint64(r.fence))
	}
	r.leaseExpiry = start.Add(leaseTTL)
}

func (r *Reconciler) clearSession() {
	r.session = ""
	r.clearLease()
}

func (r *Reconciler) clearLease() {
	if r.fence > 0 {
		r.Log.Write(event.LeaseLost, "fence", uint64(r.fence))
	}
	r.fence = 0
}

// reconcile issues the orders that the active configuration requires. It stops when the lease expires.
func (r *Reconciler) reconcile(ctx context.Context) {
	current := r.Config.Current()
	if current == nil {
		return
	}
	members := r.View.Members()
	for _, s := range current.Declared.Services {
		if s.Kind != declared.ModelService {
			continue
		}
		for _, o := range Plan(s, members) {
			if !r.hasLease() {
				return
			}
			r.issue(ctx, o)
		}
	}
}

func (r *Reconciler) issue(ctx context.Context, o Order) {
	if o.Action == Load && !r.loadLimiter.AllowN(r.Clock.Now(), 1) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := r.Agents.Order(ctx, o.VM, &wire.OrderRequest{
		Fence: uint64(r.fence), Action: string(o.Action), Model: o.Model.Name, Version: o.Model.Version,
	})
	if err != nil {
		r.Log.Write(event.OrderRefused, "upstream", string(o.VM), "action", string(o.Action), "error", err.Error())
		return
	}
	r.Log.Write(event.OrderGiven, "upstream", string(o.VM), "action", string(o.Action), "model", o.Model.String(), "fence", uint64(r.fence))
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
