package placement_test

import (
	"fmt"
	"maps"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
)

// reported is one report of another router in the model of a LoadTracker.
type reported struct {
	at   time.Time
	work map[ids.VM]placement.Work
	slow map[ids.VM]float64
}

var _ = Describe("a load tracker", func() {
	It("adds up the reports of other routers that have not expired, whatever is replaced, removed or expires", func() {
		engine := rapid.SampledFrom([]ids.VM{"e0", "e1", "e2"})
		router := rapid.SampledFrom([]ids.VM{"r0", "r1", "r2", "r3"})
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			tracker := placement.NewLoadTracker()
			tracker.PeerTTL = 3 * time.Second
			model := map[ids.VM]reported{}
			now := start
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "passed")) * time.Millisecond)
				r := router.Draw(t, "router")
				if rapid.IntRange(0, 4).Draw(t, "removed") == 0 {
					tracker.RemovePeer(r)
					delete(model, r)
				} else {
					work, slow := map[ids.VM]placement.Work{}, map[ids.VM]float64{}
					for range rapid.IntRange(0, 3).Draw(t, "engines") {
						work[engine.Draw(t, "engine")] = placement.Work{Running: rapid.IntRange(0, 9).Draw(t, "running"), Memory: 100}
						slow[engine.Draw(t, "slow")] = float64(rapid.IntRange(2, 8).Draw(t, "slowness"))
					}
					tracker.UpdatePeer(r, work, slow, now)
					model[r] = reported{now, maps.Clone(work), maps.Clone(slow)}
					clear(work)
				}
				for _, e := range []ids.VM{"e0", "e1", "e2"} {
					var sum placement.Work
					slowness := 1.0
					for _, m := range model {
						if now.Sub(m.at) <= 3*time.Second {
							sum = sum.Add(m.work[e])
							slowness = max(slowness, m.slow[e])
						}
					}
					if got := tracker.WorkAt(e, now); got != sum {
						t.Fatalf("work at %s is %+v, the reports add up to %+v", e, got, sum)
					}
					if got := tracker.Slowness(e, now); got != slowness {
						t.Fatalf("slowness of %s is %v instead of %v", e, got, slowness)
					}
				}
			}
		})
	})
	It("keeps the reports of a router longer where they are rare", func() {
		tracker := placement.NewLoadTracker()
		for i := range 300 {
			tracker.UpdatePeer(ids.VM(fmt.Sprint(i)), map[ids.VM]placement.Work{"e": {Running: 1}}, nil, start.Add(time.Duration(i)*6*time.Millisecond))
		}
		Expect(tracker.WorkAt("e", start.Add(2500*time.Millisecond)).Running).To(BeNumerically("<", 300))
		tracker = placement.NewLoadTracker()
		tracker.PeerTTL = 6 * time.Second
		tracker.UpdatePeer("r", map[ids.VM]placement.Work{"e": {Running: 1}}, nil, start)
		Expect(tracker.WorkAt("e", start.Add(5*time.Second)).Running).To(Equal(1))
	})
})
