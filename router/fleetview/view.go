// Package fleetview holds a router's view of the fleet: its members, their load, and which of them can run a request.
//
// # Usage
//
//	v := fleetview.New(fleetview.Options{...})
//	vm, ok := v.Pick(fleetview.Request{Service: "lug-pool", Model: model, Tokens: 300})
//	witnesses := v.Witnesses(key, true)
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

// witnessCandidates is the number of agents, by descending rendezvous weight, that may hold the journal of a request.
const witnessCandidates = 6

var membershipTimeouts = membership.Timeouts{SuspectAfter: 3 * time.Second, RemoveAfter: 60 * time.Second}

// Options holds the dependencies of a view.
type Options struct {
	Self   membership.Member
	Config *activeconfig.Holder
	Clock  clockwork.Clock
	Rand   *rand.Rand
}

// View is a router's view of the fleet. It is safe for concurrent use.
type View struct {
	config *activeconfig.Holder
	clock  clockwork.Clock

	mu           sync.Mutex
	rng          *rand.Rand
	table        *membership.Table
	picker       *balancer.Picker
	lists        *derivedLists
	peerVersions map[ids.VM]PeerVersion
}

// New returns a View that contains only its own router.
func New(o Options) *View {
	return &View{
		config: o.Config, clock: o.Clock, rng: o.Rand,
		table: membership.NewTable(o.Self, membershipTimeouts), picker: balancer.New(o.Rand),
		peerVersions: make(map[ids.VM]PeerVersion),
	}
}

// Self returns the router's own member entry.
func (v *View) Self() membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Self()
}

// Update calls change with the table while holding the lock, and invalidates the lists derived from it.
func (v *View) Update(change func(t *membership.Table)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(v.table)
	v.lists = nil
}

// RecordContact records direct contact with a member, its active revision and its load. It leaves the derived lists valid.
func (v *View) RecordContact(vm ids.VM, rev ids.Revision, load balancer.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	v.table.RecordContact(now, vm, rev)
	if load.Slots > 0 {
		v.picker.RecordLoad(now, vm, load)
	}
}

// RecordLoad records a load report that arrived with a reply.
func (v *View) RecordLoad(vm ids.VM, load balancer.Load) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.picker.RecordLoad(v.clock.Now(), vm, load)
}

// RecordFailure records a failure of an upstream, which then receives no requests for a while.
func (v *View) RecordFailure(vm ids.VM) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.picker.RecordFailure(v.clock.Now(), vm)
}

// Request describes a request to be placed. Tokens is the number of tokens to generate. Affinity, if set, identifies the
// prompt's prefix. Upstreams in Avoid are not picked.
type Request struct {
	Service  ids.Service
	Model    ids.Model
	Tokens   uint64
	Affinity string
	Avoid    []ids.VM
}

// Pick selects an upstream for a request and counts the request as sent. It returns false if there is none.
func (v *View) Pick(r Request) (ids.VM, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.clock.Now()
	candidates := v.currentLists().upstreams[upstreamKey{r.Service, r.Model}]
	vm, ok := v.picker.Pick(now, balancer.Request{Candidates: candidates, Tokens: r.Tokens, Affinity: r.Affinity, Avoid: r.Avoid})
	if ok {
		v.picker.RecordSent(now, vm, r.Tokens)
	}
	return vm, ok
}

// Upstreams returns the agents of a plain service in the order of their rendezvous weight for a key.
func (v *View) Upstreams(s ids.Service, key string) []ids.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	return rendezvous.Order(key, v.currentLists().upstreams[upstreamKey{s, ids.Model{}}])
}

// Witnesses returns the agents that may hold the journal of a request. With own set, they are those that this router
// writes to: first those outside its failure domain, then any others, since a witness in the same failure domain is
// better than none.
func (v *View) Witnesses(key ids.RequestKey, own bool) []ids.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	l := v.currentLists()
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

// Routers returns the live routers, including this one.
func (v *View) Routers() []ids.VM {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.currentLists().routers
}

// Members returns all members.
func (v *View) Members() []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Members()
}

// Contacts returns the direct contacts and the known active revisions of members.
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
	routers := v.currentLists().routers
	self := v.table.Self().VM
	for _, i := range v.rng.Perm(len(routers)) {
		if routers[i] != self && len(out) < n {
			out = append(out, routers[i])
		}
	}
	return out
}

// MergeMembers merges member entries of another process and returns those that changed.
func (v *View) MergeMembers(members []membership.Member) []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	changed := v.table.Merge(v.clock.Now(), members)
	if len(changed) > 0 {
		v.lists = nil
	}
	return changed
}

// DetectFailures suspects members without recent contact and returns those that changed.
func (v *View) DetectFailures() []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	self, routers := v.table.Self().VM, v.currentLists().routers
	changed := v.table.DetectFailures(v.clock.Now(), func(vm ids.VM) bool {
		return slices.Contains(rendezvous.Top(string(vm), routers, membership.HeartbeatRouters), self)
	})
	if len(changed) > 0 {
		v.lists = nil
	}
	return changed
}

// ChangedAfter returns the members that changed after a version of the table, and the current version.
func (v *View) ChangedAfter(version uint64) ([]membership.Member, uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.ChangedAfter(version)
}

// SetRevision records the active revision that a peer has reported in an exchange. Exchanges between routers do not count as
// contact for failure detection, since they reach each peer rarely.
func (v *View) SetRevision(vm ids.VM, rev ids.Revision) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.table.SetRevision(vm, rev)
}

// MedianCadence returns the median time between tokens that the agents of a model report, or zero if none does.
func (v *View) MedianCadence(s ids.Service, m ids.Model) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.picker.MedianCadence(v.currentLists().upstreams[upstreamKey{s, m}])
}
