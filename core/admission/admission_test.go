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

// countAdmitted sends requests of one workspace at a constant rate to several routers in turn and returns how many were
// admitted. Each admitted request runs for the given duration.
func countAdmitted(routers, perSecond, seconds int, limit admission.Limit, duration time.Duration) int {
	coordinator := admission.NewCoordinator()
	var limiters []*admission.Limiter
	for range routers {
		limiters = append(limiters, admission.NewLimiter())
	}
	now := time.Unix(0, 0)
	step := time.Second / time.Duration(perSecond)
	var ends []struct {
		at      time.Time
		limiter *admission.Limiter
	}
	admitted := 0
	for i := range perSecond * seconds {
		now = now.Add(step)
		for len(ends) > 0 && !now.Before(ends[0].at) {
			ends[0].limiter.Release("w")
			ends = ends[1:]
		}
		limiter := limiters[i%routers]
		decision := limiter.Admit(now, "w")
		if decision == admission.NeedsGrant {
			from := ids.VM(fmt.Sprint(i % routers))
			limiter.ReceiveGrant(now, "w", coordinator.Grant(now, "w", from, limit, limiter.Want("w"), limiter.Running("w")))
			decision = limiter.Admit(now, "w")
		}
		if decision == admission.Admitted {
			admitted++
			ends = append(ends, struct {
				at      time.Time
				limiter *admission.Limiter
			}{now.Add(duration), limiter})
		}
	}
	return admitted
}

var _ = Describe("admission by grants", func() {
	It("limits a workspace's rate over any number of routers to within a second's burst, and uses the allowed rate", func() {
		for _, routers := range []int{1, 2, 4, 8} {
			admitted := countAdmitted(routers, 400, 10, admission.Limit{RequestsPerSecond: 50, MaxRunning: 1000}, time.Millisecond)
			Expect(admitted).To(BeNumerically("<=", 50*10+50+8*routers), "%d routers", routers)
			Expect(admitted).To(BeNumerically(">=", 50*10*9/10), "%d routers", routers)
		}
	})
	It("admits all requests below the limit", func() {
		for _, routers := range []int{1, 2, 4, 8} {
			Expect(countAdmitted(routers, 40, 10, admission.Limit{RequestsPerSecond: 50, MaxRunning: 1000}, time.Millisecond)).To(Equal(400))
		}
	})
	It("never grants more in a period than the rate and one burst allow", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			coordinator := admission.NewCoordinator()
			limit := admission.Limit{RequestsPerSecond: float64(rapid.IntRange(1, 50).Draw(t, "rate")), MaxRunning: 1 << 30}
			now := time.Unix(0, 0)
			granted := 0
			for range rapid.IntRange(1, 100).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
				from := ids.VM(fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "router")))
				granted += coordinator.Grant(now, "w", from, limit, rapid.IntRange(0, 40).Draw(t, "want"), 0)
			}
			most := limit.RequestsPerSecond*now.Sub(time.Unix(0, 0)).Seconds() + limit.RequestsPerSecond
			if float64(granted) > most+0.001 {
				t.Fatalf("%d credits were granted, at most %f are allowed", granted, most)
			}
		})
	})
	It("limits the number of running requests over all routers", func() {
		limit := admission.Limit{RequestsPerSecond: 10_000, MaxRunning: 20}
		for _, routers := range []int{1, 2, 4} {
			Expect(countAdmitted(routers, 200, 4, limit, time.Hour)).To(BeNumerically("<=", 20), "%d routers", routers)
		}
	})
	It("uses an equal share per router when the coordinator is unreachable", func() {
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
