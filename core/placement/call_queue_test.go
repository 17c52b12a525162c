package placement_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/placement"
)

var _ = Describe("a queue of calls", func() {
	const callTime = 30 * time.Millisecond
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	// pop empties a queue and returns the positions of the calls in the order in which they were pushed.
	pop := func(calls ...placement.Call) []int {
		var q placement.CallQueue
		waiters := map[placement.Waiter]int{}
		for i, c := range calls {
			w := &queuedCall{}
			waiters[w] = i
			q.Push(w, c)
		}
		var out []int
		for q.Len() > 0 {
			out = append(out, waiters[q.Pop(start, callTime)])
		}
		return out
	}
	// Guards against urgent calls that wait behind a crest of patient ones.
	It("serves an urgent burst before a crest of patient calls", func() {
		patientCall := placement.Call{Rank: 2, OnTime: after(100), Deadline: after(1000)}
		urgent := placement.Call{Rank: 0, OnTime: after(500), Deadline: after(1000)}
		Expect(pop(patientCall, patientCall, urgent, urgent)).To(Equal([]int{2, 3, 0, 1}))
	})
	// Guards against calls that are late anyway and make others late, too.
	It("serves calls that can be on time by target, and late ones after them in the order of arrival", func() {
		Expect(pop(
			placement.Call{OnTime: after(10), Deadline: after(1000)},
			placement.Call{OnTime: after(200), Deadline: after(1000)},
			placement.Call{OnTime: after(-50), Deadline: after(1000)},
			placement.Call{OnTime: after(100), Deadline: after(1000)},
		)).To(Equal([]int{3, 1, 0, 2}))
	})
	// Guards against a lost or doubled decision: each call is admitted, refused or cancelled once.
	It("decides on each call once", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			l := placement.NewLimiter(rapid.IntRange(1, 6).Draw(t, "slots"), 2)
			now, running := start, 0
			var waiting []*queuedCall
			settle := func() {
				kept := waiting[:0]
				for _, c := range waiting {
					Expect(c.admitted && c.refused).To(BeFalse())
					if c.admitted {
						running++
					}
					if !c.admitted && !c.refused {
						kept = append(kept, c)
					}
				}
				waiting = kept
			}
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 3).Draw(t, "step") {
				case 0:
					c := placement.Call{
						Rank: rapid.IntRange(0, 2).Draw(t, "rank"), OnTime: now.Add(150 * time.Millisecond), Deadline: now.Add(400 * time.Millisecond),
					}
					if _, ok := l.Acquire(c, now); ok {
						running++
						break
					}
					w := &queuedCall{}
					waiting = append(waiting, w)
					l.Enqueue(w, c)
				case 1:
					if running == 0 {
						break
					}
					running--
					l.Release(placement.CallEnd{
						Rejected: rapid.Bool().Draw(t, "rejected"), QueuedPerSlot: rapid.Float64Range(0, 3).Draw(t, "queued"), Took: callTime,
					}, now)
				case 2:
					if len(waiting) > 0 {
						i := rapid.IntRange(0, len(waiting)-1).Draw(t, "cancel")
						Expect(l.Cancel(waiting[i])).To(BeTrue())
						waiting = append(waiting[:i], waiting[i+1:]...)
					}
				case 3:
					l.Admit(now)
				}
				settle()
			}
			for steps := 0; running > 0 || len(waiting) > 0 && steps < 200; steps++ {
				now = now.Add(time.Second)
				if running > 0 {
					running--
					l.Release(placement.CallEnd{Took: callTime}, now)
				} else {
					l.Admit(now)
				}
				settle()
			}
			Expect(waiting).To(BeEmpty(), "a call that nobody decides on waits for ever")
		})
	})
})
