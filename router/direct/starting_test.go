package direct

import (
	"context"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/routing"
)

// arrival is a request that has arrived at a router without a configuration.
type arrival struct {
	*exchange
	clock *clockwork.FakeClock
	found chan *routing.Config
}

func arrive(patience time.Duration) *arrival {
	w, _ := newTestWorld()
	clock, ok := w.clock.(*clockwork.FakeClock)
	Expect(ok).To(BeTrue())
	x := &exchange{
		edge: &edge{world: w, learnt: make(chan struct{}), stop: &stopper{clock: w.clock}},
		r:    httptest.NewRequest(http.MethodPost, "/", nil), req: relay.Request{Patience: patience},
	}
	a := &arrival{exchange: x, clock: clock, found: make(chan *routing.Config, 1)}
	go func() { a.found <- x.awaitStart() }()
	Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
	return a
}

var _ = Describe("requests at a router that has just started", func() {
	DescribeTable("callers that return while the store is away: each waits for a part of its patience, then is told when to come back",
		func(patience, wait time.Duration) {
			a := arrive(patience)
			a.clock.Advance(wait - time.Millisecond)
			Consistently(a.found, 20*time.Millisecond).ShouldNot(Receive())
			a.clock.Advance(time.Millisecond)
			Eventually(a.found).Should(Receive(BeNil()))
			f := fault.As(a.notReady())
			Expect(f.Kind.Claim).To(Equal(fault.NotRun))
			Expect(f.Kind.RetryAfter).To(Equal(map[bool]time.Duration{true: storeReturn, false: startTime}[wait > startTime]))
		},
		Entry("generation", 25*time.Second, 3*time.Second),
		Entry("short call", 1600*time.Millisecond, 200*time.Millisecond),
		Entry("caller that does not say how long it waits", time.Duration(0), 3*time.Second),
	)
	It("callers that return just before the store: served as soon as the router knows its configuration and the engines' prompts", func() {
		a := arrive(25 * time.Second)
		a.configChanged(configured(1))
		Consistently(a.found, 20*time.Millisecond).ShouldNot(Receive(), "a prompt that an engine keeps would be read again")
		close(a.learnt)
		Eventually(a.found).Should(Receive(Not(BeNil())))
	})
})
