package placement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
)

var _ = Describe("choosing upstreams for short calls", func() {
	slots := map[ids.VM]int{"e0": 6, "e1": 6, "e2": 6}
	It("burst of short calls: it is spread over failure domains before any queue grows", func() {
		c := placement.NewCallPicker("0")
		got := map[ids.VM]int{}
		for range 18 {
			u, _ := c.Pick(engines(3), slots, start)
			c.Start(u.ID)
			got[u.ID]++
		}
		for _, u := range engines(3) {
			Expect(got[u.ID]).To(BeNumerically("~", 6, 1))
		}
	})
	It("upstream slowed by its neighbours: calls go elsewhere while its word is fresh", func() {
		c := placement.NewCallPicker("0")
		c.RecordLoad("e0", 2, 2.5, start)
		u, _ := c.Pick(engines(3), slots, start)
		Expect(u.ID).NotTo(Equal(ids.VM("e0")))
		u, _ = c.Pick(engines(3), slots, start.Add(time.Second))
		Expect(u.ID).To(Equal(ids.VM("e0")))
	})
	It("other routers' calls count until the upstream itself reports", func() {
		c := placement.NewCallPicker("0")
		c.UpdatePeer("other", map[ids.VM]int{"e0": 6}, nil, start)
		u, _ := c.Pick(engines(3), slots, start)
		Expect(u.ID).NotTo(Equal(ids.VM("e0")))
	})
	It("upstream that fails all calls though it calls itself well: routers keep calls from it, and try it again later", func() {
		// play sends ten calls a second to three upstreams for ten seconds, by two routers, and returns those that e0 fails.
		play := func(note, tell bool) int {
			routers := []*placement.CallPicker{placement.NewCallPicker("0"), placement.NewCallPicker("0")}
			failed := 0
			for i := range 100 {
				now := start.Add(time.Duration(i) * 100 * time.Millisecond)
				c := routers[i%2]
				u, _ := c.Pick(engines(3), slots, now)
				fails := u.ID == "e0"
				if fails {
					failed++
				}
				if note {
					c.RecordOutcome(u.ID, fails, now)
				}
				if tell {
					routers[1-i%2].UpdatePeer("other", nil, c.Ejected(now), now)
				}
			}
			return failed
		}
		Expect(play(false, false)).To(Equal(100), "baseline: the own failure domain's looks idle")
		Expect(play(true, false)).To(BeNumerically("<=", 12))
		Expect(play(true, true)).To(BeNumerically("<=", 9))
	})
	It("lookups of which one in seven fails by itself: upstreams stay in use", func() {
		rng := rand.New(rand.NewPCG(3, 4))
		c := placement.NewCallPicker("0")
		kept := 0
		for i := range 2000 {
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			c.RecordOutcome(ids.VM(fmt.Sprintf("e%d", i%3)), rng.Float64() < 0.14, now)
			kept += len(c.Ejected(now))
		}
		Expect(kept).To(BeNumerically("<", 60), "of 6,000")
	})
})
