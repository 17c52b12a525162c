package ratelimit_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/ratelimit"
)

func named(rate ratelimit.Rate) ratelimit.Statement {
	return ratelimit.Statement{Named: true, Rate: rate}
}

// takeAll sends as many requests as the limiter allows until a time, one every millisecond at most.
func takeAll(l *ratelimit.Limiter, from, to time.Time) int {
	n := 0
	for now := from; now.Before(to); now = now.Add(time.Millisecond) {
		l.RecordRequest("pool", now)
		if l.Delay("u", now) == 0 {
			l.Take("u", now)
			n++
		}
	}
	return n
}

var _ = Describe("a limiter", func() {
	start := time.Unix(1000, 0)

	It("lets the only router use a whole limit, and no more", func() {
		l := ratelimit.New("a")
		l.Record("u", "pool", named(5), start, start)
		Expect(takeAll(l, start, start.Add(2*time.Second))).To(BeNumerically("~", 11, 1))
	})
	It("limits nothing that has named no limit", func() {
		l := ratelimit.New("a")
		l.Record("u", "pool", ratelimit.Statement{}, start, start)
		Expect(l.Delay("u", start)).To(BeZero())
		Expect(l.Reports(start)).To(BeEmpty())
	})
	It("sends nothing to an upstream that takes nothing, until that has faded", func() {
		l := ratelimit.New("a")
		l.Record("u", "pool", named(0), start, start)
		Expect(l.Delay("u", start.Add(10*time.Second))).To(Equal(ratelimit.Never))
		Expect(takeAll(l, start.Add(15*time.Second), start.Add(40*time.Second))).To(BeNumerically(">", 100))
	})
	// Guards against a limit that is lifted by an answer that was given before the one that has named it, and was read after it.
	It("is not lifted by the answer to a request that was sent before the limit was heard of", func() {
		l := ratelimit.New("a")
		l.Record("u", "pool", named(5), start, start.Add(100*time.Millisecond))
		_, changed := l.Record("u", "pool", ratelimit.Statement{}, start.Add(50*time.Millisecond), start.Add(2*time.Second))
		Expect(changed).To(BeFalse())
		Expect(l.Reports(start.Add(2 * time.Second))[0].Named).To(BeTrue())
		_, changed = l.Record("u", "pool", ratelimit.Statement{}, start.Add(150*time.Millisecond), start.Add(6*time.Second))
		Expect(changed).To(BeTrue())
		Expect(l.Reports(start.Add(9*time.Second))).To(HaveLen(1), "it is passed on although its request is old")
		Expect(l.Reports(start.Add(11 * time.Second))).To(BeEmpty())
	})
	It("goes by the newest statement, whoever has heard it", func() {
		l := ratelimit.New("a")
		l.Record("u", "pool", named(5), start, start)
		older := ratelimit.Report{Upstream: "u", Service: "pool", Statement: named(9), Age: 2 * time.Second}
		Expect(l.Merge([]ratelimit.Report{older}, start.Add(time.Second))).To(BeEmpty())
		lifted := ratelimit.Report{Upstream: "u", Service: "pool"}
		Expect(l.Merge([]ratelimit.Report{lifted}, start.Add(2*time.Second))).To(HaveLen(1))
		Expect(l.Delay("u", start.Add(2*time.Second))).To(BeZero())
		Expect(l.Merge([]ratelimit.Report{older}, start.Add(2500*time.Millisecond))).To(BeEmpty(), "it does not return")
	})
	It("lets a limit fade by degrees after the upstream should have been heard of, and forgets it", func() {
		l := ratelimit.New("a")
		l.Record("u", "pool", named(2), start, start)
		Expect(takeAll(l, start, start.Add(3*time.Second))).To(BeNumerically("~", 7, 1))
		Expect(takeAll(l, start.Add(3*time.Second), start.Add(5*time.Second))).To(BeNumerically("~", 8, 2))
		Expect(l.Expire(start.Add(10 * time.Second))).To(BeEmpty())
		Expect(l.Expire(start.Add(14 * time.Second))).To(HaveLen(1))
		Expect(l.Reports(start.Add(14 * time.Second))).To(BeEmpty())
	})
	It("gives back the charge of a request that is not sent", func() {
		l := ratelimit.New("a")
		l.Record("u", "pool", named(1), start, start)
		charge := l.Take("u", start)
		Expect(l.Delay("u", start)).To(BeNumerically(">", 900*time.Millisecond))
		charge.Cancel(start)
		Expect(l.Delay("u", start)).To(BeZero())
	})
	It("keeps a bounded number of statements, the newest ones", func() {
		l := ratelimit.New("a")
		for i := range 5000 {
			l.Record(ids.VM(fmt.Sprint(i)), "pool", named(0), start.Add(time.Duration(i)*time.Millisecond), start.Add(time.Duration(i)*time.Millisecond))
		}
		Expect(len(l.Reports(start.Add(5 * time.Second)))).To(BeNumerically("<=", 4096))
		Expect(l.Delay("4999", start.Add(5*time.Second))).To(Equal(ratelimit.Never))
	})
	// Guards against routers whose parts of a limit add up to more than it, because each knows only what the others had announced.
	It("takes parts that never add up to more than the limit, as long as announcements arrive within the interval", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			const interval = 500 * time.Millisecond
			n := rapid.IntRange(2, 6).Draw(t, "routers")
			list := make([]*ratelimit.Limiter, n)
			for i := range list {
				list[i] = ratelimit.New(ids.VM(fmt.Sprint(i)))
				var others []ids.VM
				for j := range n {
					if j != i {
						others = append(others, ids.VM(fmt.Sprint(j)))
					}
				}
				list[i].SetPeers(others, interval)
				list[i].Record("u", "pool", named(100), start, start)
			}
			told := make([][]time.Time, n)
			for i := range told {
				told[i] = make([]time.Time, n)
			}
			now := start
			taken := 0
			for range 300 {
				now = now.Add(10 * time.Millisecond)
				busy := rapid.IntRange(0, n-1).Draw(t, "busy")
				for range 3 {
					list[busy].RecordRequest("pool", now)
				}
				for i := range n {
					for j := range n {
						if i == j || now.Sub(told[i][j]) < interval-20*time.Millisecond && rapid.IntRange(0, 9).Draw(t, "told") > 0 {
							continue
						}
						told[i][j] = now
						list[j].MergeDemand(ids.VM(fmt.Sprint(i)), "pool", list[i].Announce("pool", now), now)
					}
				}
				for _, l := range list {
					l.Record("u", "pool", named(100), now, now)
					for l.Delay("u", now) == 0 {
						l.Take("u", now)
						taken++
					}
				}
			}
			// Each router may save up half a second of its part, or one request.
			if most := 100*3 + 50 + n; taken > most {
				t.Fatalf("%d requests in 3 s, at most %d", taken, most)
			}
		})
	})
})

