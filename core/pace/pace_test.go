package pace_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/pace"
)

const routers = 24

// loaded returns a site of 40 upstreams, each of which carries about three quarters of its slots.
func loaded() (*site, float64) {
	s := newSite(routers, 40)
	rate := 0.75 * 40 * slots / work.Seconds()
	s.run(2*time.Second, rate)
	return s, rate
}

// back returns an upstream that comes back from a crash and answers four times slower until it has given a number of answers, some time
// later, and its site.
func back(off bool, cold int) (*server, *site) {
	s, rate := loaded()
	s.off = off
	u := s.upstreams[0]
	s.crash(u)
	s.run(time.Second, rate)
	u.cold = cold
	s.restart(u)
	s.run(5*time.Second, rate)
	return u, s
}

var _ = Describe("an upstream that comes back from a crash beside loaded peers", func() {
	// Guards against the flood that an upstream gets that looks empty to all routers at once: it makes its first answers late.
	It("gives no late answer while it is slow, which it does without windows", func() {
		u, _ := back(false, 30)
		Expect(u.refused).To(BeZero())
		Expect(u.late).To(BeZero())
		flooded, _ := back(true, 30)
		Expect(flooded.late).To(BeNumerically(">", 10), "baseline")
		Expect(u.most).To(BeNumerically("<", flooded.most/2))
	})
	// Guards against a window that stays after the upstream has become as fast as its peers.
	It("is established soon after it has become as fast as its peers", func() {
		_, s := back(false, 8)
		Expect(s.windows()).To(BeZero())
	})
	// Guards against an upstream that is left idle after it has shown that it answers well.
	It("carries its share after a bounded number of answers", func() {
		s, rate := loaded()
		u := s.upstreams[0]
		s.crash(u)
		s.run(time.Second, rate)
		s.restart(u)
		for s.windows() > 0 && u.answered < 200 {
			s.run(tick, rate)
		}
		Expect(u.answered).To(BeNumerically("<", 60))
		before, all := u.answered, answered(s.upstreams)
		s.run(2*time.Second, rate)
		Expect(float64(u.answered - before)).To(BeNumerically(">", 0.8*float64(answered(s.upstreams)-all)/40))
	})
})

// twenty returns twenty of forty upstreams, each of which starts again and is slow until it has given a number of answers, some time later,
// with their site and its rate.
func twenty(off bool, cold int) ([]*server, *site, float64) {
	s, rate := loaded()
	s.off = off
	rate *= 0.6
	list := s.upstreams[:20]
	for _, u := range list {
		s.crash(u)
	}
	s.run(time.Second, rate/2)
	for _, u := range list {
		u.cold = cold
		s.restart(u)
	}
	s.run(4*time.Second, rate)
	return list, s, rate
}

var _ = Describe("twenty upstreams that start together beside twenty loaded ones", func() {
	// Guards against twenty floods.
	It("give few late answers while they are slow, which they do without windows", func() {
		late := func(list []*server) int {
			n := 0
			for _, u := range list {
				n += u.late
			}
			return n
		}
		paced, _, _ := twenty(false, 30)
		flooded, _, _ := twenty(true, 30)
		Expect(late(flooded)).To(BeNumerically(">", 50), "baseline")
		Expect(late(paced)).To(BeNumerically("<", late(flooded)/5))
	})
	// Guards against twenty windows that leave the others to carry everything.
	It("carry their share within four seconds", func() {
		list, s, rate := twenty(false, 4)
		before, all := answered(list), answered(s.upstreams)
		s.run(2*time.Second, rate)
		Expect(float64(answered(list)-before) / float64(answered(s.upstreams)-all)).To(BeNumerically("~", 0.5, 0.05))
	})
})

var _ = Describe("an upstream that flaps", func() {
	// Guards against requests that are lost with each crash of an upstream that is never up for long.
	It("loses fewer requests than without windows", func() {
		lost := func(off bool) int {
			s, rate := loaded()
			s.off = off
			u := s.upstreams[0]
			for range 10 {
				s.crash(u)
				s.run(500*time.Millisecond, rate)
				u.cold = 1000
				s.restart(u)
				s.run(700*time.Millisecond, rate)
			}
			s.crash(u)
			return u.failed
		}
		Expect(lost(false)).To(BeNumerically("<", lost(true)/2))
	})
})

var _ = Describe("an upstream that stays slow after its start", func() {
	// Guards against an upstream whose window grows although its answers are late.
	It("holds a small window, and is used where all others are down", func() {
		s, rate := loaded()
		u := s.upstreams[0]
		s.crash(u)
		s.run(time.Second, rate)
		u.slowness = 4
		s.restart(u)
		s.run(5*time.Second, rate)
		Expect(u.most).To(BeNumerically("<=", 8), "windows of two, and what routers place before they hear of each other")
		Expect(u.answered).To(BeNumerically(">", 0), "it is tried")
		Expect(s.windows()).To(Equal(routers))
		for _, other := range s.upstreams[1:] {
			s.crash(other)
		}
		before := u.answered
		s.run(2*time.Second, 20)
		Expect(u.answered).To(BeNumerically(">", before+10))
	})
})

