package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/placement"
)

// caller is a call that waits at a gate.
type caller struct{ admitted bool }

// Admit implements placing.Waiter.
func (c *caller) Admit() { c.admitted = true }

// crestCall is a call of the first second after all routers have returned.
type crestCall struct {
	*caller
	router int
}

// crestRun plays upstreams that run 18 calls of 30 ms at once and hold 90, behind routers with or without a gate.
type crestRun struct {
	gates           []*placement.Limiter
	gated           bool
	held            []int
	served, refused int
}

const (
	crestSlots = 18
	crestHeld  = 90
	crestStep  = 30 * time.Millisecond
	crestSteps = 27
)

func (c *crestRun) enter(w crestCall) {
	if !c.gated {
		w.admitted = true
		return
	}
	if _, ok := c.gates[w.router].Acquire(); ok {
		w.admitted = true
		return
	}
	c.gates[w.router].Enqueue(w.caller)
}

// send hands an admitted call to the upstreams, and returns false when they are full.
func (c *crestRun) send(w crestCall, now time.Time) bool {
	if len(c.held) < crestHeld {
		c.held = append(c.held, w.router)
		return true
	}
	c.refused++
	if c.gated {
		w.admitted = false
		c.gates[w.router].Release(true, 0, now)
	}
	c.enter(w)
	return false
}

func (c *crestRun) finish(now time.Time) {
	done := min(crestSlots, len(c.held))
	for _, r := range c.held[:done] {
		c.served++
		if c.gated {
			c.gates[r].Release(false, crestStep, now)
		}
	}
	c.held = c.held[done:]
}

// crest has every caller that waited for the routers' return ask at once. It returns the calls that were served within 810 ms
// and the refusals by the upstreams.
func crest(routers, callers int, gated bool) (served, refused int) {
	c := &crestRun{gated: gated}
	for range routers {
		c.gates = append(c.gates, placement.NewLimiter(crestSlots, routers))
	}
	var pending []crestCall
	for i := range callers {
		w := crestCall{&caller{}, i % routers}
		c.enter(w)
		pending = append(pending, w)
	}
	for step := range crestSteps {
		now := start.Add(time.Duration(step) * crestStep)
		var later []crestCall
		for _, w := range pending {
			if !w.admitted || !c.send(w, now) {
				later = append(later, w)
			}
		}
		pending = later
		c.finish(now)
	}
	return c.served, c.refused
}

var _ = Describe("a gate before short calls", func() {
	It("crest after the return of all routers: all are served in time, and upstreams refuse few", func() {
		served, refused := crest(27, 290, true)
		Expect(served).To(Equal(290))
		Expect(refused).To(BeNumerically("<", 60))
		_, baseline := crest(27, 290, false)
		Expect(baseline).To(BeNumerically(">", 600), "baseline: sent at once, and again at each refusal")
	})
	It("calm load: nobody waits", func() {
		g := placement.NewLimiter(18, 4)
		for range 10 {
			_, ok := g.Acquire()
			Expect(ok).To(BeTrue())
		}
	})
	It("tells how long a call would wait, so that a hopeless one is refused at once", func() {
		g := placement.NewLimiter(1, 3)
		_, ok := g.Acquire()
		Expect(ok).To(BeTrue())
		wait, ok := g.Acquire()
		Expect(ok).To(BeFalse())
		Expect(wait).To(BeNumerically("~", 50*time.Millisecond, time.Millisecond))
	})
	It("admits in order, and never loses a place", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			g := placement.NewLimiter(rapid.IntRange(1, 4).Draw(t, "slots"), 1)
			running := 0
			var queue []*caller
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				switch rapid.IntRange(0, 2).Draw(t, "step") {
				case 0:
					if _, ok := g.Acquire(); ok {
						running++
						break
					}
					c := &caller{}
					g.Enqueue(c)
					queue = append(queue, c)
				case 1:
					if running > 0 {
						running--
						g.Release(rapid.Bool().Draw(t, "shed"), time.Millisecond, start)
					}
				case 2:
					if len(queue) > 0 {
						i := rapid.IntRange(0, len(queue)-1).Draw(t, "leaves")
						Expect(g.Cancel(queue[i])).To(BeTrue())
						queue = append(queue[:i], queue[i+1:]...)
					}
				}
				for len(queue) > 0 && queue[0].admitted {
					running++
					queue = queue[1:]
				}
				for _, c := range queue {
					Expect(c.admitted).To(BeFalse(), "a later one was admitted first")
				}
			}
			for ; running > 0; running-- {
				g.Release(false, time.Millisecond, start)
				for len(queue) > 0 && queue[0].admitted {
					running++
					queue = queue[1:]
				}
			}
			Expect(queue).To(BeEmpty())
		})
	})
})
