package direct

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/routing"
)

// starvedListener accepts connections of which the server reads nothing while starved is set, as if its process were not scheduled.
type starvedListener struct {
	net.Listener
	starved *atomic.Bool
}

func (l starvedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &starvedConn{TCPConn: conn.(*net.TCPConn), starved: l.starved}, nil
}

// starvedPoll is the interval at which connections look at starved.
const starvedPoll = 5 * time.Millisecond

// starve sets starved for a time, and returns once nothing is read any more.
func starve(starved *atomic.Bool, d time.Duration) {
	starved.Store(true)
	time.Sleep(2 * starvedPoll)
	time.AfterFunc(d, func() { starved.Store(false) })
}

type starvedConn struct {
	*net.TCPConn
	starved *atomic.Bool
	// deadline is that of the server.
	deadline atomic.Pointer[time.Time]
}

func (c *starvedConn) SetReadDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return nil
}

// Read fails once the deadline is over, even if bytes have arrived, as if the timer were run first after the starvation.
func (c *starvedConn) Read(p []byte) (int, error) {
	for {
		if c.starved.Load() {
			time.Sleep(starvedPoll)
			continue
		}
		if d := c.deadline.Load(); d != nil && !d.IsZero() && time.Now().After(*d) {
			return 0, os.ErrDeadlineExceeded
		}
		if err := c.TCPConn.SetReadDeadline(time.Now().Add(starvedPoll)); err != nil {
			return 0, err
		}
		n, err := c.TCPConn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}

// Guards against a request that got neither an answer nor a refusal: it waited in the socket of a router that was busy with a large
// configuration, and the overdue limit of idle connections closed its connection.
var _ = Describe("a request on a kept connection", func() {
	It("is answered if it arrives before the idle limit and is read after it", func() {
		const idle = 300 * time.Millisecond
		var starved atomic.Bool
		r := newTestRouterOn(0, func(l net.Listener) net.Listener { return starvedListener{l, &starved} })
		r.config.Store(routing.New(2, []routing.Route{{
			Name: "look", Host: "h", Prefix: "/look/", Kind: routing.Idempotent, Timeout: time.Second, MaxAttempts: 1,
			Targets: []routing.Target{{Service: "desk", Weight: 1}},
		}}, []routing.Service{{Name: "desk"}}, nil, routing.Limits{HeaderTimeout: time.Second, IdleTimeout: idle}))
		r.register("desk", newRawUpstream(ok))
		conn, err := net.Dial("tcp", r.address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		br := bufio.NewReader(conn)
		for _, wait := range []time.Duration{0, 2 * idle} {
			if wait > 0 {
				time.Sleep(idle / 6) // until the connection is idle
				starve(&starved, wait)
			}
			_, err := io.WriteString(conn, "GET /look/a HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(br, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			_, err = io.Copy(io.Discard, resp.Body)
			Expect(err).NotTo(HaveOccurred())
		}
	})
	It("is closed on both sides once its caller has closed it", func() {
		r := newTestRouter(0)
		r.register("desk", newRawUpstream(ok))
		for _, sent := range []string{"", "GET /look/a HTTP/1.1\r\n", lookRequest} {
			conn := keep(r)
			conn.write(sent)
			if sent == lookRequest {
				conn.answer()
			}
			Expect(conn.Conn.(*net.TCPConn).CloseWrite()).To(Succeed())
			_, err := io.Copy(io.Discard, conn.in)
			Expect(err).NotTo(HaveOccurred())
		}
	})
	It("is answered if it arrives before the server's own time limit and is read after it", func() {
		var starved atomic.Bool
		r := newTestRouterOn(0, func(l net.Listener) net.Listener { return starvedListener{l, &starved} },
			func(s *http.Server) { s.IdleTimeout = 300 * time.Millisecond })
		r.register("desk", newRawUpstream(ok))
		conn := keep(r)
		conn.write(lookRequest)
		conn.answer()
		time.Sleep(50 * time.Millisecond)
		starve(&starved, 600*time.Millisecond)
		conn.write(lookRequest)
		Expect(conn.answer().StatusCode).To(Equal(http.StatusOK))
	})
})
