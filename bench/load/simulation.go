package load

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"bilberrylug.dev/agent/queue"
	"bilberrylug.dev/core/ids"
)

const (
	placementTries = 4
	maxWaiting     = 64
	reservedShort  = 0.25
	retryPause     = 50 * time.Millisecond
	reportEvery    = 200 * time.Millisecond
	cacheEntries   = 24
	cachedPrefill  = 4
	cadenceWeight  = 16
	moveAllowance  = 3
	maxPreemptions = 2
	moveDebt       = 500 * time.Millisecond
	// crowding is the share by which a full batch slows each of its streams.
	crowding = 0.5
)

// simulation is one run.
type simulation struct {
	deployment Deployment
	shape      Shape
	policy     Policy
	start      time.Time
	now        time.Time
	agenda     agenda
	seq        int
	rng        *rand.Rand
	choosers   []*chooser
	upstreams  map[ids.VM]*upstream
	order      []ids.VM
	result     *Result
}

// Run drives a shape through a deployment under a policy, with a fixed seed.
func Run(d Deployment, s Shape, p Policy, seed uint64) *Result {
	start := time.Unix(0, 0)
	sim := &simulation{
		deployment: d, shape: s, policy: p, start: start, now: start, rng: rand.New(rand.NewPCG(seed, 2)),
		upstreams: make(map[ids.VM]*upstream), result: &Result{Deployment: d.Name, Shape: s.Name, Policy: p},
	}
	sim.build(seed)
	sim.schedule(0, sim.arrive)
	sim.schedule(0, sim.report)
	for len(sim.agenda) > 0 {
		next, _ := heap.Pop(&sim.agenda).(timed)
		sim.now = next.at
		next.run()
	}
	for _, u := range sim.upstreams {
		sim.result.CacheHits += u.hits
		sim.result.CacheMisses += u.misses
	}
	sim.result.finish()
	return sim.result
}

func (s *simulation) build(seed uint64) {
	reserve := reservedShort
	if s.policy != Predicted && s.policy != NoAffinity {
		reserve = 0
	}
	for i := range s.deployment.Upstreams {
		vm := ids.VM(fmt.Sprintf("upstream-%d", i))
		s.order = append(s.order, vm)
		s.upstreams[vm] = &upstream{
			vm: vm, slow: i < s.shape.SlowUpstreams,
			queue: queue.New(queue.Limits{Slots: s.deployment.Slots, MaxWaiting: maxWaiting, ReservedShortShare: reserve}),
		}
	}
	for i := range s.deployment.Routers {
		s.choosers = append(s.choosers, newChooser(s.policy, s.order, seed+uint64(i)))
	}
}

func (s *simulation) schedule(in time.Duration, run func()) {
	s.seq++
	heap.Push(&s.agenda, timed{s.now.Add(in), s.seq, run})
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.start) }
