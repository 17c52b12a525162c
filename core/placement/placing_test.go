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

// wave places a wave of long prompts that several routers receive at once, and returns the largest number of prompts that
// wait at one engine. Routers tell their work after each placing, or never.
func wave(prompts, routers, engineCount int, tell bool, choose func(p placement.Picker, list []placement.Candidate) placement.Candidate) int {
	list := engines(engineCount)
	var fleet []placement.Picker
	for i := range routers {
		p := picker(fmt.Sprintf("r%d", i))
		p.Domain = ids.FailureDomain(fmt.Sprint(i % 3))
		fleet = append(fleet, p)
	}
	at := map[ids.VM]int{}
	worst := 0
	for i := range prompts {
		p := fleet[i%routers]
		c := choose(p, list)
		p.Reserve(c.ID, prompt, "")
		at[c.ID]++
		worst = max(worst, at[c.ID])
		for j, other := range fleet {
			if tell && j != i%routers {
				other.UpdatePeer(p.Router, p.Own(), nil, start)
			}
		}
	}
	return worst
}

func byPrediction(p placement.Picker, list []placement.Candidate) placement.Candidate {
	c, _, _ := p.Pick(list, prompt, placement.DefaultEngineModel, start)
	return c
}

var _ = Describe("placing generations", func() {
	It("wave of long prompts at several routers: with news, no engine gets a second one before all have one", func() {
		Expect(wave(24, 4, 24, true, byPrediction)).To(Equal(1))
		rng := rand.New(rand.NewPCG(1, 2))
		random := func(_ placement.Picker, list []placement.Candidate) placement.Candidate {
			return list[rng.IntN(len(list))]
		}
		Expect(wave(24, 4, 24, true, random)).To(BeNumerically(">=", 3), "baseline: random")
	})
	It("wave of long prompts at routers that do not hear each other: no engine gets one from every router", func() {
		Expect(wave(24, 4, 24, false, byPrediction)).To(BeNumerically("<", 4))
	})
	It("failure domain being lost: nothing is placed there while another engine can take it", func() {
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
	It("engine without memory: it is the last choice", func() {
		p := picker("r")
		for range 9 {
			p.Reserve("e0", prompt, "")
		}
		Expect(placement.DefaultEngineModel.Fits(p.WorkAt("e0", start), prompt.Tokens())).To(BeFalse())
		c, _, _ := p.Pick(engines(2), prompt, placement.DefaultEngineModel, start)
		Expect(c.ID).To(Equal(ids.VM("e1")))
	})
	It("slow engine: it gets work again as others fill up", func() {
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
	It("engine that a neighbour slows for some seconds: all routers keep prompts from it, and try it again", func() {
		p, other := picker("r"), picker("other")
		p.RecordSlowness("e0", 5, start)
		Expect(p.SlowEngines(start)).To(HaveKeyWithValue(ids.VM("e0"), 5.0))
		other.UpdatePeer("r", p.Own(), p.SlowEngines(start), start)
		Expect(other.SlowEngines(start)).To(BeEmpty(), "a router's word is not told on, or it would never fade")
		for range 2 {
			c, _, _ := other.Pick(engines(3), prompt, placement.DefaultEngineModel, start)
			other.Reserve(c.ID, prompt, "")
			Expect(c.ID).NotTo(Equal(ids.VM("e0")))
		}
		Expect(p.SlowEngines(start.Add(12 * time.Second))).To(BeEmpty())
		Expect(p.Slowness("e0", start.Add(time.Minute))).To(BeNumerically("~", 1, 0.01))
	})
	DescribeTable("prompts that wait at one of 24 engines while another would read them in 1.4 s",
		func(elapsed time.Duration, slowness float64, left time.Duration, moves bool) {
			w := placement.PendingPrompt{Elapsed: elapsed, Predicted: 1400 * time.Millisecond, Slowness: slowness, TimeLeft: left}
			Expect(w.ShouldMove(1400 * time.Millisecond)).To(Equal(moves))
		},
		Entry("usual engine: stays", time.Second, 1.0, 3500*time.Millisecond, false),
		Entry("later than usual, nothing known: stays, a second reading would be in vain", 2500*time.Millisecond, 1.0, 2*time.Second, false),
		Entry("engine five times slower: moves while that is in time", time.Second, 5.0, 3500*time.Millisecond, true),
		Entry("engine five times slower, too late for another: stays", 3*time.Second, 5.0, 1500*time.Millisecond, false),
		Entry("engine twice slower, in time all the same: stays", 200*time.Millisecond, 2.0, 4300*time.Millisecond, false),
		Entry("engine that hangs: moves, also late", 5300*time.Millisecond, 1.0, -800*time.Millisecond, true),
	)
	It("engines that fail all prompts though they call themselves well: they are idle, and get few all the same", func() {
		play := func(note bool) int {
			p := picker("r")
			failed := 0
			for i := range 60 {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				c, _, _ := p.Pick(engines(24), prompt, placement.DefaultEngineModel, now)
				if c.ID >= "e6" {
					failed++
					if note {
						p.RecordFailure(c.ID, now)
					}
					continue
				}
				p.Reserve(c.ID, prompt, "").PrefillDone()
			}
			return failed
		}
		Expect(play(true)).To(BeNumerically("<=", 12))
		Expect(play(false)).To(BeNumerically(">=", 50), "baseline: they always look idle")
	})
	It("calm load beside links that may lose packets: the own failure domain's engines, unless others are free and these are not", func() {
		p := picker("r")
		for range 8 {
			c, _, _ := p.Pick(engines(24), prompt, placement.DefaultEngineModel, start)
			Expect(c.Domain).To(Equal(p.Domain))
			p.Reserve(c.ID, prompt, "")
		}
		c, _, _ := p.Pick(engines(24), prompt, placement.DefaultEngineModel, start)
		Expect(c.Domain).NotTo(Equal(p.Domain))
	})
	It("caller that comes back after its router was lost: the prompt goes to the engine that has read it", func() {
		homes := placement.NewPrefixIndex()
		homes.Set(7, "e4", start, start)
		p := picker("r")
		p.UpdatePeer("lost", map[ids.VM]placement.Work{"e4": {PendingPrefill: 5200, Running: 1}}, nil, start.Add(-3*time.Second))
		need := prompt
		need.CachedAt = homes.Get(7, start.Add(5*time.Second))
		c, _, _ := p.Pick(engines(9), need, placement.DefaultEngineModel, start)
		Expect(c.ID).To(Equal(ids.VM("e4")))
	})
	It("copies: never in the failure domain of the run, and in one that is being lost only when there is no other", func() {
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
				t.Fatalf("the copy of a run in %s goes to %+v", at.Domain, c)
			}
		})
	})
	It("failure domain lost at 26 routers at once: they draw engines for 160 new copies, and none gets more than it holds", func() {
		hosts := func(choose func(p placement.Picker, list []placement.Candidate, at placement.Candidate, n placement.Request) placement.Candidate) int {
			list := engines(96)
			at := list[1]
			count := map[ids.VM]int{}
			worst := 0
			for i := range 160 {
				p := picker(fmt.Sprintf("r%d", i%26))
				n := prompt
				n.Seed = uint64(i)
				var left []placement.Candidate
				for _, c := range list {
					if c.Domain == "2" {
						left = append(left, c)
					}
				}
				c := choose(p, left, at, n)
				count[c.ID]++
				worst = max(worst, count[c.ID])
			}
			return worst * prompt.Tokens()
		}
		Expect(hosts(func(p placement.Picker, list []placement.Candidate, at placement.Candidate, n placement.Request) placement.Candidate {
			c, ok := p.PickCopy(list, at, n, placement.DefaultEngineModel, start)
			Expect(ok).To(BeTrue())
			return c
		})).To(BeNumerically("<", 2*placement.DefaultEngineModel.MemoryTokens), "no news in between; 29,000 on average")
		Expect(hosts(func(_ placement.Picker, list []placement.Candidate, _ placement.Candidate, _ placement.Request) placement.Candidate {
			return list[0]
		})).To(BeNumerically(">", 10*placement.DefaultEngineModel.MemoryTokens), "baseline: the emptiest")
	})
	It("copies that are ordered anew: the memory of the former host is free, that of the new one taken", func() {
		p := picker("r")
		ticket := p.Reserve("e1", prompt, "e0")
		ticket.CopyTo("e2")
		Expect(p.WorkAt("e0", start).Memory).To(BeZero())
		Expect(p.WorkAt("e2", start).Memory).To(Equal(prompt.Tokens()))
	})
	It("copies: the emptier an engine, the likelier it keeps one", func() {
		p := picker("r")
		for range 6 {
			p.Reserve("e0", prompt, "")
		}
		full := 0
		for i := range 1000 {
			n := prompt
			n.Seed = uint64(i)
			c, ok := p.PickCopy(engines(4), placement.Candidate{ID: "e1", Domain: "1"}, n, placement.DefaultEngineModel, start)
			Expect(ok).To(BeTrue())
			if c.ID == "e0" {
				full++
			}
		}
		Expect(full).To(BeNumerically("<", 150), "of three: e0 with six generations, e2 and e3 empty")
	})
	It("failure domain lost at 26 routers at once: 60 unread prompts are spread, though no router has heard of another", func() {
		worst := func(seed func(i int) uint64) int {
			at := map[ids.VM]int{}
			most := 0
			for i := range 60 {
				p := picker(fmt.Sprintf("r%d", i%26))
				p.Routers = 26
				n := prompt
				n.Seed = seed(i)
				c, _, _ := p.Pick(engines(64), n, placement.DefaultEngineModel, start)
				at[c.ID]++
				most = max(most, at[c.ID])
			}
			return most
		}
		spread := worst(func(i int) uint64 { return uint64(i) })
		Expect(2*spread).To(BeNumerically("<", worst(func(int) uint64 { return 1 })), "baseline: all choose among the same")
	})
	It("tickets leave nothing behind", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			p := picker("r")
			var open []*placement.Reservation
			for range rapid.IntRange(0, 30).Draw(t, "steps") {
				if len(open) > 0 && rapid.Bool().Draw(t, "end") {
					if rapid.Bool().Draw(t, "read") {
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
			for _, ticket := range open {
				ticket.Release()
			}
			Expect(p.Own()).To(BeEmpty())
		})
	})
	It("peer that falls silent: its work no longer counts after two seconds", func() {
		p := picker("r")
		p.UpdatePeer("other", map[ids.VM]placement.Work{"e0": {Running: 5}}, nil, start)
		Expect(p.WorkAt("e0", start).Running).To(Equal(5))
		Expect(p.WorkAt("e0", start.Add(3*time.Second)).Running).To(BeZero())
	})
})
