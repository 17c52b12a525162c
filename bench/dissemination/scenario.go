package dissemination

import (
	"math/rand/v2"
	"time"

	"bilberrylug.dev/bench/network"
)

// Scenario describes a fleet and what happens to it. Times are from the start of the simulation.
type Scenario struct {
	Name    string
	Routers []network.VM
	// Delay is the one-way delay between failure domains.
	Delay    time.Duration
	Duration time.Duration
	Changes  []Change
	Cuts     []Cut
	Restarts []Restart
	// Updates is the number of times a second that the state of each router changes.
	Updates float64
	// Streams is set if routers also send events of streams to callers.
	Streams bool
}

// Change is a change of the store.
type Change struct {
	At time.Duration
	// ConfigBytes is the size of a new configuration. If it is zero, the entry of an upstream is written.
	ConfigBytes int
	// Similar is set if the new configuration differs from the one before it in a few bytes only.
	Similar bool
	// Incompressible is set if the configuration consists of random bytes.
	Incompressible bool
}

// Cut separates some routers from the store, or from each other.
type Cut struct {
	From, To time.Duration
	// Routers are the numbers of the routers that are cut off.
	Routers map[int]bool
	// FromPeers is set if the routers are cut off from all other routers, otherwise they are cut off from the store.
	FromPeers bool
}

// Restart is a router that loses all its state.
type Restart struct {
	At     time.Duration
	Router int
}

// The links and processors of the two kinds of entry VMs of a large site.
var (
	wide   = network.VM{Link: 200e6 / 8, CPUShare: 0.8}
	narrow = network.VM{Link: 20e6 / 8, CPUShare: 0.144}
)

const (
	// domainCount is the number of failure domains, wideShare the share of wide routers.
	domainCount = 5
	wideShare   = 0.45
	// stateChanges is how often a second the state of a router changes under load.
	stateChanges = 4
)

// Fleet returns the routers of a large site: about half of them wide, in five failure domains.
func Fleet(routers int) []network.VM {
	out := make([]network.VM, routers)
	for i := range out {
		out[i] = narrow
		if float64(i) < wideShare*float64(routers) {
			out[i] = wide
		}
		out[i].Domain = i % domainCount
	}
	return out
}

// Third returns a third of the routers, drawn with a seed.
func Third(routers int, seed uint64) map[int]bool {
	rng := rand.New(rand.NewPCG(seed, 0))
	out := map[int]bool{}
	for _, i := range rng.Perm(routers)[:routers/3] {
		out[i] = true
	}
	return out
}

// GrowingConfig is a configuration that grows to a size while a third of the routers are cut off from the store, and a small
// change of it.
func GrowingConfig(routers, bytes int, seed uint64) Scenario {
	return Scenario{
		Name: "growing configuration, a third cut from the store", Routers: Fleet(routers), Delay: time.Millisecond,
		Duration: 20 * time.Second, Updates: stateChanges, Streams: true,
		Changes: []Change{
			{At: 100 * time.Millisecond, ConfigBytes: 20_000},
			{At: 3 * time.Second, ConfigBytes: bytes},
			{At: 10 * time.Second, ConfigBytes: bytes, Similar: true},
		},
		Cuts: []Cut{{From: 2500 * time.Millisecond, To: 11500 * time.Millisecond, Routers: Third(routers, seed)}},
	}
}

// Storm is ten large configurations in four seconds, while a third of the routers are cut off from the store.
func Storm(routers, bytes int, seed uint64) Scenario {
	s := GrowingConfig(routers, bytes, seed)
	s.Name = "ten configurations in 4 s, a third cut from the store"
	s.Changes = []Change{{At: 100 * time.Millisecond, ConfigBytes: 20_000}}
	for i := range 10 {
		s.Changes = append(s.Changes, Change{At: 3*time.Second + time.Duration(i)*400*time.Millisecond, ConfigBytes: bytes})
	}
	return s
}
