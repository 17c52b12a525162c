package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/placement"
)

// queuedCall is a call that waits at a limiter.
type queuedCall struct{ admitted, refused bool }

// Admit implements placement.Waiter.
func (c *queuedCall) Admit() { c.admitted = true }

// Refuse implements placement.Waiter.
func (c *queuedCall) Refuse(time.Duration) { c.refused = true }

// patient is a call without a target whose caller waits for long.
var patient = placement.Call{Deadline: start.Add(time.Hour)}

// surgeCall is a call of the first second after all routers have recovered.
type surgeCall struct {
	*queuedCall
	router int
}

// surge simulates upstreams that run 18 calls of 30 ms at once and hold 90 in total, behind routers with or without a
// limiter.
type surge struct {
	limiters         []*placement.Limiter
	limited          bool
	held             []int
	served, rejected int
}

const (
	surgeSlots    = 18
	surgeCapacity = 90
	surgeCallTime = 30 * time.Millisecond
	surgeSteps    = 27
)

func (s *surge) enter(w surgeCall) {
	if !s.limited {
		w.admitted = true
		return
	}
	if _, ok := s.limiters[w.router].Acquire(patient, start); ok {
		w.admitted = true
		return
	}
	s.limiters[w.router].Enqueue(w.queuedCall, patient)
}

// send passes an admitted call to the upstreams, and returns false if they are full.
func (s *surge) send(w surgeCall, now time.Time) bool {
	if len(s.held) < surgeCapacity {
		s.held = append(s.held, w.router)
		return true
	}
	s.rejected++
	if s.limited {
		w.admitted = false
		s.limiters[w.router].Release(placement.CallEnd{Rejected: true}, now)
	}
	s.enter(w)
	return false
}

func (s *surge) finish(now time.Time) {
	done := min(surgeSlots, len(s.held))
	for _, r := range s.held[:done] {
		s.served++
		if s.limited {
			s.limiters[r].Release(placement.CallEnd{Took: surgeCallTime}, now)
		}
	}
	s.held = s.held[done:]
}

// simulateSurge lets all callers that waited for the routers to recover send a call at once. It returns the number of calls
// served within 810 ms and the number of rejections by the upstreams.
func simulateSurge(routers, callers int, limited bool) (served, rejected int) {
	s := &surge{limited: limited}
	for range routers {
		s.limiters = append(s.limiters, placement.NewLimiter(surgeSlots, routers))
	}
	var pending []surgeCall
	for i := range callers {
		w := surgeCall{&queuedCall{}, i % routers}
		s.enter(w)
		pending = append(pending, w)
	}
	for step := range surgeSteps {
		now := start.Add(time.Duration(step) * surgeCallTime)
		var later []surgeCall
		for _, w := range pending {
			if !w.admitted || !s.send(w, now) {
				later = append(later, w)
			}
		}
		pending = later
		s.finish(now)
	}
	return s.served, s.rejected
}

var _ = Describe("a concurrency limiter", func() {
	It("serves a surge in time after all routers have recovered, with few rejections by the upstreams", func() {
		served, rejected := simulateSurge(27, 290, true)
		Expect(served).To(Equal(290))
		Expect(rejected).To(BeNumerically("<", 60))
		_, baseline := simulateSurge(27, 290, false)
		Expect(baseline).To(BeNumerically(">", 600), "baseline: sent immediately, and retried after each rejection")
	})
	It("queues no call under low load", func() {
		l := placement.NewLimiter(18, 4)
		for range 10 {
			_, ok := l.Acquire(patient, start)
			Expect(ok).To(BeTrue())
		}
	})
	It("predicts the waiting time of a call, so that one that would wait too long can be rejected at once", func() {
		l := placement.NewLimiter(1, 3)
		_, ok := l.Acquire(patient, start)
		Expect(ok).To(BeTrue())
		wait, ok := l.Acquire(patient, start)
		Expect(ok).To(BeFalse())
		Expect(wait).To(BeNumerically("~", 50*time.Millisecond, time.Millisecond))
	})
	It("admits calls in FIFO order, and never leaks a slot", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			l := placement.NewLimiter(rapid.IntRange(1, 4).Draw(t, "slots"), 1)
			running := 0
			var queue []*queuedCall
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				switch rapid.IntRange(0, 2).Draw(t, "step") {
				case 0:
					if _, ok := l.Acquire(patient, start); ok {
						running++
						break
					}
					c := &queuedCall{}
					l.Enqueue(c, patient)
					queue = append(queue, c)
				case 1:
					if running > 0 {
						running--
						l.Release(placement.CallEnd{Rejected: rapid.Bool().Draw(t, "rejected"), Took: time.Millisecond}, start)
					}
				case 2:
					if len(queue) > 0 {
						i := rapid.IntRange(0, len(queue)-1).Draw(t, "cancel")
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
				l.Release(placement.CallEnd{Took: time.Millisecond}, start)
				for len(queue) > 0 && queue[0].admitted {
					running++
					queue = queue[1:]
				}
			}
			Expect(queue).To(BeEmpty())
		})
	})
})
