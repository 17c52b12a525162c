package membership_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
)

var (
	start    = time.Unix(0, 0)
	timeouts = membership.Timeouts{SuspectAfter: 3 * time.Second, RemoveAfter: time.Minute}
	always   = func(ids.VM) bool { return true }
)

func router(i int) membership.Member {
	return membership.Member{VM: ids.VM(fmt.Sprintf("r%d", i)), Role: membership.Router, Incarnation: 1}
}

func upstream(i int) membership.Member {
	return membership.Member{VM: ids.VM(fmt.Sprintf("u%d", i)), Role: membership.Agent, Incarnation: 1}
}

var _ = Describe("membership tables", func() {
	It("agree after a partition heals, whatever each side was told, and put a member's own word first", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			const n = 4
			var tables []*membership.Table
			for i := range n {
				tables = append(tables, membership.NewTable(router(i), timeouts))
			}
			selves := make(map[ids.VM]membership.Member)
			exchange := func(a, b int) {
				news, version := tables[a].Unacknowledged(tables[b].Self().VM)
				tables[b].Merge(start, news)
				tables[a].Acknowledge(tables[b].Self().VM, version)
			}
			for range rapid.IntRange(1, 80).Draw(t, "steps") {
				a, b := rapid.IntRange(0, n-1).Draw(t, "a"), rapid.IntRange(0, n-1).Draw(t, "b")
				u := upstream(rapid.IntRange(0, 3).Draw(t, "upstream"))
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0:
					u.Incarnation = selves[u.VM].Incarnation + 1
					u.State = rapid.SampledFrom([]membership.State{membership.Live, membership.Leaving}).Draw(t, "state")
					selves[u.VM] = u
					tables[a].Merge(start, []membership.Member{u})
				case 1:
					tables[a].RaiseState(start, u.VM, membership.Suspect)
				default:
					if a != b {
						exchange(a, b)
					}
				}
			}
			for range n {
				for a := range n {
					for b := range n {
						if a != b {
							exchange(a, b)
						}
					}
				}
			}
			for vm, self := range selves {
				first, _ := tables[0].Get(vm)
				for _, table := range tables[1:] {
					m, _ := table.Get(vm)
					if fmt.Sprint(m) != fmt.Sprint(first) {
						t.Fatalf("%v and %v", m, first)
					}
				}
				if self.State == membership.Leaving && first.State != membership.Leaving {
					t.Fatalf("%s said that it is leaving, and is %s", vm, first.State)
				}
			}
		})
	})
	It("suspects a member that fell silent, and takes its next word at once", func() {
		t := membership.NewTable(router(0), timeouts)
		t.Merge(start, []membership.Member{upstream(1)})
		t.RecordContact(start, "u1", 1)
		Expect(t.DetectFailures(start.Add(3*time.Second), always)).To(BeEmpty())
		Expect(t.DetectFailures(start.Add(3*time.Second+1), always)).To(HaveLen(1))
		back := upstream(1)
		back.Incarnation = 2
		t.Merge(start, []membership.Member{back})
		m, _ := t.Get("u1")
		Expect(m.State).To(Equal(membership.Live))
	})
	It("does not judge a member that now reports to other routers", func() {
		t := membership.NewTable(router(0), timeouts)
		t.Merge(start, []membership.Member{upstream(1)})
		t.RecordContact(start, "u1", 1)
		Expect(t.DetectFailures(start.Add(time.Minute), func(ids.VM) bool { return false })).To(BeEmpty())
	})
	It("lets a member refute a suspicion, and adopt that its VM is leaving", func() {
		t := membership.NewTable(router(0), timeouts)
		word := router(0)
		word.State = membership.Suspect
		t.Merge(start, []membership.Member{word})
		Expect(t.Self()).To(And(HaveField("State", membership.Live), HaveField("Incarnation", uint64(2))))
		word.Incarnation, word.State = 2, membership.Leaving
		t.Merge(start, []membership.Member{word})
		Expect(t.Self()).To(And(HaveField("State", membership.Leaving), HaveField("Incarnation", uint64(3))))
	})
	It("forgets a member that is gone for a minute", func() {
		t := membership.NewTable(router(0), timeouts)
		t.Merge(start, []membership.Member{upstream(1)})
		t.RaiseState(start, "u1", membership.Gone)
		t.DetectFailures(start.Add(time.Minute+1), always)
		_, known := t.Get("u1")
		Expect(known).To(BeFalse())
	})
})

var _ = Describe("the digest of a table", func() {
	It("is equal exactly when the members and their states are, whatever the order of the news", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			var news []membership.Member
			for range rapid.IntRange(1, 30).Draw(t, "news") {
				m := upstream(rapid.IntRange(0, 5).Draw(t, "vm"))
				m.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
				m.State = rapid.SampledFrom([]membership.State{membership.Live, membership.Suspect, membership.Leaving}).Draw(t, "state")
				news = append(news, m)
			}
			a, b := membership.NewTable(router(0), timeouts), membership.NewTable(router(0), timeouts)
			a.Merge(start, news)
			for _, i := range rapid.Permutation(news).Draw(t, "order") {
				b.Merge(start, []membership.Member{i})
			}
			if (fmt.Sprint(a.Members()) == fmt.Sprint(b.Members())) != (a.Digest() == b.Digest()) {
				t.Fatalf("%v with %x, %v with %x", a.Members(), a.Digest(), b.Members(), b.Digest())
			}
		})
	})
})
