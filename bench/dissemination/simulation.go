// Package dissemination simulates how changes of the store and state updates reach the routers of a fleet.
//
// The decisions are the production code; links, processors, the store and time are simulated. The mechanism that it replaced
// is simulated as the baseline.
//
// # Usage
//
//	result := dissemination.Run(dissemination.GrowingConfig(33, 1<<20, 1), dissemination.Pull, 1)
package dissemination

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bilberrylug.dev/bench/network"
	"bilberrylug.dev/bench/simtime"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
)

// Policy names a way in which routers exchange changes.
type Policy string

// The policies. Pull is the production code. Push is the baseline: watchers, and after a while all routers, send whole values
// to the routers that lack them, within a fixed timeout.
const (
	Pull Policy = "pull"
	Push Policy = "push"
)

const (
	configKey = "config"
	// storeLink is the rate of the store's link in bytes per second, storeDelay the time that it takes to answer.
	storeLink  = 1000e6 / 8
	storeDelay = 4 * time.Millisecond
	// watchWait, watchTimeout and watchPause are those of the routers' watches of the store.
	watchWait    = 600 * time.Millisecond
	watchTimeout = 1050 * time.Millisecond
	watchPause   = 100 * time.Millisecond
	// parseTimePerKB is the processor time that a router takes to decode and activate a configuration.
	parseTimePerKB = 25 * time.Microsecond
	// encodingOverhead is the factor by which the store's encoding enlarges values.
	encodingOverhead = 4.0 / 3
	// callerCores is the processor of the host that stands for all callers. It is never busy.
	callerCores = 1e6
	// entryBytes is the size of an upstream's entry, updateBytes that of a state update.
	entryBytes  = 250
	updateBytes = 300
	// eventInterval is the interval at which each router sends an event of a stream to a caller, eventBytes its size, and
	// lateEvent the delay from which it counts as late.
	eventInterval = 10 * time.Millisecond
	eventBytes    = 250
	lateEvent     = 200 * time.Millisecond
)

// simulation is the state of one run.
type simulation struct {
	*network.Network
	scenario Scenario
	policy   Policy
	rng      *rand.Rand
	store    *network.Host
	callers  *network.Host
	routers  []*router
	byHost   map[*network.Host]int
	byVM     map[ids.VM]*router
	result   *Result

	// written is the store's revision, history all its changes, and config the newest configuration.
	written store.Revision
	history []store.Change
	config  []byte
	// waiting holds the watches that wait for a change.
	waiting []func()
}

// Run simulates a scenario under a policy.
func Run(sc Scenario, p Policy, seed uint64) *Result {
	net := network.New(simtime.New(), sc.Delay)
	s := &simulation{
		Network: net, scenario: sc, policy: p, rng: rand.New(rand.NewPCG(seed, 1)),
		store: net.Add(network.VM{Link: storeLink, Domain: -1}), callers: net.Add(network.VM{CPUShare: callerCores, Domain: -2}),
		byHost: map[*network.Host]int{}, byVM: map[ids.VM]*router{},
		result: &Result{Scenario: sc.Name, Policy: p, Routers: len(sc.Routers)},
	}
	net.Cut = s.cut
	for i, vm := range sc.Routers {
		r := &router{
			simulation: s, number: i, vm: ids.VM(fmt.Sprintf("entry-%d", i)), host: net.Add(vm),
			activated: map[store.Revision]time.Duration{}, received: map[store.Revision]int{},
		}
		s.routers = append(s.routers, r)
		s.byHost[r.host] = i
		s.byVM[r.vm] = r
	}
	for _, r := range s.routers {
		r.start()
	}
	for _, c := range sc.Changes {
		s.After(c.At, func() { s.write(c) })
	}
	for _, c := range sc.Restarts {
		s.After(c.At, s.routers[c.Router].start)
	}
	s.sampleLinks()
	s.Run(sc.Duration)
	s.result.summarize(s)
	return s.result
}

// sampleLinks records how busy each link is, once a second.
func (s *simulation) sampleLinks() {
	before := make([]network.Host, len(s.routers))
	for i, r := range s.routers {
		before[i] = *r.host
	}
	s.After(time.Second, func() {
		for i, r := range s.routers {
			bytes := max(r.host.Sent-before[i].Sent, r.host.Received-before[i].Received)
			s.result.MaxBusyShare = max(s.result.MaxBusyShare, float64(bytes)/r.host.Link)
		}
		s.sampleLinks()
	})
}

// cut reports whether messages between two hosts are lost at present.
func (s *simulation) cut(from, to *network.Host) bool {
	now := s.Elapsed()
	for _, c := range s.scenario.Cuts {
		if now < c.From || now >= c.To {
			continue
		}
		a, b := c.Routers[s.numberOf(from)], c.Routers[s.numberOf(to)]
		toStore := from == s.store || to == s.store
		toCallers := from == s.callers || to == s.callers
		if !c.FromPeers && toStore && (a || b) || c.FromPeers && !toStore && !toCallers && a != b {
			return true
		}
	}
	return false
}

// numberOf returns the number of the router on a host, or -1 if the host is no router.
func (s *simulation) numberOf(h *network.Host) int {
	if i, known := s.byHost[h]; known {
		return i
	}
	return -1
}

// write writes a change to the store.
func (s *simulation) write(c Change) {
	s.written++
	item := store.Item{Key: fmt.Sprintf("upstreams/%d", s.rng.IntN(100)), Value: make([]byte, entryBytes), Modified: s.written}
	if c.ConfigBytes > 0 {
		item.Key = configKey
		item.Value = s.nextConfig(c)
		s.config = item.Value
		s.result.Versions = append(s.result.Versions, Version{Revision: s.written, Written: s.Elapsed(), Bytes: c.ConfigBytes})
	}
	s.history = append(s.history, store.Change{Item: item})
	waiting := s.waiting
	s.waiting = nil
	for _, w := range waiting {
		w()
	}
}
