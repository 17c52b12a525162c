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
	maxPlacementAttempts = 4
	maxWaiting           = 64
	reservedShortShare   = 0.25
	retryDelay           = 50 * time.Millisecond
	reportInterval       = 200 * time.Millisecond
	cacheEntries         = 24
	cachedPrefillSpeedup = 4
	cadenceWeightDivisor = 16
	allowedFactor        = 3
	maxPreemptions       = 2
	maxDelay             = 500 * time.Millisecond
	// batchSlowdown is the fraction by which a full batch slows each of its streams.
	batchSlowdown = 0.5
)

// simulation is the state of one run.
type simulation struct {
	deployment Deployment
	shape      Shape
	policy     Policy
	start      time.Time
	now        time.Time
	events     eventQueue
	seq        int
	rng        *rand.Rand
	selectors  []*selector
	upstreams  map[ids.VM]*upstream
	vms        []ids.VM
	result     *Result
}

// Run simulates a shape on a deployment under a policy and returns the result, which is the same for the same seed.
func Run(d Deployment, s Shape, p Policy, seed uint64) *Result {
	start := time.Unix(0, 0)
	sim := &simulation{
		deployment: d, shape: s, policy: p, start: start, now: start, rng: rand.New(rand.NewPCG(seed, 2)),
		upstreams: make(map[ids.VM]*upstream), result: &Result{Deployment: d.Name, Shape: s.Name, Policy: p},
	}
	sim.build(seed)
	sim.schedule(0, sim.arrive)
	sim.schedule(0, sim.report)
	for len(sim.events) > 0 {
		next, _ := heap.Pop(&sim.events).(scheduledEvent)
		sim.now = next.at
		next.run()
	}
	for _, u := range sim.upstreams {
		sim.result.CacheHits += u.hits
		sim.result.CacheMisses += u.misses
	}
	sim.result.computeQuantiles()
	return sim.result
}

// build creates the upstreams and a selector for each router.
func (s *simulation) build(seed uint64) {
	reserve := reservedShortShare
	if s.policy != Predicted && s.policy != NoAffinity {
		reserve = 0
	}
	for i := range s.deployment.Upstreams {
		vm := ids.VM(fmt.Sprintf("upstream-%d", i))
		s.vms = append(s.vms, vm)
		s.upstreams[vm] = &upstream{
			vm: vm, slow: i < s.shape.SlowUpstreams,
			queue: queue.New(queue.Limits{Slots: s.deployment.Slots, MaxWaiting: maxWaiting, ReservedShortShare: reserve}),
		}
	}
	for i := range s.deployment.Routers {
		s.selectors = append(s.selectors, newSelector(s.policy, s.vms, seed+uint64(i)))
	}
}

// schedule adds an event that runs after the given delay.
func (s *simulation) schedule(delay time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, scheduledEvent{s.now.Add(delay), s.seq, run})
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.start) }
