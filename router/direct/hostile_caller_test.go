package direct

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/routing"
)

// panickingDialect panics while it prepares the attempts of requests whose path names it.
type panickingDialect struct{ testDialect }

func (panickingDialect) Prepare(h http.Header, a relay.Attempt) {
	if strings.HasPrefix(h.Get("Id"), "request-1") && len(h.Get("Id")) == len("request-1") {
		panic("unexpected")
	}
	testDialect{}.Prepare(h, a)
}

var _ = Describe("an unexpected error in one request", func() {
	It("ends that request, and no other", func() {
		r := newTestRouter(0)
		r.dialect = panickingDialect{}
		r.register("desk", newRawUpstream(ok))
		got := r.send(http.MethodGet, "/look/a")
		Expect(got.status).To(Equal(http.StatusInternalServerError))
		for range 50 {
			Expect(r.send(http.MethodGet, "/look/a").status).To(Equal(http.StatusOK))
		}
		Expect(r.shutdown.active.Load()).To(BeZero())
		Expect(r.calls.OwnCalls()).To(BeEmpty())
	})
})

var _ = Describe("a caller", func() {
	limited := func() *testRouter {
		r := newTestRouter(0)
		cfg := routing.New(2, []routing.Route{{
			Name: "look", Host: "h", Prefix: "/look/", Kind: routing.Idempotent, Timeout: time.Second, MaxAttempts: 1,
			Targets: []routing.Target{{Service: "desk", Weight: 1}},
		}}, []routing.Service{{Name: "desk"}}, nil, routing.Limits{
			MaxHeaderBytes: 2000, MaxBodyBytes: 1000, HeaderTimeout: 200 * time.Millisecond, IdleTimeout: 400 * time.Millisecond,
		})
		r.config.Store(cfg)
		r.register("desk", newRawUpstream(ok))
		return r
	}
	connect := func(r *testRouter) net.Conn {
		conn, err := net.Dial("tcp", r.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		return conn
	}
	// closedAfter returns the time until the router closes the connection.
	closedAfter := func(conn net.Conn) time.Duration {
		start := time.Now()
		Expect(conn.SetReadDeadline(start.Add(5 * time.Second))).To(Succeed())
		// A connection that is closed before all bytes of the caller are read is reset.
		_, err := io.ReadAll(conn)
		Expect(err == nil || errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
		return time.Since(start)
	}
	const head = "GET /look/a HTTP/1.1\r\nHost: h\r\nId: a\r\n"
	It("that does not finish its header in time loses its connection", func() {
		conn := connect(limited())
		_, _ = io.WriteString(conn, head)
		go drips("X: y\r\n")(conn, nil)
		Expect(closedAfter(conn)).To(BeNumerically("~", 200*time.Millisecond, 150*time.Millisecond))
	})
	It("keeps an idle connection up to the limit of the configuration", func() {
		conn := connect(limited())
		br := bufio.NewReader(conn)
		for range 3 {
			_, err := io.WriteString(conn, head+"\r\n")
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(br, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			_, _ = io.Copy(io.Discard, resp.Body)
			time.Sleep(320 * time.Millisecond)
		}
		Expect(closedAfter(conn)).To(BeNumerically("<", 400*time.Millisecond))
	})
	It("is refused if its header is too large, and if its body stalls", func() {
		r := limited()
		conn := connect(r)
		_, _ = io.WriteString(conn, head+"X: "+strings.Repeat("y", 2000)+"\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		conn = connect(r)
		_, _ = io.WriteString(conn, head+"Content-Length: 100\r\n\r\nabc")
		start := time.Now()
		resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusRequestTimeout))
		Expect(time.Since(start)).To(BeNumerically("~", time.Second, 500*time.Millisecond))
	})
})
