// Package view is a router's picture of the fleet: its members, their load, and which of them can take a piece of work.
//
// # Usage
//
//	v := view.New(view.Options{...})
//	vm, ok := v.Pick(view.Request{Service: "lug-pool", Model: model, Tokens: 300})
//	witnesses := v.Witnesses(key)
package fleetview

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/balancer"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/rendezvous"
)

// witnessCandidates is the number of agents, in the order of their weight, that may hold the journal of a request.
const witnessCandidates = 6

// Timeouts of a router's membership table.
var tableTimeouts = membership.Timeouts{SuspectAfter: 3 * time.Second, RemoveAfter: 60 * time.Second}

// Options are the dependencies of a view.
type Options struct {
	Self   membership.Member
	Config *activeconfig.Holder
	Clock  clockwork.Clock
	Rand   *rand.Rand
}

// View is safe for concurrent use.
type View struct {
	config *activeconfig.Holder
	clock  clockwork.Clock

	mu     sync.Mutex
	rng    *rand.Rand
	table  *membership.Table
	picker *balancer.Picker
	lists  *lists
	known  map[ids.VM]PeerVersion
}

// New returns a view that knows only its own router.
func New(o Options) *View {
	return &View{
		config: o.Config, clock: o.Clock, rng: o.Rand,
		table: membership.NewTable(o.Self, tableTimeouts), picker: balancer.New(o.Rand),
		known: make(map[ids.VM]PeerVersion),
	}
}

// Self returns the router as it presents itself.
func (v *View) Self() membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Self()
}

// Update changes the table under the lock; the lists derived from it are made anew.
func (v *View) Update(change func(t *membership.Table)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(v.table)
	v.lists = nil
}

// Heard notes a direct word of a member with its load, without a change of the lists.
func (v *View) RecordContact(vm ids.VM, rev ids.Revision, load balancer.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	v.table.RecordContact(now, vm, rev)
	if load.Slots > 0 {
		v.picker.RecordLoad(now, vm, load)
	}
}

// RecordLoad notes a load report that came with a reply.
func (v *View) RecordLoad(vm ids.VM, load balancer.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.picker.RecordLoad(v.clock.Now(), vm, load)
}

// RecordFailure passes an upstream over for a while.
func (v *View) RecordFailure(vm ids.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.picker.RecordFailure(v.clock.Now(), vm)
}

// Request is a piece of work to be placed.
type Request struct {
	Service  ids.Service
	Model    ids.Model
	Tokens   uint64
	Affinity string
	Avoid    []ids.VM
}

// Pick chooses an upstream for a piece of work and counts the work as sent.
func (v *View) Pick(w Request) (ids.VM, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	candidates := v.derived().upstreams[upstreamKey{w.Service, w.Model}]
	vm, ok := v.picker.Pick(now, balancer.Request{Candidates: candidates, Tokens: w.Tokens, Affinity: w.Affinity, Avoid: w.Avoid})
	if ok {
		v.picker.RecordSent(now, vm, w.Tokens)
	}
	return vm, ok
}

// Upstreams lists the agents of a plain service in the order of their weight for a key.
func (v *View) Upstreams(s ids.Service, key string) []ids.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	return rendezvous.Order(key, v.derived().upstreams[upstreamKey{s, ids.Model{}}])
}

// Witnesses lists the agents that may hold the journal of a request. With own set, they are those that this router
// writes to: first those outside its failure domain, and behind them any, since a witness nearby is better than none.
func (v *View) Witnesses(key ids.RequestKey, own bool) []ids.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := v.derived()
	if !own {
		return rendezvous.Top(key.String(), l.agents, witnessCandidates)
	}
	out := rendezvous.Top(key.String(), l.otherDomains, witnessCandidates)
	if len(out) == witnessCandidates {
		return out
	}
	for _, vm := range rendezvous.Top(key.String(), l.agents, witnessCandidates) {
		if !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return out
}

// Address returns the address of a member.
func (v *View) Address(vm ids.VM) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	m, known := v.table.Get(vm)
	return m.Address, known
}

// Routers lists the live routers, this one included.
func (v *View) Routers() []ids.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.derived().routers
}

// Members lists all members.
func (v *View) Members() []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Members()
}

// Contacts lists the members that speak to this router directly.
func (v *View) Contacts() []membership.Contact {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Contacts()
}

// RandomPeers returns at most n other live routers.
func (v *View) RandomPeers(n int) []ids.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []ids.VM
	routers := v.derived().routers
	self := v.table.Self().VM
	for _, i := range v.rng.Perm(len(routers)) {
		if routers[i] != self && len(out) < n {
			out = append(out, routers[i])
		}
	}
	return out
}

// MergeMembers merges news of members and returns those that changed.
func (v *View) MergeMembers(news []membership.Member) []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.table.Merge(v.clock.Now(), news)
	if len(changed) > 0 {
		v.lists = nil
	}
	return changed
}

// Judge suspects silent members and returns those that changed.
func (v *View) DetectFailures() []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	self, routers := v.table.Self().VM, v.derived().routers
	changed := v.table.DetectFailures(v.clock.Now(), func(vm ids.VM) bool {
		return slices.Contains(rendezvous.Top(string(vm), routers, membership.HeartbeatRouters), self)
	})
	if len(changed) > 0 {
		v.lists = nil
	}
	return changed
}

// After returns the members that changed after a version of the table, with the current version.
func (v *View) ChangedAfter(version uint64) ([]membership.Member, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.ChangedAfter(version)
}

// SetRevision notes the revision of a peer that answered. A peer is not judged by the exchanges that this router
// begins, since they reach each peer rarely.
func (v *View) SetRevision(vm ids.VM, rev ids.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.SetRevision(vm, rev)
}

// MedianCadence returns the median time between tokens that the agents of a model report, or zero when none does.
func (v *View) MedianCadence(s ids.Service, m ids.Model) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.picker.MedianCadence(v.derived().upstreams[upstreamKey{s, m}])
}
