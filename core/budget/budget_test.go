package budget_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/budget"
	"bilberrylug.dev/core/ids"
)

var (
	start  = time.Unix(1000, 0)
	limits = budget.Limits{Ratio: 0.8, Slack: 150, Window: 10 * time.Second}
)

const service = ids.Service("nilam-desk")

// fleet is a number of routers that tell each other their counts.
type fleet []*budget.Budget

func routers(n int) fleet {
	var out fleet
	for range n {
		out = append(out, budget.New(limits, start))
	}
	return out
}

func (f fleet) tell(now time.Time) {
	for i, from := range f {
		for s, c := range from.OwnCounts(now) {
			for j, to := range f {
				if i != j {
					to.SetPeerCounts(ids.VM(fmt.Sprint(i)), s, c, now)
				}
			}
		}
	}
}

var _ = Describe("the budget of repeats", func() {
	It("holds over all routers in each window while every router wants to repeat all it can", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			n := rapid.IntRange(1, 27).Draw(t, "routers")
			f := routers(n)
			newsEvery := rapid.IntRange(1, 8).Draw(t, "news every n steps of 100 ms")
			var requests, repeats []int
			for step := range 250 {
				now := start.Add(time.Duration(step) * 100 * time.Millisecond)
				requests = append(requests, 0)
				repeats = append(repeats, 0)
				for range rapid.IntRange(0, 6).Draw(t, "arrivals") {
					f[rapid.IntRange(0, n-1).Draw(t, "router")].RecordRequest(service, now)
					requests[step]++
				}
				for range rapid.IntRange(0, 12).Draw(t, "wishes") {
					if f[rapid.IntRange(0, n-1).Draw(t, "router")].AllowRetry(service, now, n) {
						repeats[step]++
					}
				}
				if step%newsEvery == 0 {
					f.tell(now)
				}
				sum := func(l []int) int {
					total := 0
					for _, v := range l[max(0, len(l)-100):] {
						total += v
					}
					return total
				}
				if float64(sum(repeats)) > limits.Ratio*float64(sum(requests))+limits.Slack {
					t.Fatalf("%d repeats for %d requests in ten seconds", sum(repeats), sum(requests))
				}
			}
		})
	})
	It("lets one router use what the others leave when a failure domain is lost at its callers", func() {
		f := routers(27)
		now := start
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			for _, b := range f {
				b.RecordRequest(service, now)
			}
		}
		f.tell(now)
		allowed := 0
		for range 60 {
			if f[0].AllowRetry(service, now, 27) {
				allowed++
			}
		}
		Expect(allowed).To(Equal(60), "a twenty-seventh of the limit would be 83 x 0.8 in ten seconds for each")
	})
})
