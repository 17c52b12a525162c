package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/placement"
)

// caller is a call that waits at a limiter.
type caller struct{ admitted bool }

// Admit implements placement.Waiter.
func (c *caller) Admit() { c.admitted = true }

// surgeCall is a call of the first second after all routers have recovered.
type surgeCall struct {
	*caller
	router int
}

// surge simulates upstreams that run 18 calls of 30 ms at once and hold 90 in total, behind routers with or without a
// limiter.
type surge struct {
	limiters        []*placement.Limiter
	limited         bool
	held            []int
	served, refused int
}

const (
	surgeSlots    = 18
	surgeCapacity = 90
	surgeCallTime = 30 * time.Millisecond
	surgeSteps    = 27
)

func (c *surge) enter(w surgeCall) {
	if !c.limited {
		w.admitted = true
		return
	}
	if _, ok := c.limiters[w.router].Acquire(); ok {
		w.admitted = true
		return
	}
	c.limiters[w.router].Enqueue(w.caller)
}

// send passes an admitted call to the upstreams, and returns false if they are full.
func (c *surge) send(w surgeCall, now time.Time) bool {
	if len(c.held) < surgeCapacity {
		c.held = append(c.held, w.router)
		return true
	}
	c.refused++
	if c.limited {
		w.admitted = false
		c.limiters[w.router].Release(true, 0, now)
	}
	c.enter(w)
	return false
}

func (c *surge) finish(now time.Time) {
	done := min(surgeSlots, len(c.held))
	for _, r := range c.held[:done] {
		c.served++
		if c.limited {
			c.limiters[r].Release(false, surgeCallTime, now)
		}
	}
	c.held = c.held[done:]
}

// simulateSurge lets all callers that waited for the routers to recover send a call at once. It returns the calls that were
// served within 810 ms and the rejections by the upstreams.
func simulateSurge(routers, callers int, limited bool) (served, refused int) {
	c := &surge{limited: limited}
	for range routers {
		c.limiters = append(c.limiters, placement.NewLimiter(surgeSlots, routers))
	}
	var pending []surgeCall
	for i := range callers {
		w := surgeCall{&caller{}, i % routers}
		c.enter(w)
		pending = append(pending, w)
	}
	for step := range surgeSteps {
		now := start.Add(time.Duration(step) * surgeCallTime)
		var later []surgeCall
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

var _ = Describe("a concurrency limiter", func() {
	It("serves a surge in time after all routers have recovered, with few rejections by the upstreams", func() {
		served, refused := simulateSurge(27, 290, true)
		Expect(served).To(Equal(290))
		Expect(refused).To(BeNumerically("<", 60))
		_, baseline := simulateSurge(27, 290, false)
		Expect(baseline).To(BeNumerically(">", 600), "baseline: sent immediately, and retried after each rejection")
	})
	It("queues no call under low load", func() {
		l := placement.NewLimiter(18, 4)
		for range 10 {
			_, ok := l.Acquire()
			Expect(ok).To(BeTrue())
		}
	})
	It("predicts the waiting time of a call, so that one that would wait too long can be rejected at once", func() {
		l := placement.NewLimiter(1, 3)
		_, ok := l.Acquire()
		Expect(ok).To(BeTrue())
		wait, ok := l.Acquire()
		Expect(ok).To(BeFalse())
		Expect(wait).To(BeNumerically("~", 50*time.Millisecond, time.Millisecond))
	})
	It("admits calls in FIFO order, and never leaks a slot", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			l := placement.NewLimiter(rapid.IntRange(1, 4).Draw(t, "slots"), 1)
			running := 0
			var queue []*caller
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				switch rapid.IntRange(0, 2).Draw(t, "step") {
				case 0:
					if _, ok := l.Acquire(); ok {
						running++
						break
					}
					c := &caller{}
					l.Enqueue(c)
					queue = append(queue, c)
				case 1:
					if running > 0 {
						running--
						l.Release(rapid.Bool().Draw(t, "shed"), time.Millisecond, start)
					}
				case 2:
					if len(queue) > 0 {
						i := rapid.IntRange(0, len(queue)-1).Draw(t, "leaves")
						Expect(l.Cancel(queue[i])).To(BeTrue())
						queue = append(queue[:i], queue[i+1:]...)
					}
				}
				for len(queue) > 0 && queue[0].admitted {
					running++
					queue = queue[1:]
				}
				for _, c := range queue {
					Expect(c.admitted).To(BeFalse(), "a call queued later was admitted first")
				}
			}
			for ; running > 0; running-- {
				l.Release(false, time.Millisecond, start)
				for len(queue) > 0 && queue[0].admitted {
					running++
					queue = queue[1:]
				}
			}
			Expect(queue).To(BeEmpty())
		})
	})
})
