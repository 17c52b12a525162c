package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/quarantine"
)

// Guards against batches of prompts that crash engines as one incident each, and against sound prompts that are refused because their
// engines were lost together.
var _ = Describe("engines that crash together", func() {
	var (
		q       *quarantine.Quarantine
		now     time.Time
		engines int
	)
	BeforeEach(func() { q, now, engines = quarantine.New("r1"), start, 0 })
	crash := func(n int, p ...quarantine.Part) {
		for range n {
			engines++
			q.RecordCrash(quarantine.Crash{Parts: p, Upstream: ids.VM(fmt.Sprint("i-", engines)), At: now})
		}
	}
	settle := func() []quarantine.Change {
		for range 2 {
			now = now.Add(time.Second)
			q.RecordSound(parts(shared), now)
		}
		return q.Settle(now)
	}

	It("count one by one if all ran the part, no run proves it sound, and others go on", func() {
		crash(3, shared, poison)
		Expect(q.Settle(now)).To(BeEmpty())
		Expect(settle()).To(ConsistOf(And(HaveField("Part", poison), HaveField("State", quarantine.Opened), HaveField("Crashes", 3), HaveField("OpenFor", 10*time.Second))))
		Expect(q.Check("a", parts(shared, poison), now).Allowed).To(BeFalse())
		Expect(q.Check("a", parts(shared, other), now).Allowed).To(BeTrue())
		now = now.Add(9 * time.Second)
		Expect(q.Check("trial", parts(shared, poison), now)).To(And(HaveField("Allowed", true), HaveField("Trial", true)))
		Expect(q.Check("b", parts(shared, poison), now).Allowed).To(BeFalse())
		Expect(q.RecordCrash(quarantine.Crash{Request: "trial", Parts: parts(shared, poison), Upstream: "i-trial", At: now})).To(
			ConsistOf(And(HaveField("Part", poison), HaveField("OpenFor", 5*time.Minute))))
	})
	It("count one by one in each of two batches", func() {
		crash(2, shared, poison)
		Expect(settle()).To(BeEmpty())
		Expect(q.Check("a", parts(shared, poison), now).Allowed).To(BeTrue())
		crash(2, shared, poison)
		Expect(q.Check("a", parts(shared, poison), now).Allowed).To(BeFalse())
	})
	It("count as one if a run proves the part sound", func() {
		crash(20, shared, poison)
		now = now.Add(time.Second)
		q.RecordSound(parts(poison), now)
		Expect(settle()).To(BeEmpty())
	})
	It("count as one if as many were lost under other parts", func() {
		crash(6, shared, poison)
		crash(6, shared, other)
		Expect(settle()).To(BeEmpty())
	})
	It("count as one if as many were lost under runs that had proved their prompts sound", func() {
		crash(6, shared, poison)
		for i := range 6 {
			q.RecordLoss(ids.VM(fmt.Sprint("lost-", i)), 0, now)
		}
		Expect(settle()).To(BeEmpty())
	})
	It("count as one while no other run is sound", func() {
		crash(20, poison)
		now = now.Add(5 * time.Second)
		Expect(q.Settle(now)).To(BeEmpty())
		Expect(settle()).To(ConsistOf(HaveField("Part", poison)))
	})
	It("are lost by a failure domain beside a poison pill, and only the poison pill is blamed", func() {
		crash(4, shared, other)
		crash(8, shared, other, poison)
		Expect(statesOf(settle())).To(HaveKey(poison))
	})

	// batches draws a load of batches of prompts, beside sound ones that share a part.
	batches := func(t *rapid.T) load {
		return load{
			seed: rapid.Uint64().Draw(t, "seed"), routers: rapid.IntRange(1, 8).Draw(t, "routers"),
			engines: rapid.IntRange(8, 60).Draw(t, "engines"), domains: 2,
			soundPerSecond: float64(rapid.IntRange(10, 60).Draw(t, "sound requests a second")),
			length:         45 * time.Second, reportLoss: rapid.Float64Range(0, 0.1).Draw(t, "reports lost"),
			attempts: rapid.SampledFrom([]int{1, maxAttempts}).Draw(t, "attempts"),
			prompt: func(rng *rand.Rand, bad bool) (int, []quarantine.Part) {
				out := parts(quarantine.Part(1), quarantine.Part(2+rng.IntN(3)))
				if bad {
					out = append(out, poison)
				}
				return 0, out
			},
		}
	}
	It("under a poison pill in batches of any size keep it from engines after the fifth crash", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			l := batches(t)
			l.badBatch = rapid.IntRange(2, 24).Draw(t, "batch")
			l.badEvery = time.Duration(rapid.IntRange(8, 40).Draw(t, "250 ms between batches")) * 250 * time.Millisecond
			l.badFrom = 5 * time.Second
			p := newPartPolicy(l.routers)
			o := simulate(l, p)
			if len(o.poisoned) < 5 {
				return
			}
			fifth := o.poisoned[4]
			if late := count(o.badSent, fifth+contactTime); late > lateSends {
				t.Fatalf("%d bad attempts after %v: %v %+v", late, fifth+contactTime, o.badSent, p.changes)
			}
			from := fifth + 2*contactTime
			if refused, all := count(o.refused, from), count(o.sound, from); 2*refused > all {
				t.Fatalf("%d of %d sound requests refused after %v: %v", refused, all, from, p.changes)
			}
		})
	})
	It("because half of the fleet is lost at one moment, five times in half a minute, refuse no sound request", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			l := batches(t)
			l.domainCrashFrom, l.domainCrashUntil, l.domainCrashEvery = 6*time.Second, 36*time.Second, 6*time.Second
			l.soundBatch = rapid.IntRange(0, 24).Draw(t, "batch of sound prompts with a new part")
			l.soundEvery = rapid.SampledFrom([]time.Duration{time.Second, 2 * time.Second, 6 * time.Second}).Draw(t, "time between them")
			p := newPartPolicy(l.routers)
			o := simulate(l, p)
			if len(o.refused) > 0 {
				t.Fatalf("%d of %d refused: %+v", len(o.refused), len(o.sound), p.changes)
			}
		})
	})
})
