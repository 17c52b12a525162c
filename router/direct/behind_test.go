package direct

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/core/store"
)

// behindRouter is a router that may know of a newer configuration than it has. The route /new/ and the key "new" exist from
// version 2 on.
type behindRouter struct {
	*state
	clock  *clockwork.FakeClock
	behind atomic.Int64
}

func newBehindRouter() *behindRouter {
	st, _ := newTestState()
	st.decode.Config = func(value []byte) (*routing.Config, error) {
		version := routing.Version(len(value))
		routes := []routing.Route{{Name: "old", Host: "h", Prefix: "/old/"}}
		keys := map[string]ids.Workspace{"old": "growers"}
		if version > 1 {
			routes = append(routes, routing.Route{Name: "new", Host: "h", Prefix: "/new/"})
			keys["new"] = "growers"
		}
		return routing.New(version, routes, nil, keys, routing.Limits{}), nil
	}
	clock, ok := st.clock.(*clockwork.FakeClock)
	Expect(ok).To(BeTrue())
	r := &behindRouter{state: st, clock: clock}
	st.behind = func() time.Duration { return time.Duration(r.behind.Load()) }
	st.applyConfig(configSet(1))
	return r
}

// match matches a request for a path with a key, in the background. The outcome is the name of the route or the code of the
// fault.
func (r *behindRouter) match(path, key string) <-chan string {
	x := &exchange{
		handler: &handler{state: r.state}, r: httptest.NewRequest(http.MethodPost, "http://h"+path, nil),
		req: relay.Request{Key: key, MaxWait: 8 * time.Second},
	}
	out := make(chan string, 1)
	go func() {
		if _, err := x.matchCurrent(r.config.Load()); err != nil {
			out <- string(fault.CodeOf(err))
			return
		}
		out <- x.route.Name
	}()
	return out
}

var _ = Describe("a router that lacks a newer configuration", func() {
	var r *behindRouter
	BeforeEach(func() { r = newBehindRouter() })
	It("serves what its own configuration allows, without a wait", func() {
		r.behind.Store(int64(time.Second))
		Eventually(r.match("/old/a", "old")).Should(Receive(Equal("old")))
	})
	It("refuses unknown routes and keys at once only if it knows of no newer configuration", func() {
		Eventually(r.match("/new/a", "old")).Should(Receive(Equal(string(fault.UnknownRoute))))
		Eventually(r.match("/old/a", "new")).Should(Receive(Equal(string(fault.Unauthenticated))))
	})
	DescribeTable("serves requests that only the newer configuration allows once it has that one",
		func(path, key, route string) {
			r.behind.Store(1)
			outcome := r.match(path, key)
			Expect(r.clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
			Consistently(outcome, 20*time.Millisecond).ShouldNot(Receive())
			r.applyConfig(store.Change{Item: store.Item{Key: "config", Value: make([]byte, 2), Modified: 2}})
			r.behind.Store(0)
			Eventually(outcome).Should(Receive(Equal(route)))
		},
		Entry("new route", "/new/a", "old", "new"),
		Entry("new key", "/old/a", "new", "old"),
	)
	It("says that it is not ready, not that the route does not exist, if it does not get the configuration in time", func() {
		r.behind.Store(1)
		outcome := r.match("/new/a", "old")
		Expect(r.clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
		r.clock.Advance(time.Second)
		Eventually(outcome).Should(Receive(Equal(string(fault.NotReady))))
	})
	It("reports that it is not ready after a second", func() {
		a := &App{
			state: r.state, shutdown: &shutdownTracker{clock: r.clock}, schedDelay: &schedDelayMeter{clock: r.clock},
			handler: &handler{state: r.state, promptsFetched: make(chan struct{})},
		}
		close(a.handler.promptsFetched)
		Expect(a.ready()).To(BeTrue())
		r.behind.Store(int64(900 * time.Millisecond))
		Expect(a.ready()).To(BeTrue())
		r.behind.Store(int64(1100 * time.Millisecond))
		Expect(a.ready()).To(BeFalse())
	})
})
