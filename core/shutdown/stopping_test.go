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
	stopLimit  = 7300 * time.Millisecond
	longLimit  = 25 * time.Second
	readTime   = 1500 * time.Millisecond
	firstInAim = 4500 * time.Millisecond
)

// rolling plays a planned restart of all routers in turn under long generations. A caller that is refused comes back once.
type rolling struct {
	routers int
	gap     time.Duration
	// takes and back are the policy that is played.
	takes func(s shutdown.Progress, w shutdown.Request, others bool) bool
	back  func(f *shutdown.Fleet, left time.Duration, now time.Time) time.Duration
}

// outcome counts the generations: those served whole with a first event in time, those begun and cut by a router's end, and
// those given up.
type outcome struct{ inTime, cut, givenUp int }

// stopAt returns where a router stands at a time, and whether it stops or is away.
func (p rolling) stopAt(router int, now time.Duration) (s shutdown.Progress, stops, away bool) {
	since := now - time.Duration(router)*p.gap - time.Second
	switch {
	case since < 0 || since >= stopLimit+shutdown.RestartTime:
		return s, false, false
	case since >= stopLimit:
		return s, true, true
	}
	return shutdown.Progress{Elapsed: since, Remaining: stopLimit - since}, true, false
}

func (p rolling) fleet(self int, now time.Duration) *shutdown.Fleet {
	f := shutdown.NewFleet()
	for r := range p.routers {
		if r == self {
			continue
		}
		s, stops, away := p.stopAt(r, now)
		switch {
		case !stops:
			f.RecordServing(ids.VM(fmt.Sprint(r)), start.Add(now))
		case away:
			end := time.Second + time.Duration(r)*p.gap + stopLimit
			f.RecordStopping(ids.VM(fmt.Sprint(r)), 0, start.Add(end))
		default:
			f.RecordStopping(ids.VM(fmt.Sprint(r)), s.Remaining, start.Add(now))
		}
	}
	return f
}

// reach returns the router that the balancer gives a connection to: those that have been stopping for long get none while
// others are left.
func (p rolling) reach(rng *rand.Rand, now time.Duration, not int) int {
	var in, all []int
	for r := range p.routers {
		s, stops, away := p.stopAt(r, now)
		if away || r == not {
			continue
		}
		all = append(all, r)
		if !stops || s.Elapsed < 2*time.Second {
			in = append(in, r)
		}
	}
	if len(in) == 0 {
		in = all
	}
	return in[rng.IntN(len(in))]
}

func (p rolling) play(seed uint64) outcome {
	rng := rand.New(rand.NewPCG(seed, 1))
	var out outcome
	for at := time.Duration(0); at < 14*time.Second; at += 150 * time.Millisecond {
		takes := 2*time.Second + time.Duration(rng.Int64N(int64(6*time.Second)))
		p.one(rng, at, takes, &out)
	}
	return out
}

func (p rolling) one(rng *rand.Rand, asked, takes time.Duration, out *outcome) {
	now, not := asked, -1
	for range 2 {
		r := p.reach(rng, now, not)
		s, stops, _ := p.stopAt(r, now)
		f := p.fleet(r, now)
		work := shutdown.Request{Long: true, Expected: takes, Limit: longLimit}
		if stops && !p.takes(s, work, f.AnyServing(start.Add(now))) {
			now += p.back(f, s.Remaining, start.Add(now))
			not = r
			continue
		}
		switch {
		case stops && takes > s.Remaining:
			out.cut++
		case now+readTime-asked <= firstInAim:
			out.inTime++
		}
		return
	}
	out.givenUp++
}

var _ = Describe("a router that stops", func() {
	policy := rolling{routers: 4, takes: shutdown.Progress.Accepts, back: (*shutdown.Fleet).RetryAfter}
	// The baseline takes long work for a fixed time and sends all others away for a moment.
	baseline := rolling{
		routers: 4,
		takes:   func(s shutdown.Progress, _ shutdown.Request, _ bool) bool { return s.Elapsed <= shutdown.DetectionTime },
		back:    func(*shutdown.Fleet, time.Duration, time.Time) time.Duration { return 100 * time.Millisecond },
	}

	DescribeTable("long generations while all routers are restarted in turn: more are served whole, none more is given up",
		func(gap time.Duration, atLeast float64) {
			policy, baseline := policy, baseline
			policy.gap, baseline.gap = gap, gap
			var got, before outcome
			for seed := range uint64(40) {
				g, b := policy.play(seed), baseline.play(seed)
				got = outcome{got.inTime + g.inTime, got.cut + g.cut, got.givenUp + g.givenUp}
				before = outcome{before.inTime + b.inTime, before.cut + b.cut, before.givenUp + b.givenUp}
			}
			Expect(float64(got.inTime)).To(BeNumerically(">=", atLeast*float64(before.inTime)), "%+v %+v", got, before)
			Expect(got.givenUp).To(BeNumerically("<=", before.givenUp), "%+v %+v", got, before)
			Expect(got.cut).To(BeNumerically("<", before.cut), "%+v %+v", got, before)
		},
		Entry("each two seconds, so that another always serves for a while", 2*time.Second, 1.04),
		Entry("each second, so that all stop at once", time.Second, 1.05),
	)

	It("takes calls that end by their own limit until the end of its stop", func() {
		s := shutdown.Progress{Elapsed: 6 * time.Second, Remaining: time.Second}
		Expect(s.Accepts(shutdown.Request{Limit: 800 * time.Millisecond}, true)).To(BeTrue())
		Expect(s.Accepts(shutdown.Request{Limit: 2 * time.Second}, false)).To(BeFalse())
	})
	It("never takes long work after the balancer's notice, since it would be cut", func() {
		s := shutdown.Progress{Elapsed: 3100 * time.Millisecond, Remaining: 4 * time.Second}
		Expect(s.Accepts(shutdown.Request{Long: true, Expected: time.Second, Limit: longLimit}, false)).To(BeFalse())
	})
	It("tells callers to come back when the first router is back, if none serves", func() {
		f := shutdown.NewFleet()
		f.RecordStopping("a", 1300*time.Millisecond, start)
		f.RecordStopping("b", 4*time.Second, start)
		Expect(f.RetryAfter(6*time.Second, start)).To(Equal(1300*time.Millisecond + shutdown.RestartTime))
		Expect(f.RetryAfter(6*time.Second, start.Add(time.Second))).To(Equal(300*time.Millisecond + shutdown.RestartTime))
		f.RecordServing("a", start.Add(time.Second))
		Expect(f.RetryAfter(6*time.Second, start.Add(time.Second))).To(Equal(100 * time.Millisecond))
		Expect(f.AnyServing(start.Add(5*time.Second))).To(BeFalse(), "it has said nothing for long")
	})
})
