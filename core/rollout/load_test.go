package rollout_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/rollout"
)

// site is a usual site: 24 requests a second on four routes.
func site() load {
	return load{routers: 5, upstreams: 4, domains: 2, rate: 24, routes: []rollout.Route{"a", "b", "c", "d"}, loss: 0.05}
}

func (l load) with(answers func(w *world, u *upstream, route rollout.Route, elapsed time.Duration) answer) load {
	l.answers = answers
	return l
}

func (l load) withRate(rate float64) load {
	l.rate = rate
	return l
}

// failing makes a part of the new version's answers fail after a time.
func failing(part float64, after time.Duration) func(*world, *upstream, rollout.Route, time.Duration) answer {
	return func(w *world, u *upstream, _ rollout.Route, elapsed time.Duration) answer {
		return answer{failed: u.version == newVersion && elapsed >= after && w.rng.Float64() < part, factor: 1}
	}
}

// slowing makes a part of the new version's answers take four times as long.
func slowing(part float64) func(*world, *upstream, rollout.Route, time.Duration) answer {
	return func(w *world, u *upstream, _ rollout.Route, _ time.Duration) answer {
		if u.version == newVersion && w.rng.Float64() < part {
			return answer{factor: 4}
		}
		return answer{factor: 1}
	}
}

// newRate returns how many requests reached the new version in the last second.
func (w *world) newRate() float64 {
	n := 0
	for i := len(w.exposedAt) - 1; i >= 0 && w.now.Sub(w.exposedAt[i]) < time.Second; i-- {
		n++
	}
	return float64(n)
}

// faultAt returns the time of a fault that differs from run to run.
func (w *world) faultAt() time.Duration { return time.Duration(w.seed*7919%13000) * time.Millisecond }

func (w *world) inFault(elapsed, length time.Duration) bool {
	return elapsed >= w.faultAt() && elapsed < w.faultAt()+length
}

func (w *world) firstNew() ids.VM {
	for _, u := range w.pool {
		if u.version == newVersion {
			return u.id
		}
	}
	return ""
}

// runs is the number of seeds of each load.
const runs = 16

// crashDomain is a failure domain in which upstreams of all versions are.
const crashDomain = ids.FailureDomain("fd-0")

var _ = Describe("the verdict by the deadline", func() {
	DescribeTable("is completed for a good version", func(l load) {
		for seed := range uint64(runs) {
			w := newWorld(seed, l)
			Expect(w.outcome()).To(Equal(rollout.Completed), "seed %d: %s", seed, w.reason())
			Expect(w.refused).To(BeZero(), "seed %d", seed)
		}
	},
		Entry("24 requests a second", site()),
		Entry("few requests: one a second", site().withRate(1)),
		Entry("no request at all", site().withRate(0)),
		Entry("200 requests a second", site().withRate(200)),
		Entry("one router, one upstream", load{routers: 1, upstreams: 1, domains: 1, rate: 24, routes: []rollout.Route{"a"}}),
		Entry("30 routers that update every second", load{
			routers: 30, upstreams: 6, domains: 3, rate: 24, routes: []rollout.Route{"a", "b"}, interval: time.Second, loss: 0.05,
		}),
		Entry("both versions fail 2 in 100", site().with(func(w *world, _ *upstream, _ rollout.Route, _ time.Duration) answer {
			return answer{failed: w.rng.Float64() < 0.02, factor: 1}
		})),
		Entry("good beside a crash of a failure domain", site().with(func(w *world, u *upstream, _ rollout.Route, elapsed time.Duration) answer {
			return answer{failed: u.domain == crashDomain && w.inFault(elapsed, time.Second), factor: 1}
		})),
		Entry("good with one upstream that fails all", site().with(func(w *world, u *upstream, _ rollout.Route, elapsed time.Duration) answer {
			return answer{failed: u.id == w.firstNew() && elapsed > w.faultAt(), factor: 1}
		})),
		Entry("good with a slow failure domain", site().with(func(w *world, u *upstream, _ rollout.Route, elapsed time.Duration) answer {
			if u.domain == "fd-1" && elapsed > w.faultAt() {
				return answer{factor: 4}
			}
			return answer{factor: 1}
		})),
	)
	DescribeTable("is rolled_back for a bad version, which gets no more requests than allowed", func(l load) {
		for seed := range uint64(runs) {
			w := newWorld(seed, l)
			Expect(w.outcome()).To(Equal(rollout.RolledBack), "seed %d: %s", seed, w.reason())
			Expect(float64(w.exposed)).To(BeNumerically("<=", w.bound()), "seed %d", seed)
			Expect(w.lateExposed).To(BeZero(), "seed %d", seed)
		}
	},
		Entry("a third of the answers fails", site().with(failing(0.33, 0))),
		Entry("all answers fail", site().with(failing(1, 0))),
		Entry("all answers fail, four requests a second", site().withRate(4).with(failing(1, 0))),
		Entry("a fifth fails, 200 requests a second", site().withRate(200).with(failing(0.2, 0))),
		Entry("slow only", site().with(slowing(0.5))),
		Entry("one route only bad", site().with(func(_ *world, u *upstream, route rollout.Route, _ time.Duration) answer {
			return answer{failed: u.version == newVersion && route == "a", factor: 1}
		})),
		Entry("bad late, after 5 s", site().with(failing(0.5, 5*time.Second))),
		Entry("bad late, after 9 s", site().with(failing(0.5, 9*time.Second))),
		Entry("bad under load", site().with(func(w *world, u *upstream, _ rollout.Route, _ time.Duration) answer {
			return answer{failed: u.version == newVersion && w.newRate() > 8 && w.rng.Float64() < 0.5, factor: 1}
		})),
		Entry("bad beside a crash of a failure domain", site().with(func(w *world, u *upstream, _ rollout.Route, elapsed time.Duration) answer {
			crashed := u.domain == crashDomain && elapsed > 4*time.Second && elapsed < 5*time.Second
			return answer{failed: crashed || u.version == newVersion && w.rng.Float64() < 0.4, factor: 1}
		})),
		Entry("one router, one upstream", load{
			routers: 1, upstreams: 1, domains: 1, rate: 24, routes: []rollout.Route{"a"}, answers: failing(0.5, 0),
		}),
	)
	// Guards against a judgement at the deadline by the few requests alone: with one request a second no test can tell a bad version from a
	// good one with a bad answer, but one whose answers all fail must not be completed more often than by chance.
	It("is rolled_back for most versions that fail always, with one request a second", func() {
		rolledBack := 0
		for seed := range uint64(2 * runs) {
			w := newWorld(seed, site().withRate(1).with(failing(1, 0)))
			if w.outcome() == rollout.RolledBack {
				rolledBack++
			}
		}
		Expect(rolledBack).To(BeNumerically(">=", 2*runs*3/4))
	})
	It("is rolled_back for a version that never has an upstream", func() {
		w := newWorld(1, site())
		w.run(w.before)
		w.upstreams = 0
		w.begin(newVersion)
		w.run(w.length)
		Expect(w.phase()).To(Equal(rollout.RolledBack))
		Expect(w.refused).To(BeZero())
	})
})
