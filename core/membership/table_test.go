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
	It("converge after a partition heals, and prefer a member's own entry to those of others", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			const n = 4
			var tables []*membership.Table
			for i := range n {
				tables = append(tables, membership.NewTable(router(i), timeouts))
			}
			selves := make(map[ids.VM]membership.Member)
			exchange := func(a, b int) {
				members, version := tables[a].Unacknowledged(tables[b].Self().VM)
				tables[b].Merge(start, members)
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
						t.Fatalf("tables differ: %v and %v", m, first)
					}
				}
				if self.State == membership.Leaving && first.State != membership.Leaving {
					t.Fatalf("%s reported that it is leaving, but its state is %s", vm, first.State)
				}
			}
		})
	})
	It("suspects a member without contact, and accepts its next incarnation at once", func() {
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
	It("does not suspect a member that now sends heartbeats to other routers", func() {
		t := membership.NewTable(router(0), timeouts)
		t.Merge(start, []membership.Member{upstream(1)})
		t.RecordContact(start, "u1", 1)
		Expect(t.DetectFailures(start.Add(time.Minute), func(ids.VM) bool { return false })).To(BeEmpty())
	})
	It("refutes a suspicion of its owner, but adopts the state leaving", func() {
		t := membership.NewTable(router(0), timeouts)
		entry := router(0)
		entry.State = membership.Suspect
		t.Merge(start, []membership.Member{entry})
		Expect(t.Self()).To(And(HaveField("State", membership.Live), HaveField("Incarnation", uint64(2))))
		entry.Incarnation, entry.State = 2, membership.Leaving
		t.Merge(start, []membership.Member{entry})
		Expect(t.Self()).To(And(HaveField("State", membership.Leaving), HaveField("Incarnation", uint64(3))))
	})
	It("removes a member that has been gone for a minute", func() {
		t := membership.NewTable(router(0), timeouts)
		t.Merge(start, []membership.Member{upstream(1)})
		t.RaiseState(start, "u1", membership.Gone)
		t.DetectFailures(start.Add(time.Minute+1), always)
		_, known := t.Get("u1")
		Expect(known).To(BeFalse())
	})
})

var _ = Describe("the digest of a table", func() {
	It("is equal exactly when the members and their states are, in whatever order the updates arrive", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			var updates []membership.Member
			for range rapid.IntRange(1, 30).Draw(t, "updates") {
				m := upstream(rapid.IntRange(0, 5).Draw(t, "vm"))
				m.Incarnation = rapid.Uint64Range(1, 3).Draw(t, "incarnation")
				m.State = rapid.SampledFrom([]membership.State{membership.Live, membership.Suspect, membership.Leaving}).Draw(t, "state")
				updates = append(updates, m)
			}
			a, b := membership.NewTable(router(0), timeouts), membership.NewTable(router(0), timeouts)
			a.Merge(start, updates)
			for _, i := range rapid.Permutation(updates).Draw(t, "order") {
				b.Merge(start, []membership.Member{i})
			}
			if (fmt.Sprint(a.Members()) == fmt.Sprint(b.Members())) != (a.Digest() == b.Digest()) {
				t.Fatalf("%v has digest %x, %v has digest %x", a.Members(), a.Digest(), b.Members(), b.Digest())
			}
		})
	})
})
