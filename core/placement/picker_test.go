package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
)

var start = time.Unix(1000, 0)

func engines(n int) []placement.Candidate {
	var out []placement.Candidate
	for i := range n {
		out = append(out, placement.Candidate{ID: ids.VM(fmt.Sprintf("e%d", i)), Domain: ids.FailureDomain(fmt.Sprint(i % 3))})
	}
	return out
}

func picker(name string) placement.Picker {
	return placement.Picker{Router: ids.VM(name), Domain: "0", LoadTracker: placement.NewLoadTracker()}
}

var prompt = placement.Request{Prompt: 5200, Output: 600}

// placeBurst places long prompts that several routers receive at once, and returns the largest number of prompts at one
// engine. Routers broadcast their work after each placement, or never.
func placeBurst(prompts, routers, engineCount int, broadcast bool, choose func(p placement.Picker, list []placement.Candidate) placement.Candidate) int {
	list := engines(engineCount)
	var pickers []placement.Picker
	for i := range routers {
		p := picker(fmt.Sprintf("r%d", i))
		p.Domain = ids.FailureDomain(fmt.Sprint(i % 3))
		pickers = append(pickers, p)
	}
	at := map[ids.VM]int{}
	most := 0
	for i := range prompts {
		p := pickers[i%routers]
		c := choose(p, list)
		p.Reserve(c.ID, prompt, "")
		at[c.ID]++
		most = max(most, at[c.ID])
		for j, other := range pickers {
			if broadcast && j != i%routers {
				other.UpdatePeer(p.Router, p.OwnWork(), nil, start)
			}
		}
	}
	return most
}

func byPrediction(p placement.Picker, list []placement.Candidate) placement.Candidate {
	c, _, _ := p.Pick(list, prompt, placement.DefaultEngineModel, start)
	return c
}