func BenchmarkDelayOf192Upstreams(b *testing.B) {
	for _, limited := range []int{0, 2, 192} {
		b.Run(fmt.Sprint(limited, " limited, 300 routers"), func(b *testing.B) {
			l := ratelimit.New("self")
			now := time.Unix(1000, 0)
			var peers []ids.VM
			for i := range 300 {
				peers = append(peers, ids.VM(fmt.Sprint("router-", i)))
				l.MergeDemand(peers[i], "pool", 3, now)
			}
			l.SetPeers(peers, 1900*time.Millisecond)
			var upstreams []ids.VM
			for i := range 192 {
				upstreams = append(upstreams, ids.VM(fmt.Sprint("i-", i)))
				if i < limited {
					l.Record(upstreams[i], "pool", named(20), now, now)
				}
			}
			for b.Loop() {
				now = now.Add(time.Millisecond)
				for _, u := range upstreams {
					l.Delay(u, now)
				}
			}
		})
	}
}

var _ = Describe("the requests that other routers take unseen", func() {
	It("are their last announced demand over the interval of state updates", func() {
		now := time.Unix(1000, 0)
		l := ratelimit.New("self")
		Expect(l.Unseen("pool")).To(BeZero())
		l.SetPeers([]ids.VM{"a", "b"}, 500*time.Millisecond)
		l.MergeDemand("a", "pool", 4, now)
		l.MergeDemand("a", "pool", 10, now)
		l.MergeDemand("b", "pool", 20, now)
		l.MergeDemand("b", "other", 20, now)
		Expect(l.Unseen("pool")).To(BeNumerically("~", 15, 0.01))
	})
})
