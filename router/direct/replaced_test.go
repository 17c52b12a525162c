package direct

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
)

// The load pattern: a third of the engines of a fleet are replaced while the store is away. The routers find the addresses in use
// by other upstreams, one request at a time.
var _ = Describe("an upstream whose address another one has", func() {
	known := func(a *App) bool {
		a.state.mu.Lock()
		defer a.state.mu.Unlock()
		_, known := a.state.fleet.Get("old")
		return known
	}
	newApp := func(vm ids.VM) *App {
		st, _ := newTestState()
		st.applyChanges(upstreamAdded("old", 1))
		return &App{cfg: Settings{VM: vm}, state: st, shutdown: &shutdownTracker{clock: st.clock}}
	}
	It("costs all routers together one refused request", func() {
		first, second := newApp("entry-1"), newApp("entry-2")
		u, found := first.state.fleet.Get("old")
		Expect(found).To(BeTrue())
		// The upstream has not answered for longer than the address reuse time.
		first.state.updateID(u, "new", 0)
		Expect(known(first)).To(BeFalse())
		second.applyUpdate(first.buildUpdate())
		Expect(known(second)).To(BeFalse())
		Expect(second.buildUpdate().GetReplaced()).To(BeEmpty(), "what another router has found is not passed on")
	})
	It("is reported long enough to reach routers that want few updates", func() {
		a := newApp("entry-1")
		u, _ := a.state.fleet.Get("old")
		a.state.updateID(u, "new", 0)
		clock := a.state.clock.(interface{ Advance(d time.Duration) })
		clock.Advance(2 * time.Second)
		Expect(a.buildUpdate().GetReplaced()).To(ConsistOf("old"))
		clock.Advance(10 * time.Second)
		Expect(a.buildUpdate().GetReplaced()).To(BeEmpty())
	})
})
