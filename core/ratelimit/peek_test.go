package ratelimit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/ratelimit"
)

// apart reports whether two delays differ by more than the rounding of sums, which depends on the order of the summands.
func apart(a, b time.Duration) bool { return (a - b).Abs() > time.Microsecond }

var _ = Describe("a look at the limits", func() {
	// Guards against a look that makes a request wait longer or shorter than without it.
	It("returns the delay of a request and changes none", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Unix(1000, 0)
			watched, control := ratelimit.New("self"), ratelimit.New("self")
			each := func(f func(l *ratelimit.Limiter)) { f(watched); f(control) }
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				rate := ratelimit.Rate(rapid.Float64Range(0, 20).Draw(t, "rate"))
				switch rapid.IntRange(0, 6).Draw(t, "event") {
				case 0:
					each(func(l *ratelimit.Limiter) { l.Record("u", "pool", named(rate), now, now) })
				case 1:
					each(func(l *ratelimit.Limiter) { l.RecordRequest("pool", now) })
				case 2:
					each(func(l *ratelimit.Limiter) { l.Take("u", now) })
				case 3:
					each(func(l *ratelimit.Limiter) { l.SetPeers([]ids.VM{"b", "c", "d", "e"}, 200*time.Millisecond) })
				case 4:
					each(func(l *ratelimit.Limiter) { l.MergeDemand("b", "pool", rate, now) })
				case 5:
					each(func(l *ratelimit.Limiter) { l.Announce("pool", now) })
				case 6:
					each(func(l *ratelimit.Limiter) { l.Hold("u", now.Add(time.Duration(rate)*time.Second), now) })
				}
				seen := watched.Peek("u", now)
				if again := watched.Peek("u", now); apart(again.Delay, seen.Delay) || again.Held != seen.Held || again.Limited != seen.Limited {
					t.Fatalf("%+v, then %+v", seen, again)
				}
				if rapid.Bool().Draw(t, "compare") {
					here, there := watched.Delay("u", now), control.Delay("u", now)
					if apart(here, there) || apart(seen.Delay, here) {
						t.Fatalf("seen %s, then %s, without a look %s", seen.Delay, here, there)
					}
				}
			}
		})
	})
})
