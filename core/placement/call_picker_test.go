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

var _ = Describe("a picker for short calls", func() {
	slots := map[ids.VM]int{"e0": 6, "e1": 6, "e2": 6}
	It("spreads a burst of short calls over failure domains before any upstream queues", func() {
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
	It("avoids an upstream slowed by noisy neighbours while its load report is fresh", func() {
		c := placement.NewCallPicker("0")
		c.RecordLoad("e0", 2, 2.5, start)
		u, _ := c.Pick(engines(3), slots, start)
		Expect(u.ID).NotTo(Equal(ids.VM("e0")))
		u, _ = c.Pick(engines(3), slots, start.Add(time.Second))
		Expect(u.ID).To(Equal(ids.VM("e0")))
	})
	It("counts other routers' calls until the upstream itself reports", func() {
		c := placement.NewCallPicker("0")
		c.UpdatePeer("other", map[ids.VM]int{"e0": 6}, nil, start)
		u, _ := c.Pick(engines(3), slots, start)
		Expect(u.ID).NotTo(Equal(ids.VM("e0")))
	})
	It("ejects an upstream that fails all calls but reports itself healthy, and tries it again later", func() {
		// simulate has two routers send ten calls a second to three upstreams for ten seconds, and returns the number of
		// calls that failed at e0.
		simulate := func(record, broadcast bool) int {
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
				if record {
					c.RecordOutcome(u.ID, fails, now)
				}
				if broadcast {
					routers[1-i%2].UpdatePeer("other", nil, c.Ejected(now), now)
				}
			}
			return failed
		}
		Expect(simulate(false, false)).To(Equal(100), "baseline: the upstream in the own failure domain always looks idle")
		Expect(simulate(true, false)).To(BeNumerically("<=", 12))
		Expect(simulate(true, true)).To(BeNumerically("<=", 9))
	})
	// Guards against the loss of a service's room by chance: one router that sees three failures in a row made all others avoid the upstream.
	It("avoids an upstream that some of many routers have ejected only if that is no chance", func() {
		picks := func(routers, ejecting int) ids.VM {
			c := placement.NewCallPicker("0")
			for i := range routers {
				var ejected []ids.VM
				if i < ejecting {
					ejected = []ids.VM{"e0"}
				}
				c.UpdatePeer(ids.VM(fmt.Sprintf("r%d", i)), nil, ejected, start)
			}
			u, _ := c.Pick(engines(3), slots, start)
			return u.ID
		}
		Expect(picks(23, 1)).To(Equal(ids.VM("e0")))
		Expect(picks(23, 2)).To(Equal(ids.VM("e0")))
		Expect(picks(23, 3)).NotTo(Equal(ids.VM("e0")))
		Expect(picks(3, 1)).NotTo(Equal(ids.VM("e0")), "in a small fleet one other router is a large part")
	})
	It("rarely ejects upstreams if one in seven lookups fails through no fault of theirs", func() {
		rng := rand.New(rand.NewPCG(3, 4))
		c := placement.NewCallPicker("0")
		ejected := 0
		for i := range 2000 {
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			c.RecordOutcome(ids.VM(fmt.Sprintf("e%d", i%3)), rng.Float64() < 0.14, now)
			ejected += len(c.Ejected(now))
		}
		Expect(ejected).To(BeNumerically("<", 60), "of 6,000 upstream checks")
	})
})
