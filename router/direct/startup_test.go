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

// waitingRequest is a request that waits at a router without a configuration.
type waitingRequest struct {
	*exchange
	clock *clockwork.FakeClock
	cfg   chan *routing.Config
}

// requestBeforeConfig sends a request to a router without a configuration and returns it once it waits.
func requestBeforeConfig(maxWait time.Duration) *waitingRequest {
	st, _ := newTestState()
	clock, ok := st.clock.(*clockwork.FakeClock)
	Expect(ok).To(BeTrue())
	x := &exchange{
		handler: &handler{state: st, promptsFetched: make(chan struct{}), shutdown: &shutdownTracker{clock: st.clock}},
		r:       httptest.NewRequest(http.MethodPost, "/", nil), req: relay.Request{MaxWait: maxWait},
	}
	a := &waitingRequest{exchange: x, clock: clock, cfg: make(chan *routing.Config, 1)}
	go func() { a.cfg <- x.awaitConfig() }()
	Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
	return a
}

var _ = Describe("requests at a router that has just started", func() {
	DescribeTable("wait for a fraction of the caller's max wait while the store is unavailable, then get a Retry-After",
		func(maxWait, wait time.Duration) {
			a := requestBeforeConfig(maxWait)
			a.clock.Advance(wait - time.Millisecond)
			Consistently(a.cfg, 20*time.Millisecond).ShouldNot(Receive())
			a.clock.Advance(time.Millisecond)
			Eventually(a.cfg).Should(Receive(BeNil()))
			f := fault.As(a.notReadyError())
			Expect(f.Kind.Claim).To(Equal(fault.NotRun))
			Expect(f.Kind.RetryAfter).To(Equal(map[bool]time.Duration{true: storeRetryAfter, false: startupTime}[wait > startupTime]))
		},
		Entry("generation", 25*time.Second, 3*time.Second),
		Entry("short call", 1600*time.Millisecond, 200*time.Millisecond),
		Entry("caller without a max wait", time.Duration(0), 3*time.Second),
	)
	It("are served as soon as the router knows the configuration and the engines' cached prompts", func() {
		a := requestBeforeConfig(25 * time.Second)
		a.applyConfig(configSet(1))
		Consistently(a.cfg, 20*time.Millisecond).ShouldNot(Receive(), "a prompt in an engine's KV cache would be processed again")
		close(a.promptsFetched)
		Eventually(a.cfg).Should(Receive(Not(BeNil())))
	})
})
