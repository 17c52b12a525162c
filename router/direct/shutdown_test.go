package direct

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// stoppingRouter is a router whose graceful shutdown may take a time. Its calls take half a second, and started receives a value
// for each that has reached the upstream.
func stoppingRouter(left time.Duration) (r *testRouter, a *App, started chan struct{}) {
	return stoppingRouterOn(left, func(l net.Listener) net.Listener { return l })
}

// stoppingRouterOn returns such a router on a listener that wrap returns.
func stoppingRouterOn(left time.Duration, wrap func(l net.Listener) net.Listener) (r *testRouter, a *App, started chan struct{}) {
	r = newTestRouterOn(0, wrap)
	started = make(chan struct{}, 8)
	r.register("desk", newRawUpstream(func(w net.Conn, req *http.Request) {
		started <- struct{}{}
		time.Sleep(500 * time.Millisecond)
		ok(w, req)
	}))
	r.shutdown.limit.Store(int64(left + shutdownMargin))
	a = &App{opts: Options{Clock: r.clock, Log: r.log}, handler: r.handler, shutdown: r.shutdown}
	return r, a, started
}

// keptConn is a connection of a caller.
type keptConn struct {
	net.Conn
	in *bufio.Reader
}

// keep opens a connection to a router.
func keep(r *testRouter) keptConn {
	conn, err := net.Dial("tcp", r.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetReadDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
	return keptConn{conn, bufio.NewReader(conn)}
}

func (c keptConn) write(text string) {
	_, err := io.WriteString(c, text)
	Expect(err).NotTo(HaveOccurred())
}

// answer reads an answer and checks that it is whole.
func (c keptConn) answer() *http.Response {
	resp, err := http.ReadResponse(c.in, nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp
}

// expectClosed checks that the router closes the connection.
func (c keptConn) expectClosed() {
	_, err := c.in.ReadByte()
	Expect(err).To(MatchError(io.EOF))
}

const lookRequest = "GET /look/a HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n"

var _ = Describe("a planned stop", func() {
	DescribeTable("answers a request that waits in the socket when connections are closed", func(kept bool) {
		const starvedFor = 400 * time.Millisecond
		var starved atomic.Bool
		r, a, _ := stoppingRouterOn(9*time.Second, func(l net.Listener) net.Listener { return starvedListener{l, &starved} })
		conn := keep(r)
		if kept {
			conn.write(lookRequest)
			Expect(conn.answer().Close).To(BeFalse())
		}
		time.Sleep(50 * time.Millisecond) // until the connection is idle
		starve(&starved, starvedFor)
		conn.write(lookRequest)
		r.shutdown.begin()
		a.closeCallers(r.server.Config, r.server.Listener)
		resp := conn.answer()
		Expect(resp.StatusCode).To(BeElementOf(http.StatusOK, http.StatusServiceUnavailable))
		Expect(resp.Close).To(BeTrue())
		conn.expectClosed()
	}, Entry("on a kept connection", true), Entry("on a new connection", false))
	It("closes idle connections at once", func() {
		r, a, _ := stoppingRouter(9 * time.Second)
		conn := keep(r)
		conn.write(lookRequest)
		conn.answer()
		unused := keep(r)
		time.Sleep(50 * time.Millisecond)
		r.shutdown.begin()
		start := time.Now()
		a.closeCallers(r.server.Config, r.server.Listener)
		conn.expectClosed()
		unused.expectClosed()
		Expect(time.Since(start)).To(BeNumerically("<", 400*time.Millisecond))
	})
	It("answers a request that was accepted just before the listener is closed", func() {
		r, a, started := stoppingRouter(9 * time.Second)
		r.shutdown.begin()
		done := make(chan reply, 1)
		go func() { done <- r.send(http.MethodPost, "/slip/a") }()
		Eventually(started).Should(Receive())
		start := time.Now()
		a.closeCallers(r.server.Config, r.server.Listener)
		var got reply
		Eventually(done).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.whole).To(BeTrue())
		Expect(time.Since(start)).To(BeNumerically("<", 2*time.Second))
	})
	It("refuses what arrives while it closes, as not run", func() {
		r, a, _ := stoppingRouter(9 * time.Second)
		r.shutdown.begin()
		a.shutdown.close()
		got := r.send(http.MethodPost, "/slip/a")
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
	})
	It("ends in time although a request is still running", func() {
		r, a, started := stoppingRouter(200 * time.Millisecond)
		go r.send(http.MethodGet, "/look/a")
		Eventually(started).Should(Receive())
		r.shutdown.begin()
		start := time.Now()
		a.closeCallers(r.server.Config, r.server.Listener)
		Expect(time.Since(start)).To(BeNumerically("<", 400*time.Millisecond))
	})
	// Guards against requests that wait for their upstreams' pause until the stop closes their connections without an answer.
	DescribeTable("refuses a request that waits for a pause of its upstream beyond the stop, and answers one that does not",
		func(path string, pause time.Duration, status int) {
			r, _, _ := stoppingRouter(3 * time.Second)
			pool := newRawUpstream(streamed(0))
			r.register("pool", pool)
			r.mu.Lock()
			for _, u := range append(r.fleet.All("pool"), r.fleet.All("desk")...) {
				r.rateLimits.Hold(u.ID, r.clock.Now().Add(pause), r.clock.Now())
			}
			r.mu.Unlock()
			done := make(chan reply, 1)
			go func() { done <- r.send(http.MethodPost, path) }()
			time.Sleep(100 * time.Millisecond)
			r.shutdown.begin()
			var got reply
			Eventually(done, 3*time.Second).Should(Receive(&got))
			Expect(got.status).To(Equal(status))
			Expect(got.whole).To(BeTrue())
			if status == http.StatusServiceUnavailable {
				Expect(got.took).To(BeNumerically("<", time.Second))
				Expect(pool.requests(got.id)).To(BeZero())
			}
		},
		Entry("a stream, a long pause", "/digest/a", 8*time.Second, http.StatusServiceUnavailable),
		Entry("a call, a long pause", "/slip/a", 3500*time.Millisecond, http.StatusServiceUnavailable),
		Entry("a stream, a short pause", "/digest/a", 700*time.Millisecond, http.StatusOK),
		Entry("a call, a short pause", "/slip/a", 700*time.Millisecond, http.StatusOK),
	)
})
