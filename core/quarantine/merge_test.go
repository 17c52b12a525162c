package quarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/quarantine"
)

var _ = Describe("reports between routers", func() {
	var now time.Time
	BeforeEach(func() { now = start })
	routers := func(n int) (out []*quarantine.Quarantine) {
		for i := range n {
			out = append(out, quarantine.New(routerID(i)))
		}
		return out
	}
	crash := func(q *quarantine.Quarantine, engine int, p ...quarantine.Part) {
		q.RecordCrash(quarantine.Crash{Parts: p, Upstream: ids.VM(fmt.Sprint("i-", engine)), At: now})
	}
	poisoned := func() *quarantine.Quarantine {
		q := quarantine.New("r0")
		for i := range 3 {
			now = now.Add(time.Second)
			q.RecordSound(parts(shared), now)
			crash(q, i, shared, poison)
		}
		q.RecordSound(parts(shared), now)
		return q
	}

	It("quarantine a part at all routers after three crashes at different ones and one report each", func() {
		all := routers(5)
		for i, q := range all[:3] {
			now = now.Add(time.Second)
			q.RecordSound(parts(shared), now.Add(time.Millisecond))
			crash(q, i, shared, poison)
		}
		now = now.Add(time.Second)
		for i, from := range all[:3] {
			for _, to := range all {
				to.Merge(routerID(i), from.Report(now), now)
			}
		}
		for _, q := range all {
			Expect(q.Check("a", parts(shared, poison), now).Allowed).To(BeFalse())
			Expect(q.Check("a", parts(shared), now)).To(And(HaveField("Allowed", true), HaveField("Trial", false)))
		}
	})
	It("tell a router that starts later about a standing quarantine, whose remaining time is not changed by its clock", func() {
		q := poisoned()
		now = now.Add(2 * time.Minute)
		late := quarantine.New("r9")
		clock := now.Add(-17 * time.Hour)
		changes := late.Merge("r0", q.Report(now), clock)
		Expect(changes).To(ConsistOf(And(HaveField("Part", poison), HaveField("Routers", []ids.VM{"r0"}), HaveField("Age", 2*time.Minute))))
		v := late.Check("a", parts(shared, poison), clock)
		Expect(v).To(And(HaveField("Allowed", false), HaveField("Crashes", 3)))
		Expect(v.Remaining).To(BeNumerically("~", 3*time.Minute+75*time.Second, 75*time.Second))
	})
	It("do not prolong a quarantine, however often routers tell each other about it with a delay", func() {
		const delay = 300 * time.Millisecond
		a, b := poisoned(), quarantine.New("r1")
		opened := now
		for now.Sub(opened) < 5*time.Minute {
			r := a.Report(now)
			now = now.Add(delay)
			b.Merge("r0", r, now)
			r = b.Report(now)
			now = now.Add(delay)
			a.Merge("r1", r, now)
		}
		Expect(b.Check("a", parts(poison), opened.Add(7*time.Minute+30*time.Second+delay)).Trial).To(BeTrue())
		Expect(a.Check("a", parts(poison), opened.Add(7*time.Minute+30*time.Second)).Trial).To(BeTrue())
	})
	It("release a part everywhere once it is sound at one router", func() {
		q := quarantine.New("r0")
		for i := range 3 {
			now = now.Add(time.Second)
			crash(q, i, shared, poison)
		}
		far, third := quarantine.New("r1"), quarantine.New("r2")
		far.Merge("r0", q.Report(now), now)
		third.Merge("r0", q.Report(now), now)
		now = now.Add(3 * time.Second)
		Expect(third.Check("trial", parts(shared), now).Trial).To(BeTrue())
		third.RecordSound(parts(shared), now)
		for _, r := range []*quarantine.Quarantine{q, far} {
			Expect(statesOf(r.Merge("r2", third.Report(now), now))).To(Equal(map[quarantine.Part]quarantine.State{shared: quarantine.Released}))
			Expect(statesOf(r.Merge("r1", far.Report(now), now))).To(BeEmpty())
			Expect(r.Check("a", parts(shared), now)).To(And(HaveField("Allowed", true), HaveField("Trial", false)))
			Expect(r.Check("a", parts(poison), now).Allowed).To(BeFalse())
		}
	})
	It("renew a quarantine everywhere when a trial crashes, and only once", func() {
		a, b := poisoned(), quarantine.New("r1")
		b.Merge("r0", a.Report(now), now)
		now = now.Add(8 * time.Minute)
		Expect(a.Check("trial", parts(poison), now).Trial).To(BeTrue())
		crash(a, 9, poison)
		r := a.Report(now)
		Expect(b.Merge("r0", r, now)).To(ConsistOf(HaveField("Epoch", uint32(2))))
		Expect(b.Merge("r0", r, now)).To(BeEmpty())
		Expect(a.Merge("r1", b.Report(now), now)).To(BeEmpty())
		Expect(b.Check("a", parts(poison), now.Add(9*time.Minute)).Allowed).To(BeFalse())
	})
	It("lead to the same verdicts in whatever order and however often they arrive", func() {
		universe := parts(1, 2, 3, 4)
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			sources := routers(4)
			at := start
			for engine := range rapid.IntRange(0, quarantine.MaxReportCrashes).Draw(t, "events") {
				at = at.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
				prompt := rapid.SliceOfNDistinct(rapid.SampledFrom(universe), 1, 3, rapid.ID[quarantine.Part])
				runsAt := rapid.SliceOfNDistinct(rapid.SampledFrom(sources), 0, 3, rapid.ID[*quarantine.Quarantine]).Draw(t, "routers of the runs that a crash ends")
				if len(runsAt) == 0 {
					q := rapid.SampledFrom(sources).Draw(t, "router of a sound run")
					q.RecordSound(prompt.Draw(t, "sound parts"), at)
				}
				for _, q := range runsAt {
					q.RecordCrash(quarantine.Crash{Parts: prompt.Draw(t, "parts"), Upstream: ids.VM(fmt.Sprint("i-", engine)), At: at})
				}
			}
			order := rapid.Permutation([]int{0, 1, 2, 3, 0, 1, 2, 3}).Draw(t, "order")
			a, b := quarantine.New("x"), quarantine.New("x")
			for i := range sources {
				a.Merge(routerID(i), sources[i].Report(at), at)
			}
			for _, i := range order {
				b.Merge(routerID(i), sources[i].Report(at), at)
			}
			later := at.Add(4 * time.Second)
			for set := range 1 << len(universe) {
				var p []quarantine.Part
				for i, part := range universe {
					if set&(1<<i) != 0 {
						p = append(p, part)
					}
				}
				request := ids.Request(fmt.Sprint(set))
				va, vb := a.Check(request, p, later), b.Check(request, p, later)
				a.EndTrial(request)
				b.EndTrial(request)
				if va.Allowed != vb.Allowed || va.Trial != vb.Trial {
					t.Fatalf("parts %v: %+v, in the order %v %+v", p, va, order, vb)
				}
			}
		})
	})
})

func routerID(i int) ids.VM { return ids.VM(fmt.Sprint("r", i)) }