var _ = Describe("the start of a whole site under load", func() {
	// Guards against upstreams that are held back relative to nothing: all of them are new.
	It("holds no upstream back, also where they start one after another", func() {
		served := func(off bool, between time.Duration) int {
			s := newSite(routers, 40)
			s.off = off
			for _, u := range s.upstreams {
				u.down = true
			}
			rate := 0.5 * 40 * slots / work.Seconds()
			for _, u := range s.upstreams {
				s.restart(u)
				s.run(between, rate*float64(len(s.upstreams))/40)
			}
			s.run(2*time.Second, rate)
			return answered(s.upstreams)
		}
		Expect(served(false, 0)).To(BeNumerically(">=", served(true, 0)*99/100))
		Expect(served(false, 20*time.Millisecond)).To(BeNumerically(">=", served(true, 20*time.Millisecond)*95/100))
	})
})

var _ = Describe("a window", func() {
	start := pace.Start{ID: "u", Started: 1}
	now := time.Unix(1000, 0)
	It("is decreased once for a burst of refusals, and not by a single failed answer", func() {
		t := pace.New()
		t.Begin(start, pace.Registered, now)
		for range 14 {
			t.RecordAnswer(pace.Answer{Start: start, Ratio: 1}, now)
		}
		_, decreased := t.RecordTrouble(start, pace.Failed, now)
		Expect(decreased).To(BeFalse())
		c, decreased := t.RecordTrouble(start, pace.Refused, now)
		Expect(decreased).To(BeTrue())
		Expect(c.Size).To(Equal(8.0))
		_, decreased = t.RecordTrouble(start, pace.Refused, now.Add(100*time.Millisecond))
		Expect(decreased).To(BeFalse())
		t.RecordTrouble(start, pace.Failed, now.Add(time.Second))
		c, decreased = t.RecordTrouble(start, pace.Failed, now.Add(time.Second))
		Expect(decreased).To(BeTrue())
		Expect(c.Size).To(Equal(4.0))
	})
	It("belongs to a start: signs of an earlier start of the upstream change nothing", func() {
		t := pace.New()
		t.Begin(start, pace.Registered, now)
		_, decreased := t.RecordTrouble(pace.Start{ID: "u", Started: 0}, pace.Refused, now)
		Expect(decreased).To(BeFalse())
	})
	It("takes over another router's later decrease, and not a report that is older than its own", func() {
		a, b, late := pace.New(), pace.New(), pace.New()
		for _, t := range []*pace.Tracker{a, b, late} {
			t.Begin(start, pace.Registered, now)
		}
		for range 6 {
			a.RecordAnswer(pace.Answer{Start: start, Ratio: 1}, now)
		}
		grown := a.Reports(now)
		late.Merge("a", grown, now)
		a.RecordTrouble(start, pace.Stalled, now)
		late.Merge("a", a.Reports(now), now)
		late.Merge("a", grown, now)
		Expect(late.Reports(now)[0]).To(Equal(pace.Report{Start: start, Epoch: 1, Base: 4}))
		Expect(pace.New().Merge("a", grown, now)).To(BeEmpty())
	})
	It("is ended by a report of its end, but not where it has begun anew since", func() {
		a, b := pace.New(), pace.New()
		a.Begin(start, pace.Registered, now)
		b.Begin(start, pace.Registered, now)
		a.RecordAnswer(pace.Answer{Start: start, Ratio: 1}, now)
		peer := pace.Load{Start: pace.Start{ID: "peer"}, InFlight: 1, Slots: 1}
		Expect(a.Weigh([]pace.Load{{Start: start, Slots: 1}, peer}, 0, func() float64 { return 0 }, now)).To(HaveLen(1))
		ended := a.Reports(now)
		Expect(b.Merge("a", ended, now)).To(HaveLen(1))
		a.Begin(start, pace.Returned, now)
		Expect(a.Merge("c", ended, now)).To(BeEmpty())
	})
	// Guards against a window that only this router has, of an upstream that the other routers use as before.
	It("ends when other routers have had the upstream carry what its peers carry for long", func() {
		t := pace.New()
		t.Begin(start, pace.Returned, now)
		weigh := func(now time.Time) []pace.Change {
			list := []pace.Load{{Start: start, InFlight: 8, Others: 8, Slots: 16}, {Start: pace.Start{ID: "peer"}, InFlight: 8, Slots: 16}}
			return t.Weigh(list, 0, func() float64 { return 0 }, now)
		}
		Expect(weigh(now.Add(time.Second))).To(BeEmpty())
		Expect(weigh(now.Add(3 * time.Second))).To(HaveLen(1))
	})
})
