package placement_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
)

var _ = Describe("a crest of patient generations beside a few urgent ones", func() {
	const engineCount, urgentCount, patientCount = 24, 4, 72
	// neighbours places the crest and returns how many patient generations joined the urgent ones, in all.
	neighbours := func(ranked bool) int {
		p := placement.Picker{Router: "entry", Domain: "0", Routers: 1, LoadTracker: placement.NewLoadTracker()}
		place := func(n int, urgent bool) ids.VM {
			req := placement.Request{Prompt: 5200, Output: 1040, Seed: uint64(n), Urgent: urgent && ranked}
			c, _, ok := p.Pick(engines(engineCount), req, placement.DefaultEngineModel, start)
			Expect(ok).To(BeTrue())
			p.Reserve(c.ID, req, "").PrefillDone()
			return c.ID
		}
		at := map[ids.VM]int{}
		for n := range urgentCount {
			at[place(n, true)] = 0
		}
		joined := 0
		for n := range patientCount {
			id := place(100+n, false)
			if _, urgent := at[id]; urgent {
				joined++
			}
		}
		return joined
	}
	// Guards against prompts of patient generations that slow the urgent ones down, each by more than half a second.
	It("keeps away from the engines of the urgent ones", func() {
		before, now := neighbours(false), neighbours(true)
		Expect(before).To(BeNumerically(">=", 2*urgentCount), "baseline: ranks are not known")
		Expect(now).To(BeNumerically("<=", before/4), fmt.Sprint(before))
	})
})
