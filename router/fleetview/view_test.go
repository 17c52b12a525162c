package fleetview_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/testkit"
	"bilberrylug.dev/router/fleetview"
)

func TestFleetView(t *testing.T) { testkit.Run(t, "fleetview") }

func newView(agents ...membership.Member) *fleetview.View {
	v := fleetview.New(fleetview.Options{
		Self:   membership.Member{VM: "entry-1", Role: membership.Router, FailureDomain: "a", Region: "r"},
		Config: activeconfig.New(false), Clock: clockwork.NewFakeClock(), Rand: rand.New(rand.NewPCG(1, 2)),
	})
	v.MergeMembers(agents)
	return v
}

func agent(vm string, domain ids.FailureDomain) membership.Member {
	return membership.Member{VM: ids.VM(vm), Role: membership.Agent, FailureDomain: domain, Region: "r", Incarnation: 1}
}

var _ = Describe("witnesses", func() {
	It("are first chosen outside the router's failure domain, then within it", func() {
		v := newView(agent("near-1", "a"), agent("near-2", "a"), agent("far-1", "b"))
		for i := range 20 {
			key := ids.RequestKey{Workspace: "w", Request: ids.Request(fmt.Sprint(i))}
			got := v.Witnesses(key, true)
			Expect(got).To(HaveLen(3))
			Expect(got[0]).To(Equal(ids.VM("far-1")))
		}
	})
	It("are among the candidates that a router of another failure domain queries", func() {
		var agents []membership.Member
		for i := range 30 {
			agents = append(agents, agent(fmt.Sprintf("u%d", i), ids.FailureDomain(fmt.Sprint(i%3))))
		}
		v := newView(agents...)
		found := 0
		for i := range 200 {
			key := ids.RequestKey{Workspace: "w", Request: ids.Request(fmt.Sprint(i))}
			for _, vm := range v.Witnesses(key, false) {
				if vm == v.Witnesses(key, true)[0] {
					found++
				}
			}
		}
		Expect(found).To(Equal(200))
	})
})
