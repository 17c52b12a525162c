package direct

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// inTurn behaves in the next way for each request, and in the last way from then on.
func inTurn(ways ...respondFunc) respondFunc {
	var seen atomic.Int64
	return func(w net.Conn, r *http.Request) {
		ways[min(int(seen.Add(1)), len(ways))-1](w, r)
	}
}

// stalls sends nothing more until the router closes the connection.
func stalls(w net.Conn, _ *http.Request) { _, _ = w.Read(make([]byte, 1)) }

// newRawPool registers three upstreams for the streams of a router, which share their behaviour.
func (r *testRouter) newRawPool(respond respondFunc) {
	r.register("pool", newRawUpstream(respond), newRawUpstream(respond), newRawUpstream(respond))
}

// Guards against a stream that ends as complete although one of its runs has shown that events are left: its last run ended before any event.
var _ = Describe("a stream without a length whose last run ends before any event", func() {
	empty := then(unframed(""), closes)
	DescribeTable("is not complete if an earlier run has lost an event",
		func(lost respondFunc) {
			r := newTestRouter(0)
			r.newRawPool(inTurn(lost, empty, unframedFrom))
			got := r.send(http.MethodPost, "/essay/a")
			Expect(got.whole).To(BeTrue())
			Expect(got.body).To(Equal(wholeStream))
			// The second run is the last one that the route allows.
			cut := newTestRouter(0)
			cut.newRawPool(inTurn(lost, empty))
			got = cut.send(http.MethodPost, "/digest/a")
			Expect(got.status == http.StatusOK && got.whole).To(BeFalse(), "%q", got.body)
			Expect(got.body).To(BeElementOf("", eventText(1)))
		},
		Entry("closed within an event", then(unframed(eventText(1)+"id: 2\ndata"), closes)),
		Entry("closed within the first line of an event", then(unframed(eventText(1)+"i"), closes)),
		Entry("reset within an event", then(unframed(eventText(1)+"id: 2\nda"), func(_ net.Conn, _ *http.Request) { time.Sleep(50 * time.Millisecond) }, resets)),
		Entry("silent within an event", then(unframed(eventText(1)+"data: 2\n"), stalls)),
		Entry("an event is missing", then(unframed(eventText(1)+eventText(3)), closes)),
		Entry("closed within an event of a body with chunks", begins(then(text("6\r\nid: 2\n\r\n"), closes))),
		Entry("closed within an event of a body with a length", then(signedHead("Content-Length: 100\r\n"), text(eventText(1)+"id: 2\n"), closes)),
	)
	DescribeTable("is complete if no earlier run has lost an event",
		func(first respondFunc) {
			r := newTestRouter(0)
			r.newRawPool(inTurn(first, unframedFrom))
			got := r.send(http.MethodPost, "/essay/a")
			Expect(got.whole).To(BeTrue())
			Expect(got.body).To(Equal(wholeStream))
		},
		Entry("reset after the last event", then(unframed(wholeStream), resets)),
		Entry("closed within a comment after the last event", then(signedHead("Content-Length: 1000\r\n"), text(wholeStream+": a"), closes)),
		Entry("no last chunk", begins(then(text("5a\r\n"+wholeStream[len(eventText(1)):]), closes))),
	)
	It("is not complete if the upstream of that run has crashed", func() {
		r := newTestRouter(0)
		var begun, crashed *rawUpstream
		crashed = newRawUpstream(then(unframed(""), func(net.Conn, *http.Request) { _ = crashed.listener.Close() }, closes))
		begun = newRawUpstream(then(unframed(eventText(1)), func(net.Conn, *http.Request) {
			r.register("pool", crashed)
			_ = begun.listener.Close()
		}, resets))
		r.register("pool", begun)
		got := r.send(http.MethodPost, "/digest/a")
		Expect(got.status == http.StatusOK && got.whole).To(BeFalse(), "%q", got.body)
		Expect(crashed.requests(got.id)).To(Equal(1))
	})
	It("goes on if its first run ends between two events as its upstream crashes", func() {
		r := newTestRouter(0)
		var crashed *rawUpstream
		sound := newRawUpstream(unframedFrom)
		crashed = newRawUpstream(then(unframed(eventText(1)), func(net.Conn, *http.Request) {
			r.register("pool", sound)
			_ = crashed.listener.Close()
		}, closes))
		r.register("pool", crashed)
		got := r.send(http.MethodPost, "/digest/a")
		Expect(got.whole).To(BeTrue())
		Expect(got.body).To(Equal(wholeStream))
	})
})
