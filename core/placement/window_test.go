package placement_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
)

var _ = Describe("an upstream whose window is full", func() {
	full := func(n int) []placement.Candidate {
		list := engines(n)
		list[0].WindowFull = true
		return list
	}
	// Guards against an engine that looks empty and gets a burst of prompts.
	It("gets no prompt while the other engines have room, and one when these have none either", func() {
		p := picker("r")
		for range 4 {
			c, _, _ := p.Pick(full(3), prompt, placement.DefaultEngineModel, start)
			Expect(c.ID).NotTo(Equal(ids.VM("e0")))
			p.Reserve(c.ID, prompt, "")
		}
		for range 8 {
			p.Reserve("e1", prompt, "")
			p.Reserve("e2", prompt, "")
		}
		c, _, _ := p.Pick(full(3), prompt, placement.DefaultEngineModel, start)
		Expect(c.ID).To(Equal(ids.VM("e0")))
	})
	It("gets the copy of a KV cache as before", func() {
		p := picker("r")
		c, ok := p.PickCopy(full(2), placement.Candidate{ID: "e1", Domain: "1"}, prompt, placement.DefaultEngineModel, start)
		Expect(ok).To(BeTrue())
		Expect(c.ID).To(Equal(ids.VM("e0")))
	})
	It("gets a call before those at which calls wait, and after those with a free slot", func() {
		c := placement.NewCallPicker("0")
		slots := map[ids.VM]int{"e0": 6, "e1": 6, "e2": 6}
		got := map[ids.VM]int{}
		for range 18 {
			u, _ := c.Pick(full(3), slots, start)
			c.Start(u.ID)
			got[u.ID]++
		}
		Expect(got["e1"]).To(BeNumerically(">=", 5))
		Expect(got["e2"]).To(BeNumerically(">=", 5))
		Expect(got["e0"]).To(BeNumerically(">", 0))
	})
})
