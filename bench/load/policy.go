package load

import (
	"math/rand/v2"
	"time"

	"bilberrylug.dev/core/balancer"
	"bilberrylug.dev/core/ids"
)

// Policy names a way of choosing upstreams and of ordering their queues.
type Policy string

// The policies. All but Predicted are baselines.
const (
	Predicted        Policy = "predicted"
	NoReserve        Policy = "predicted_first_come"
	NoAffinity       Policy = "predicted_no_affinity"
	RoundRobin       Policy = "round_robin"
	LeastOutstanding Policy = "least_outstanding"
)

// chooser is one router's way of choosing.
type chooser struct {
	policy      Policy
	picker      *balancer.Picker
	upstreams   []ids.VM
	next        int
	outstanding map[ids.VM]int
	rng         *rand.Rand
}

func newChooser(p Policy, upstreams []ids.VM, seed uint64) *chooser {
	rng := rand.New(rand.NewPCG(seed, 1))
	return &chooser{p, balancer.New(rng), upstreams, rng.IntN(len(upstreams)), make(map[ids.VM]int), rng}
}

func (c *chooser) pick(now time.Time, tokens uint64, affinity string, avoid []ids.VM) (ids.VM, bool) {
	var vm ids.VM
	ok := true
	switch c.policy {
	case RoundRobin:
		vm = c.upstreams[c.next%len(c.upstreams)]
		c.next++
	case LeastOutstanding:
		vm = c.least()
	case NoAffinity:
		vm, ok = c.picker.Pick(now, balancer.Request{Candidates: c.upstreams, Tokens: tokens, Avoid: avoid})
	case Predicted, NoReserve:
		vm, ok = c.picker.Pick(now, balancer.Request{Candidates: c.upstreams, Tokens: tokens, Affinity: affinity, Avoid: avoid})
	}
	if ok {
		c.picker.RecordSent(now, vm, tokens)
		c.outstanding[vm]++
	}
	return vm, ok
}

// least returns the upstream with the least outstanding work of this router, the first after a random start.
func (c *chooser) least() ids.VM {
	start := c.rng.IntN(len(c.upstreams))
	best := c.upstreams[start]
	for i := range c.upstreams {
		vm := c.upstreams[(start+i)%len(c.upstreams)]
		if c.outstanding[vm] < c.outstanding[best] {
			best = vm
		}
	}
	return best
}

func (c *chooser) ended(vm ids.VM) { c.outstanding[vm]-- }
