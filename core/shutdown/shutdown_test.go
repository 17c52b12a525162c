package shutdown_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/shutdown"
)

var start = time.Unix(1000, 0)

const (
	stopLimit        = 7300 * time.Millisecond
	longLimit        = 25 * time.Second
	prefillTime      = 1500 * time.Millisecond
	firstEventTarget = 4500 * time.Millisecond
)

// rollingRestart simulates a planned restart of all routers in turn under long generations. A rejected caller retries once.
type rollingRestart struct {
	routers int
	gap     time.Duration
	// accepts and retryAfter are the policy under test.
	accepts    func(s shutdown.Progress, r shutdown.Request, otherServing bool) bool
	retryAfter func(f *shutdown.Fleet, left time.Duration, now time.Time) time.Duration
}

// outcome counts the generations that completed with their first event in time, those interrupted by the end of their
// router, and those rejected twice.
type outcome struct{ inTime, interrupted, rejected int }

// stopAt returns the progress of a router's stop at a time, and whether the router is stopping or down.
func (p rollingRestart) stopAt(router int, now time.Duration) (s shutdown.Progress, stops, down bool) {
	since := now - time.Duration(router)*p.gap - time.Second
	switch {
	case since < 0 || since >= stopLimit+shutdown.RestartTime:
		return s, false, false
	case since >= stopLimit:
		return s, true, true
	}
	return shutdown.Progress{Elapsed: since, Remaining: stopLimit - since}, true, false
}

func (p rollingRestart) fleet(self int, now time.Duration) *shutdown.Fleet {
	f := shutdown.NewFleet()
	for r := range p.routers {
		if r == self {
			continue
		}
		s, stops, down := p.stopAt(r, now)
		switch {
		case !stops:
			f.RecordServing(ids.VM(fmt.Sprint(r)), start.Add(now))
		case down:
			end := time.Second + time.Duration(r)*p.gap + stopLimit
			f.RecordStopping(ids.VM(fmt.Sprint(r)), 0, start.Add(end))
		default:
			f.RecordStopping(ids.VM(fmt.Sprint(r)), s.Remaining, start.Add(now))
		}
	}
	return f
}

// assignRouter returns the router to which the load balancer assigns a connection. Routers that have been stopping for two
// seconds or more receive none while others are left.
func (p rollingRestart) assignRouter(rng *rand.Rand, now time.Duration, exclude int) int {
	var eligible, all []int
	for r := range p.routers {
		s, stops, down := p.stopAt(r, now)
		if down || r == exclude {
			continue
		}
		all = append(all, r)
		if !stops || s.Elapsed < 2*time.Second {
			eligible = append(eligible, r)
		}
	}
	if len(eligible) == 0 {
		eligible = all
	}
	return eligible[rng.IntN(len(eligible))]
}

func (p rollingRestart) run(seed uint64) outcome {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out outcome
	for at := time.Duration(0); at < 14*time.Second; at += 150 * time.Millisecond {
		duration := 2*time.Second + time.Duration(rng.Int64N(int64(6*time.Second)))
		p.request(rng, at, duration, &out)
	}
	return out
}

func (p rollingRestart) request(rng *rand.Rand, arrival, duration time.Duration, out *outcome) {
	now, exclude := arrival, -1
	for range 2 {
		r := p.assignRouter(rng, now, exclude)
		s, stops, _ := p.stopAt(r, now)
		f := p.fleet(r, now)
		req := shutdown.Request{Long: true, Expected: duration, Limit: longLimit}
		if stops && !p.accepts(s, req, f.AnyServing(start.Add(now))) {
			now += p.retryAfter(f, s.Remaining, start.Add(now))
			exclude = r
			continue
		}
		switch {
		case stops && duration > s.Remaining:
			out.interrupted++
		case now+prefillTime-arrival <= firstEventTarget:
			out.inTime++
		}
		return
	}
	out.rejected++
}

var _ = Describe("a stopping router", func() {
	policy := rollingRestart{routers: 4, accepts: shutdown.Progress.Accepts, retryAfter: (*shutdown.Fleet).RetryAfter}
	// The baseline accepts long work for a fixed time and rejects all other requests with a fixed retry delay.
	baseline := rollingRestart{
		routers:    4,
		accepts:    func(s shutdown.Progress, _ shutdown.Request, _ bool) bool { return s.Elapsed <= shutdown.DetectionTime },
		retryAfter: func(*shutdown.Fleet, time.Duration, time.Time) time.Duration { return 100 * time.Millisecond },
	}

	DescribeTable("a rolling restart under long generations: more complete in time, fewer are interrupted and no more are rejected",
		func(gap time.Duration, atLeast float64) {
			policy, baseline := policy, baseline
			policy.gap, baseline.gap = gap, gap
			var got, before outcome
			for seed := range uint64(40) {
				g, b := policy.run(seed), baseline.run(seed)
				got = outcome{got.inTime + g.inTime, got.interrupted + g.interrupted, got.rejected + g.rejected}
				before = outcome{before.inTime + b.inTime, before.interrupted + b.interrupted, before.rejected + b.rejected}
			}
			Expect(float64(got.inTime)).To(BeNumerically(">=", atLeast*float64(before.inTime)), "%+v %+v", got, before)
			Expect(got.rejected).To(BeNumerically("<=", before.rejected), "%+v %+v", got, before)
			Expect(got.interrupted).To(BeNumerically("<", before.interrupted), "%+v %+v", got, before)
		},
		Entry("one router every two seconds, so that another one always serves for a while", 2*time.Second, 1.04),
		Entry("one router every second, so that all are stopping at once", time.Second, 1.05),
	)

	It("accepts calls whose own time limit lies before the end of its stop", func() {
		s := shutdown.Progress{Elapsed: 6 * time.Second, Remaining: time.Second}
		Expect(s.Accepts(shutdown.Request{Limit: 800 * time.Millisecond}, true)).To(BeTrue())
		Expect(s.Accepts(shutdown.Request{Limit: 2 * time.Second}, false)).To(BeFalse())
	})
	It("accepts no long work after the load balancer has detected the stop, since it would be interrupted", func() {
		s := shutdown.Progress{Elapsed: 3100 * time.Millisecond, Remaining: 4 * time.Second}
		Expect(s.Accepts(shutdown.Request{Long: true, Expected: time.Second, Limit: longLimit}, false)).To(BeFalse())
	})
	It("has callers retry when the first router is back, if none is serving", func() {
		f := shutdown.NewFleet()
		f.RecordStopping("a", 1300*time.Millisecond, start)
		f.RecordStopping("b", 4*time.Second, start)
		Expect(f.RetryAfter(6*time.Second, start)).To(Equal(1300*time.Millisecond + shutdown.RestartTime))
		Expect(f.RetryAfter(6*time.Second, start.Add(time.Second))).To(Equal(300*time.Millisecond + shutdown.RestartTime))
		f.RecordServing("a", start.Add(time.Second))
		Expect(f.RetryAfter(6*time.Second, start.Add(time.Second))).To(Equal(100 * time.Millisecond))
		Expect(f.AnyServing(start.Add(5*time.Second))).To(BeFalse(), "its last state update has expired")
	})
})
