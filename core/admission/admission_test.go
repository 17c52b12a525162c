package admission_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/admission"
	"bilberrylug.dev/core/ids"
)

// offer sends requests of one workspace to several routers for some seconds and returns how many were admitted. Each
// admitted request runs for the given time.
func offer(routers, perSecond, seconds int, limit admission.Limit, lasts time.Duration) int {
	home := admission.NewCoordinator()
	var locals []*admission.Limiter
	for range routers {
		locals = append(locals, admission.NewLimiter())
	}
	now := time.Unix(0, 0)
	step := time.Second / time.Duration(perSecond)
	var ends []struct {
		at    time.Time
		local *admission.Limiter
	}
	admitted := 0
	for i := range perSecond * seconds {
		now = now.Add(step)
		for len(ends) > 0 && !now.Before(ends[0].at) {
			ends[0].local.Release("w")
			ends = ends[1:]
		}
		local := locals[i%routers]
		answer := local.Admit(now, "w")
		if answer == admission.NeedsGrant {
			from := ids.VM(fmt.Sprint(i % routers))
			local.ReceiveGrant(now, "w", home.Grant(now, "w", from, limit, local.Want("w"), local.Running("w")))
			answer = local.Admit(now, "w")
		}
		if answer == admission.Admitted {
			admitted++
			ends = append(ends, struct {
				at    time.Time
				local *admission.Limiter
			}{now.Add(lasts), local})
		}
	}
	return admitted
}

var _ = Describe("admission by grants", func() {
	It("holds a workspace's rate over any number of routers within a second's burst, and uses what is allowed", func() {
		for _, routers := range []int{1, 2, 4, 8} {
			admitted := offer(routers, 400, 10, admission.Limit{RequestsPerSecond: 50, MaxRunning: 1000}, time.Millisecond)
			Expect(admitted).To(BeNumerically("<=", 50*10+50+8*routers), "%d routers", routers)
			Expect(admitted).To(BeNumerically(">=", 50*10*9/10), "%d routers", routers)
		}
	})
	It("admits everything below the limit", func() {
		for _, routers := range []int{1, 2, 4, 8} {
			Expect(offer(routers, 40, 10, admission.Limit{RequestsPerSecond: 50, MaxRunning: 1000}, time.Millisecond)).To(Equal(400))
		}
	})
	It("never grants more in a span than the rate and one burst allow", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			home := admission.NewCoordinator()
			limit := admission.Limit{RequestsPerSecond: float64(rapid.IntRange(1, 50).Draw(t, "rate")), MaxRunning: 1 << 30}
			now := time.Unix(0, 0)
			granted := 0
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				from := ids.VM(fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "router")))
				granted += home.Grant(now, "w", from, limit, rapid.IntRange(0, 40).Draw(t, "want"), 0)
			}
			most := limit.RequestsPerSecond*now.Sub(time.Unix(0, 0)).Seconds() + limit.RequestsPerSecond
			if float64(granted) > most+0.001 {
				t.Fatalf("%d were granted, at most %f may be", granted, most)
			}
		})
	})
	It("holds the number of running requests over all routers", func() {
		limit := admission.Limit{RequestsPerSecond: 10_000, MaxRunning: 20}
		for _, routers := range []int{1, 2, 4} {
			Expect(offer(routers, 200, 4, limit, time.Hour)).To(BeNumerically("<=", 20), "%d routers", routers)
		}
	})
	It("uses each router's own share when the home cannot be reached", func() {
		l := admission.NewLimiter()
		now := time.Unix(0, 0)
		limit := admission.Limit{RequestsPerSecond: 40, MaxRunning: 400}
		admitted := 0
		for range 1000 {
			now = now.Add(10 * time.Millisecond)
			if l.Fallback(now, "w", limit, 4) {
				admitted++
				l.Release("w")
			}
		}
		Expect(admitted).To(BeNumerically("~", 100, 11))
	})
})