var _ = Describe("a picker of engines", func() {
	It("gives no engine a second prompt before all have one, in a burst of long prompts at routers that exchange state", func() {
		Expect(placeBurst(24, 4, 24, true, byPrediction)).To(Equal(1))
		rng := rand.New(rand.NewPCG(1, 2))
		random := func(_ placement.Picker, list []placement.Candidate) placement.Candidate {
			return list[rng.IntN(len(list))]
		}
		Expect(placeBurst(24, 4, 24, true, random)).To(BeNumerically(">=", 3), "baseline: random")
	})
	It("gives no engine a prompt from every router, in a burst of long prompts at routers that exchange no state", func() {
		Expect(placeBurst(24, 4, 24, false, byPrediction)).To(BeNumerically("<", 4))
	})
	It("places nothing in a suspected failure domain while another engine has capacity", func() {
		list := engines(9)
		for i := range list {
			list[i].Suspect = list[i].Domain == "0"
		}
		p := picker("r")
		for range 6 {
			c, _, ok := p.Pick(list, prompt, placement.DefaultEngineModel, start)
			Expect(ok).To(BeTrue())
			Expect(c.Suspect).To(BeFalse())
			p.Reserve(c.ID, prompt, "")
		}
	})
	It("picks an engine without free KV cache last", func() {
		p := picker("r")
		for range 9 {
			p.Reserve("e0", prompt, "")
		}
		Expect(placement.DefaultEngineModel.Fits(p.WorkAt("e0", start), prompt.Tokens())).To(BeFalse())
		c, _, _ := p.Pick(engines(2), prompt, placement.DefaultEngineModel, start)
		Expect(c.ID).To(Equal(ids.VM("e1")))
	})
	It("gives a slow engine work again as the others fill up", func() {
		p := picker("r")
		p.RecordFirstEvent("e0", 4*time.Second, 2*time.Second, start)
		p.RecordFirstEvent("e0", 4*time.Second, 2*time.Second, start)
		got := map[ids.VM]int{}
		for range 12 {
			c, _, _ := p.Pick(engines(3), prompt, placement.DefaultEngineModel, start)
			p.Reserve(c.ID, prompt, "")
			got[c.ID]++
		}
		Expect(got["e0"]).To(BeNumerically("<", got["e1"]))
		Expect(got["e0"]).To(BeNumerically(">", 0))
	})
	It("avoids an engine slowed by a noisy neighbour at all routers, and tries it again after some seconds", func() {
		p, other := picker("r"), picker("other")
		p.RecordSlowness("e0", 5, start)
		Expect(p.SlowEngines(start)).To(HaveKeyWithValue(ids.VM("e0"), 5.0))
		other.UpdatePeer("r", p.OwnWork(), p.SlowEngines(start), start)
		Expect(other.SlowEngines(start)).To(BeEmpty(), "reports of other routers are not forwarded, or they would never decay")
		for range 2 {
			c, _, _ := other.Pick(engines(3), prompt, placement.DefaultEngineModel, start)
			other.Reserve(c.ID, prompt, "")
			Expect(c.ID).NotTo(Equal(ids.VM("e0")))
		}
		Expect(p.SlowEngines(start.Add(12 * time.Second))).To(BeEmpty())
		Expect(p.Slowness("e0", start.Add(time.Minute))).To(BeNumerically("~", 1, 0.01))
	})
	DescribeTable("prompts that wait at one of 24 engines while another would process them in 1.4 s",
		func(elapsed time.Duration, slowness float64, left time.Duration, moves bool) {
			w := placement.PendingPrompt{Elapsed: elapsed, Predicted: 1400 * time.Millisecond, Slowness: slowness, TimeLeft: left}
			Expect(w.ShouldMove(1400 * time.Millisecond)).To(Equal(moves))
		},
		Entry("normal engine: stays", time.Second, 1.0, 3500*time.Millisecond, false),
		Entry("later than predicted, engine not known to be slow: stays, processing it again would gain nothing", 2500*time.Millisecond, 1.0, 2*time.Second, false),
		Entry("engine five times slower: moves while another can be on time", time.Second, 5.0, 3500*time.Millisecond, true),
		Entry("engine five times slower, another would be late too: stays", 3*time.Second, 5.0, 1500*time.Millisecond, false),
		Entry("engine twice as slow, but still on time: stays", 200*time.Millisecond, 2.0, 4300*time.Millisecond, false),
		Entry("stalled engine: moves, even if late", 5300*time.Millisecond, 1.0, -800*time.Millisecond, true),
	)
	It("gives few prompts to engines that fail all of them, although they report themselves healthy and look idle", func() {
		simulate := func(record bool) int {
			p := picker("r")
			failed := 0
			for i := range 60 {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				c, _, _ := p.Pick(engines(24), prompt, placement.DefaultEngineModel, now)
				if c.ID >= "e6" {
					failed++
					if record {
						p.RecordFailure(c.ID, now)
					}
					continue
				}
				p.Reserve(c.ID, prompt, "").PrefillDone()
			}
			return failed
		}
		Expect(simulate(true)).To(BeNumerically("<=", 12))
		Expect(simulate(false)).To(BeNumerically(">=", 50), "baseline: they always look idle")
	})
	It("prefers engines of its own failure domain until they are busy, since links between domains may lose packets", func() {
		p := picker("r")
		for range 8 {
			c, _, _ := p.Pick(engines(24), prompt, placement.DefaultEngineModel, start)
			Expect(c.Domain).To(Equal(p.Domain))
			p.Reserve(c.ID, prompt, "")
		}
		c, _, _ := p.Pick(engines(24), prompt, placement.DefaultEngineModel, start)
		Expect(c.Domain).NotTo(Equal(p.Domain))
	})
	It("picks the engine that has the prompt in its KV cache when a caller returns after its router was lost", func() {
		prefixes := placement.NewPrefixIndex()
		prefixes.Set(7, "e4", start, start)
		p := picker("r")
		p.UpdatePeer("lost", map[ids.VM]placement.Work{"e4": {PendingPrefill: 5200, Running: 1}}, nil, start.Add(-3*time.Second))
		request := prompt
		request.CachedAt = prefixes.Get(7, start.Add(5*time.Second))
		c, _, _ := p.Pick(engines(9), request, placement.DefaultEngineModel, start)
		Expect(c.ID).To(Equal(ids.VM("e4")))
	})
	It("places a copy never in the failure domain of the generation, and in a suspected one only if there is no other", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			list := engines(rapid.IntRange(1, 12).Draw(t, "engines"))
			for i := range list {
				list[i].Suspect = rapid.Bool().Draw(t, "suspect")
			}
			at := rapid.SampledFrom(list).Draw(t, "at")
			c, ok := picker("r").PickCopy(list, at, prompt, placement.DefaultEngineModel, start)
			better := false
			for _, other := range list {
				better = better || other.Domain != at.Domain && !other.Suspect
			}
			if ok && (c.Domain == at.Domain || c.Suspect && better) {
				t.Fatalf("the copy of a generation in %s goes to %+v", at.Domain, c)
			}
		})
	})
	It("spreads 160 new copies when 26 routers lose a failure domain at once, and gives no engine more than twice its capacity", func() {
		maxCopyTokens := func(choose func(p placement.Picker, list []placement.Candidate, primary placement.Candidate, req placement.Request) placement.Candidate) int {
			list := engines(96)
			primary := list[1]
			count := map[ids.VM]int{}
			most := 0
			for i := range 160 {
				p := picker(fmt.Sprintf("r%d", i%26))
				req := prompt
				req.Seed = uint64(i)
				var left []placement.Candidate
				for _, c := range list {
					if c.Domain == "2" {
						left = append(left, c)
					}
				}
				c := choose(p, left, primary, req)
				count[c.ID]++
				most = max(most, count[c.ID])
			}
			return most * prompt.Tokens()
		}
		Expect(maxCopyTokens(func(p placement.Picker, list []placement.Candidate, primary placement.Candidate, req placement.Request) placement.Candidate {
			c, ok := p.PickCopy(list, primary, req, placement.DefaultEngineModel, start)
			Expect(ok).To(BeTrue())
			return c
		})).To(BeNumerically("<", 2*placement.DefaultEngineModel.MemoryTokens), "no state is exchanged in between; 29,000 on average")
		Expect(maxCopyTokens(func(_ placement.Picker, list []placement.Candidate, _ placement.Candidate, _ placement.Request) placement.Candidate {
			return list[0]
		})).To(BeNumerically(">", 10*placement.DefaultEngineModel.MemoryTokens), "baseline: the emptiest")
	})
	It("releases the KV cache of the old engine and reserves that of the new one when a copy moves", func() {
		p := picker("r")
		reservation := p.Reserve("e1", prompt, "e0")
		reservation.CopyTo("e2")
		Expect(p.WorkAt("e0", start).Memory).To(BeZero())
		Expect(p.WorkAt("e2", start).Memory).To(Equal(prompt.Tokens()))
	})
	It("is more likely to place a copy on an engine with more free KV cache", func() {
		p := picker("r")
		for range 6 {
			p.Reserve("e0", prompt, "")
		}
		full := 0
		for i := range 1000 {
			req := prompt
			req.Seed = uint64(i)
			c, ok := p.PickCopy(engines(4), placement.Candidate{ID: "e1", Domain: "1"}, req, placement.DefaultEngineModel, start)
			Expect(ok).To(BeTrue())
			if c.ID == "e0" {
				full++
			}
		}
		Expect(full).To(BeNumerically("<", 150), "of three: e0 with six generations, e2 and e3 empty")
	})
	It("spreads 60 prompts when 26 routers lose a failure domain at once and have exchanged no state", func() {
		maxPrompts := func(seed func(i int) uint64) int {
			at := map[ids.VM]int{}
			most := 0
			for i := range 60 {
				p := picker(fmt.Sprintf("r%d", i%26))
				p.Routers = 26
				req := prompt
				req.Seed = seed(i)
				c, _, _ := p.Pick(engines(64), req, placement.DefaultEngineModel, start)
				at[c.ID]++
				most = max(most, at[c.ID])
			}
			return most
		}
		spread := maxPrompts(func(i int) uint64 { return uint64(i) })
		Expect(2*spread).To(BeNumerically("<", maxPrompts(func(int) uint64 { return 1 })), "baseline: all pick from the same sample")
	})
	It("has no work left once all reservations are released", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			p := picker("r")
			var open []*placement.Reservation
			for range rapid.IntRange(0, 30).Draw(t, "steps") {
				if len(open) > 0 && rapid.Bool().Draw(t, "end") {
					if rapid.Bool().Draw(t, "prefill done") {
						open[0].PrefillDone()
					}
					open[0].CopyTo(ids.VM(rapid.SampledFrom([]string{"", "c", "d"}).Draw(t, "copy")))
					open[0].Release()
					open[0].CopyTo("c")
					open = open[1:]
					continue
				}
				at := ids.VM(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "at"))
				open = append(open, p.Reserve(at, prompt, ids.VM(rapid.SampledFrom([]string{"", "c"}).Draw(t, "copy"))))
			}
			for _, reservation := range open {
				reservation.Release()
			}
			Expect(p.OwnWork()).To(BeEmpty())
		})
	})
	It("no longer counts the work of a peer two seconds after its last update", func() {
		p := picker("r")
		p.UpdatePeer("other", map[ids.VM]placement.Work{"e0": {Running: 5}}, nil, start)
		Expect(p.WorkAt("e0", start).Running).To(Equal(5))
		Expect(p.WorkAt("e0", start.Add(3*time.Second)).Running).To(BeZero())
	})
})
