package direct

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/budget"
	"bilberrylug.dev/router/upstream"
)

// sendsRest sends the last three events of a stream of four, after a pause.
func sendsRest(pause time.Duration) respondFunc {
	return func(w net.Conn, r *http.Request) {
		time.Sleep(pause)
		for n := 2; n <= 4; n++ {
			text(fmt.Sprintf("%x\r\n%s\r\n", len(eventText(n)), eventText(n)))(w, r)
		}
		text("0\r\n\r\n")(w, r)
	}
}

// notRun asserts that the upstream has not run the request.
func notRun(w net.Conn, r *http.Request) {
	text("HTTP/1.1 503 Service Unavailable\r\nNot-Run: y\r\nContent-Length: 0\r\n\r\n")(w, r)
}

// onFirst behaves in the first way for the first request, and in the second way for later ones.
func onFirst(first, second respondFunc) respondFunc {
	var seen atomic.Bool
	return func(w net.Conn, r *http.Request) {
		if seen.Swap(true) {
			second(w, r)
			return
		}
		first(w, r)
	}
}

// dialVia makes the router open its connections to upstreams with dial.
func (r *testRouter) dialVia(dial upstream.DialFunc) {
	r.pool = upstream.NewPool(dial, r.clock, r.limits.poolLimits())
}

// refuseDialsFor returns a respondFunc that closes its connection, and makes the router's attempts to connect fail for a time.
func (r *testRouter) refuseDialsFor(d time.Duration) respondFunc {
	var refusedUntil atomic.Pointer[time.Time]
	r.dialVia(func(ctx context.Context, network, address string) (net.Conn, error) {
		if t := refusedUntil.Load(); t != nil && time.Now().Before(*t) {
			return nil, syscall.ECONNREFUSED
		}
		return upstream.Dial(ctx, network, address)
	})
	return func(w net.Conn, req *http.Request) {
		until := time.Now().Add(d)
		refusedUntil.Store(&until)
		closes(w, req)
	}
}

// allowRetries leaves the given number of retries of the engines' budget, for a time.
func (r *testRouter) allowRetries(n int, window time.Duration) {
	const slack = 50
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.picker.Routers = 1
	full := budget.New(budget.Limits{Slack: slack, Window: window}, now)
	all := 0
	for full.AllowRetry("pool", now, r.picker.Routers) {
		all++
	}
	r.budget = budget.New(budget.Limits{Slack: slack, Window: window}, now)
	for range all - n {
		r.budget.AllowRetry("pool", now, r.picker.Routers)
	}
}

// Guards against answers that had begun and were cut although the caller's time was not over and an upstream could have completed
// them: such a request gets neither an answer nor a refusal.
var _ = Describe("an answer that has begun is not cut", func() {
	const pause = 800 * time.Millisecond

	complete := func(got reply) {
		GinkgoHelper()
		Expect(got.body).To(Equal(wholeStream))
		Expect(got.whole).To(BeTrue())
	}
	It("because a probe is unanswered, if the route allows no further run", func() {
		r := newTestRouter(0)
		var unreachable atomic.Bool
		r.dialVia(func(ctx context.Context, network, address string) (net.Conn, error) {
			if unreachable.Load() {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			return upstream.Dial(ctx, network, address)
		})
		silent := func(net.Conn, *http.Request) { unreachable.Store(true) }
		complete(r.streamFrom(begins(closes), then(signedHead("Transfer-Encoding: chunked\r\n"), silent, sendsRest(pause))))
	})
	It("because no upstream can be reached for a moment", func() {
		r := newTestRouter(0)
		r.register("pool", newRawUpstream(onFirst(begins(r.refuseDialsFor(pause)), streamed(time.Millisecond))))
		complete(r.send(http.MethodPost, "/digest/a"))
	})
	It("because the upstreams are full for a moment", func() {
		r := newTestRouter(0)
		var fullUntil atomic.Pointer[time.Time]
		fills := func(w net.Conn, req *http.Request) {
			until := time.Now().Add(pause)
			fullUntil.Store(&until)
			closes(w, req)
		}
		r.register("pool", newRawUpstream(onFirst(begins(fills), func(w net.Conn, req *http.Request) {
			if time.Now().Before(*fullUntil.Load()) {
				notRun(w, req)
				return
			}
			streamed(time.Millisecond)(w, req)
		})))
		complete(r.send(http.MethodPost, "/digest/a"))
	})
	It("because the retry budget is used up for a moment", func() {
		r := newTestRouter(0)
		r.allowRetries(0, time.Second)
		complete(r.streamFrom(begins(closes), streamed(time.Millisecond)))
	})
})

// Guards against a retry budget used up by attempts that never left the router, which ended answers that could have been resumed.
var _ = Describe("attempts that find no connection", func() {
	It("are not charged to the retry budget", func() {
		r := newTestRouter(0)
		r.allowRetries(1, 20*time.Second)
		r.register("pool", newRawUpstream(onFirst(begins(r.refuseDialsFor(600*time.Millisecond)), streamed(time.Millisecond))))
		got := r.send(http.MethodPost, "/digest/a")
		Expect(got.body).To(Equal(wholeStream))
		Expect(got.whole).To(BeTrue())
		Expect(got.took).To(BeNumerically("<", 5*time.Second))
	})
})
