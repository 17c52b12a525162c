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
	// maxPlacementAttempts is the number of upstreams that a job is sent to before it is refused.
	maxPlacementAttempts = 4
	// maxWaiting and reservedShortShare are limits of the upstreams' queues, see [queue.Limits].
	maxWaiting         = 64
	reservedShortShare = 0.25
	// retryDelay is the time before a refused job that has already run is placed again.
	retryDelay = 50 * time.Millisecond
	// reportInterval is the time between two load reports of an upstream.
	reportInterval = 200 * time.Millisecond
	// cacheEntries is the number of prefixes in the cache of an upstream; a cached one makes prefill faster by the factor
	// cachedPrefillSpeedup.
	cacheEntries         = 24
	cachedPrefillSpeedup = 4
	// cadenceWeightDivisor is the inverse of a new sample's weight in the moving average of the time between tokens.
	cadenceWeightDivisor = 16
	// allowedFactor times the deployment's time between tokens still counts as normal speed.
	allowedFactor = 3
	// maxPreemptions limits how often one job is preempted.
	maxPreemptions = 2
	// maxDelay is the delay beyond the allowed time per token after which an answer moves to another upstream.
	maxDelay = 500 * time.Millisecond
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
