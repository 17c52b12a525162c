package load

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bilberrylug.dev/agent/queue"
	"bilberrylug.dev/bench/simtime"
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
	*simtime.Scheduler
	deployment Deployment
	shape      Shape
	policy     Policy
	rng        *rand.Rand
	selectors  []*selector
	upstreams  map[ids.VM]*upstream
	vms        []ids.VM
	result     *Result
}

// Run simulates a shape on a deployment under a policy and returns the result, which is the same for the same seed.
func Run(d Deployment, s Shape, p Policy, seed uint64) *Result {
	sim := &simulation{
		Scheduler:  simtime.New(),
		deployment: d, shape: s, policy: p, rng: rand.New(rand.NewPCG(seed, 2)),
		upstreams: make(map[ids.VM]*upstream), result: &Result{Deployment: d.Name, Shape: s.Name, Policy: p},
	}
	sim.build(seed)
	sim.After(0, sim.arrive)
	sim.After(0, sim.report)
	sim.RunAll()
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
