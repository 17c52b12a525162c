package direct

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
)

func upstreamsNumbered(n int) []*fleet.Upstream {
	var out []*fleet.Upstream
	for i := range n {
		out = append(out, &fleet.Upstream{Entry: fleet.Entry{ID: ids.VM(fmt.Sprintf("i-%04d", i))}})
	}
	return out
}

var _ = Describe("the candidates for an attempt", func() {
	It("are all upstreams of a service that has few", func() {
		all := upstreamsNumbered(maxCandidates)
		Expect(drawUpstreams(all, "")).To(HaveLen(maxCandidates))
	})
	It("are a part of 3,000 upstreams, each as likely as any other, with the preferred one", func() {
		all := upstreamsNumbered(3000)
		drawn := map[ids.VM]int{}
		for range 1000 {
			list := drawUpstreams(all, "i-0007")
			Expect(len(list)).To(BeNumerically("<=", maxCandidates+1))
			seen := map[ids.VM]bool{}
			for _, u := range list {
				Expect(seen[u.ID]).To(BeFalse())
				seen[u.ID] = true
				drawn[u.ID]++
			}
			Expect(seen["i-0007"]).To(BeTrue())
		}
		for id, n := range drawn {
			if id != "i-0007" {
				Expect(n).To(BeNumerically("~", 1000*maxCandidates/3000, 45), string(id))
			}
		}
		Expect(drawn).To(HaveLen(3000))
	})
	It("take the same effort to choose from in a large fleet as in a small one", func() {
		place := func(routers, engines int) float64 {
			s := newPlacement(routers, engines)
			return testing.AllocsPerRun(20, func() {
				r, err := s.place()
				Expect(err).NotTo(HaveOccurred())
				s.release(r)
			})
		}
		start := time.Now()
		Expect(place(300, 3000)).To(BeNumerically("<", 3*place(33, 120)))
		Expect(time.Since(start)).To(BeNumerically("<", 500*time.Millisecond), "42 placements")
	})
})
