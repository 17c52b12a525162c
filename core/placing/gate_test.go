package placing_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/placing"
)

// caller is a call that waits at a gate.
type caller struct{ admitted bool }

// Admit implements placing.Waiter.
func (c *caller) Admit() { c.admitted = true }

// crest plays the first second after all routers have returned: every caller that waited asks at once. It returns the calls
// that were served in time and the refusals by the upstreams, which run 18 calls of 30 ms at once and queue 72.
func crest(routers, callers int, gated bool) (served, refused int) {
	const slots, held, steps = 18, 90, 27
	call := 30 * time.Millisecond
	var gates []*placing.Gate
	for range routers {
		gates = append(gates, placing.NewGate(slots, routers))
	}
	type waiting struct {
		*caller
		router int
	}
	var pending []waiting
	for i := range callers {
		w := waiting{&caller{}, i % routers}
		if _, ok := gates[w.router].Enter(); ok || !gated {
			w.admitted = true
		} else {
			gates[w.router].Wait(w.caller)
		}
		pending = append(pending, w)
	}
	var atUpstreams []int
	for step := range steps {
		now := start.Add(time.Duration(step) * call)
		var later []waiting
		for _, w := range pending {
			switch {
			case !w.admitted:
				later = append(later, w)
			case len(atUpstreams) < held:
				atUpstreams = append(atUpstreams, w.router)
			default:
				refused++
				if gated {
					gates[w.router].Leave(true, 0, now)
					w.admitted = false
					if _, ok := gates[w.router].Enter(); ok {
						w.admitted = true
					} else {
						gates[w.router].Wait(w.caller)
					}
				}
				later = append(later, w)
			}
		}
		pending = later
		done := min(slots, len(atUpstreams))
		for _, r := range atUpstreams[:done] {
			if gated {
				gates[r].Leave(false, call, now)
			}
			served++
		}
		atUpstreams = atUpstreams[done:]
	}
	return served, refused
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
		g := placing.NewGate(18, 4)
		for range 10 {
			_, ok := g.Enter()
			Expect(ok).To(BeTrue())
		}
	})
	It("tells how long a call would wait, so that a hopeless one is refused at once", func() {
		g := placing.NewGate(1, 3)
		_, ok := g.Enter()
		Expect(ok).To(BeTrue())
		wait, ok := g.Enter()
		Expect(ok).To(BeFalse())
		Expect(wait).To(BeNumerically("~", 50*time.Millisecond, time.Millisecond))
	})
	It("admits in order, and never loses a place", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			g := placing.NewGate(rapid.IntRange(1, 4).Draw(t, "slots"), 1)
			running := 0
			var queue []*caller
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				switch rapid.IntRange(0, 2).Draw(t, "step") {
				case 0:
					if _, ok := g.Enter(); ok {
						running++
						break
					}
					c := &caller{}
					g.Wait(c)
					queue = append(queue, c)
				case 1:
					if running > 0 {
						running--
						g.Leave(rapid.Bool().Draw(t, "shed"), time.Millisecond, start)
					}
				case 2:
					if len(queue) > 0 {
						i := rapid.IntRange(0, len(queue)-1).Draw(t, "leaves")
						Expect(g.GiveUp(queue[i])).To(BeTrue())
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
				g.Leave(false, time.Millisecond, start)
				for len(queue) > 0 && queue[0].admitted {
					running++
					queue = queue[1:]
				}
			}
			Expect(queue).To(BeEmpty())
		})
	})
})
