package placement_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
)

var _ = Describe("the inspection of a picker", func() {
	// Guards against chances that differ from what requests with random seeds get.
	It("gives the chances with which Pick chooses", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			p := picker("r")
			p.Routers = rapid.IntRange(1, 40).Draw(t, "routers")
			list := engines(rapid.IntRange(1, 30).Draw(t, "engines"))
			for i := range list {
				list[i].Suspect = rapid.IntRange(0, 3).Draw(t, "suspect") == 0
				for range rapid.IntRange(0, 3).Draw(t, "running") {
					p.Reserve(list[i].ID, prompt, "")
				}
			}
			req := prompt
			if rapid.Bool().Draw(t, "cached") {
				req.CachedAt = list[rapid.IntRange(0, len(list)-1).Draw(t, "cached at")].ID
			}
			const seeds = 1000
			picked := map[ids.VM]int{}
			for seed := range seeds {
				req.Seed = uint64(seed)
				c, _, _ := p.Pick(list, req, placement.DefaultEngineModel, start)
				picked[c.ID]++
			}
			sum, last := 0.0, time.Duration(0)
			for _, e := range p.Estimates(list, req, placement.DefaultEngineModel, start) {
				sum += e.Chance
				deviation := math.Sqrt(seeds * e.Chance * (1 - e.Chance))
				if math.Abs(float64(picked[e.ID])-seeds*e.Chance) > 6*deviation+1 {
					t.Fatalf("%s has a chance of %v and was picked %d of %d times", e.ID, e.Chance, picked[e.ID], seeds)
				}
				if e.Cost < last {
					t.Fatalf("%s is cheaper than the one before it", e.ID)
				}
				last = e.Cost
			}
			if math.Abs(sum-1) > 1e-9 {
				t.Fatalf("the chances add up to %v", sum)
			}
		})
	})
	It("tells the own work from that of other routers, with the age of the reports", func() {
		p := picker("r")
		p.Reserve("e", placement.Request{Prompt: 100, Output: 10}, "")
		p.UpdatePeer("r2", map[ids.VM]placement.Work{"e": {Running: 2, Memory: 50}}, map[ids.VM]float64{"e": 3}, start)
		p.UpdatePeer("r3", nil, nil, start.Add(time.Second))
		Expect(p.Inspect("e", start.Add(1500*time.Millisecond))).To(Equal(placement.EngineLoad{
			Own: placement.Work{PendingPrefill: 100, Running: 1, Memory: 110}, Others: placement.Work{Running: 2, Memory: 50},
			Reports: 2, OldestReport: 1500 * time.Millisecond, Slowness: 3,
		}))
	})
	It("ranks calls as Pick does, and leaves out expired reports", func() {
		c := placement.NewCallPicker("0")
		list := engines(6)
		slots := map[ids.VM]int{"e0": 2, "e3": 9}
		for i, u := range list {
			for range i * 5 % 7 {
				c.Start(u.ID)
			}
		}
		c.UpdatePeer("r2", map[ids.VM]int{"e1": 4}, []ids.VM{"e0"}, start)
		c.RecordLoad("e2", 3, 2, start)
		now := start.Add(400 * time.Millisecond)
		first, _ := c.Pick(list, slots, now)
		Expect(c.Estimates(list, slots, now)[0].Candidate).To(Equal(first))
		Expect(c.Inspect("e1", now)).To(Equal(placement.CallLoad{Own: 5, Others: 4, Reports: 1, OldestReport: 400 * time.Millisecond}))
		Expect(c.Inspect("e0", now).Ejected).To(BeTrue())
		Expect(c.Inspect("e0", now).EjectedHere).To(BeFalse())
		Expect(c.Inspect("e2", now).Busy).To(Equal(3))
		Expect(c.Inspect("e1", now.Add(time.Second))).To(Equal(placement.CallLoad{Own: 5}))
	})
	// Guards against a slot that a prediction takes and nobody releases.
	It("predicts what Acquire returns and admits no call", func() {
		l := placement.NewLimiter(0, 1)
		for range 3 {
			_, admitted := l.Predict(patient, start)
			Expect(admitted).To(BeTrue())
		}
		l.Acquire(patient, start)
		before := l.State()
		predicted, admitted := l.Predict(patient, start)
		Expect(admitted).To(BeFalse())
		Expect(l.State()).To(Equal(before))
		Expect(before.Running).To(Equal(1))
		wait, _ := l.Acquire(patient, start)
		Expect(predicted).To(Equal(wait))
	})
})
