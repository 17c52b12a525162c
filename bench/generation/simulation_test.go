package generation_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/bench/generation"
)

// mean runs a scenario with three seeds and returns the mean of a figure.
func mean(sc generation.Scenario, p generation.Policy, figure func(r *generation.Result) float64) float64 {
	const seeds = 3
	sum := 0.0
	for seed := range uint64(seeds) {
		sum += figure(generation.Run(sc, p, seed))
	}
	return sum / seeds
}

func tookMean(r *generation.Result) float64 { return r.TookMean.Seconds() }
func lost(r *generation.Result) float64     { return r.Lost }
func inTime(r *generation.Result) float64   { return r.InTime }
func colliding(r *generation.Result) float64 {
	return r.Colliding
}

var _ = Describe("long prompts beside streams that decode, at 120 engines behind 33 routers", func() {
	It("are placed where they delay the fewest streams, so that all end sooner than if only the own wait counted", func() {
		for _, sc := range []generation.Scenario{generation.Large(), generation.Small()} {
			Expect(mean(sc, generation.Production, tookMean)).To(
				BeNumerically("<", 0.97*mean(sc, generation.OwnTime, tookMean)), sc.Name)
			Expect(mean(sc, generation.Production, tookMean)).To(
				BeNumerically("<", 0.85*mean(sc, generation.Random, tookMean)), sc.Name)
		}
	})
	It("rarely meet a prompt that is being read, which least running does not avoid", func() {
		Expect(mean(generation.Large(), generation.Production, colliding)).To(BeNumerically("<", 0.02))
		Expect(mean(generation.Large(), generation.LeastRunning, colliding)).To(BeNumerically(">", 0.05))
	})
})

var _ = Describe("failure domains that are lost in turn", func() {
	It("hit fewer streams where prompts delay fewer of them", func() {
		Expect(mean(generation.DomainLosses(), generation.Production, lost)).To(
			BeNumerically("<", mean(generation.DomainLosses(), generation.OwnTime, lost)))
		Expect(mean(generation.DomainLosses(), generation.Production, inTime)).To(BeNumerically(">", 0.96))
	})
})

var _ = Describe("the crest of the demand at 16 slots an engine", func() {
	It("is served in time while routers learn of each placement at once, and prompts meet more often if they learn of it late", func() {
		late := generation.Crest()
		late.UpdateInterval = 250 * time.Millisecond
		Expect(mean(generation.Crest(), generation.Production, inTime)).To(BeNumerically(">", 0.995))
		Expect(1.5 * mean(generation.Crest(), generation.Production, colliding)).To(
			BeNumerically("<", mean(late, generation.Production, colliding)))
		Expect(mean(generation.Crest(), generation.Random, inTime)).To(BeNumerically("<", 0.95), "baseline")
	})
})

var _ = Describe("twenty engines of a failure domain that come back at once from a crash, beside ongoing load", func() {
	// Guards against the flood that engines get that look empty to all routers at once, and against engines that are left idle.
	It("answer sooner and more is in time with windows, while they carry nearly as much", func() {
		for _, w := range []generation.Warming{{Factor: 1, For: 1}, {Factor: 4, For: 4 * time.Second}} {
			const seeds = 3
			inTime, first, back := 0.0, time.Duration(0), 0.0
			for seed := range uint64(seeds) {
				none := generation.Run(generation.DomainBack("", w), generation.Production, seed)
				windows := generation.Run(generation.DomainBack("", w), generation.Windows, seed)
				inTime += windows.InTime - none.InTime
				first += windows.FirstP99 - none.FirstP99
				back += windows.Back / none.Back / seeds
			}
			Expect(inTime).To(BeNumerically(">", 0))
			Expect(first).To(BeNumerically("<", 0))
			Expect(back).To(BeNumerically(">", 0.75))
		}
	})
})
