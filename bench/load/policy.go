package load

import (
	"math/rand/v2"
	"time"

	"bilberrylug.dev/core/balancer"
	"bilberrylug.dev/core/ids"
)

// Policy names a load-balancing policy: how upstreams are selected and how their queues are ordered.
type Policy string

// The policies. All but Predicted are baselines. NoReserve and NoAffinity select upstreams with the same picker as
// Predicted, but NoReserve reserves no slots for short work and NoAffinity ignores prompt prefixes. Only Predicted preempts
// and moves jobs.
const (
	Predicted        Policy = "predicted"
	NoReserve        Policy = "predicted_first_come"
	NoAffinity       Policy = "predicted_no_affinity"
	RoundRobin       Policy = "round_robin"
	LeastOutstanding Policy = "least_outstanding"
)

// selector selects upstreams for one router.
type selector struct {
	policy      Policy
	picker      *balancer.Picker
	upstreams   []ids.VM
	next        int
	outstanding map[ids.VM]int
	rng         *rand.Rand
}

func newSelector(p Policy, upstreams []ids.VM, seed uint64) *selector {
	rng := rand.New(rand.NewPCG(seed, 1))
	return &selector{p, balancer.New(rng), upstreams, rng.IntN(len(upstreams)), make(map[ids.VM]int), rng}
}

// pick returns the upstream for a request and records that it is sent there. It returns false when no upstream is available.
func (s *selector) pick(now time.Time, tokens uint64, affinity string, avoid []ids.VM) (ids.VM, bool) {
	var vm ids.VM
	ok := true
	switch s.policy {
	case RoundRobin:
		vm = s.upstreams[s.next%len(s.upstreams)]
		s.next++
	case LeastOutstanding:
		vm = s.leastOutstanding()
	case NoAffinity:
		vm, ok = s.picker.Pick(now, balancer.Request{Candidates: s.upstreams, Tokens: tokens, Avoid: avoid})
	case Predicted, NoReserve:
		vm, ok = s.picker.Pick(now, balancer.Request{Candidates: s.upstreams, Tokens: tokens, Affinity: affinity, Avoid: avoid})
	}
	if ok {
		s.picker.RecordSent(now, vm, tokens)
		s.outstanding[vm]++
	}
	return vm, ok
}

// leastOutstanding returns the upstream with the fewest outstanding requests of this router. The search starts at a random
// upstream, and the first of several equal ones is returned.
func (s *selector) leastOutstanding() ids.VM {
	start := s.rng.IntN(len(s.upstreams))
	best := s.upstreams[start]
	for i := range s.upstreams {
		vm := s.upstreams[(start+i)%len(s.upstreams)]
		if s.outstanding[vm] < s.outstanding[best] {
			best = vm
		}
	}
	return best
}

// recordEnd records that a request to the upstream has ended.
func (s *selector) recordEnd(vm ids.VM) { s.outstanding[vm]-- }
