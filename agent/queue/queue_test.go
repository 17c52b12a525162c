package queue_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/agent/queue"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/testkit"
)

func TestQueue(t *testing.T) { testkit.Run(t, "queue") }

func started(i *queue.Item) bool {
	select {
	case <-i.Started():
		return true
	default:
		return false
	}
}

func preempted(i *queue.Item) bool {
	select {
	case <-i.Preempted():
		return true
	default:
		return false
	}
}

var _ = Describe("a queue", func() {
	var q *queue.Queue
	BeforeEach(func() { q = queue.New(queue.Limits{Slots: 4, MaxWaiting: 6, ReservedShortShare: 0.25}) })
	add := func(w string, c queue.Class, tokens uint64, preemptible bool) *queue.Item {
		i, err := q.Add(queue.Item{Workspace: ids.Workspace(w), Class: c, Tokens: tokens, Preemptible: preemptible})
		Expect(err).NotTo(HaveOccurred())
		return i
	}

	It("reserves a share of the slots for short work", func() {
		for range 5 {
			add("w", queue.Long, 1000, false)
		}
		Expect(q.State().Running).To(Equal(3))
		Expect(started(add("w", queue.Short, 10, false))).To(BeTrue())
	})
	It("preempts the longest preemptible work when short work waits, but leaves long work its minimum of slots", func() {
		nonPreemptible := add("w", queue.Long, 5000, false)
		longest, longer := add("w", queue.Long, 3000, true), add("w", queue.Long, 2000, true)
		add("w", queue.Short, 10, false)
		Expect(preempted(longest)).To(BeFalse())
		add("w", queue.Short, 10, false)
		Expect([]bool{preempted(nonPreemptible), preempted(longest), preempted(longer)}).To(Equal([]bool{false, true, false}))
		add("w", queue.Short, 10, false)
		Expect(preempted(longer)).To(BeTrue())
		add("w", queue.Short, 10, false)
		Expect(preempted(nonPreemptible)).To(BeFalse())
	})
	It("serves workspaces round-robin, so that a burst of one does not delay another", func() {
		var running []*queue.Item
		for range 4 {
			running = append(running, add("crowd", queue.Short, 10, false))
		}
		crowd := []*queue.Item{add("crowd", queue.Short, 10, false), add("crowd", queue.Short, 10, false), add("crowd", queue.Short, 10, false)}
		quiet := add("quiet", queue.Short, 10, false)
		q.Done(running[0])
		q.Done(running[1])
		Expect([]bool{started(crowd[0]), started(crowd[1]), started(quiet)}).To(Equal([]bool{true, false, true}))
	})
	It("refuses new work when too many items wait, but never resumed work", func() {
		for range 9 {
			add("w", queue.Long, 10, false)
		}
		_, err := q.Add(queue.Item{Workspace: "w", Class: queue.Long})
		Expect(fault.CodeOf(err)).To(Equal(fault.QueueFull))
		_, err = q.Add(queue.Item{Workspace: "w", Class: queue.Long, Resumed: true})
		Expect(err).NotTo(HaveOccurred())
	})
	It("never runs more items than it has slots, loses none, and is empty at the end", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			slots := rapid.IntRange(1, 6).Draw(t, "slots")
			q := queue.New(queue.Limits{Slots: slots, MaxWaiting: 8, ReservedShortShare: rapid.SampledFrom([]float64{0, 0.25, 0.9}).Draw(t, "reserved")})
			var held []*queue.Item
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				if len(held) > 0 && rapid.Bool().Draw(t, "done") {
					n := rapid.IntRange(0, len(held)-1).Draw(t, "which")
					q.Done(held[n])
					held = append(held[:n], held[n+1:]...)
					continue
				}
				item, err := q.Add(queue.Item{
					Workspace: ids.Workspace(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "w"))), Tokens: 5, Deadline: time.Unix(0, 0),
					Class:   rapid.SampledFrom([]queue.Class{queue.Short, queue.Long}).Draw(t, "class"),
					Resumed: rapid.Bool().Draw(t, "resumed"), Preemptible: rapid.Bool().Draw(t, "preemptible"),
				})
				if err == nil {
					held = append(held, item)
				}
				st := q.State()
				if st.Running > slots || st.Running+st.Waiting != len(held) || st.Tokens != uint64(5*len(held)) {
					t.Fatalf("state %+v with %d items held", st, len(held))
				}
			}
			for _, i := range held {
				q.Done(i)
			}
			if st := q.State(); st.Running+st.Waiting != 0 || st.Tokens != 0 {
				t.Fatalf("state %+v after all items are done", st)
			}
		})
	})
})
