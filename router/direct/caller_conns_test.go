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
	return starvedConn{conn.(*net.TCPConn), l.starved}, nil
}

type starvedConn struct {
	*net.TCPConn
	starved *atomic.Bool
}

func (c starvedConn) Read(p []byte) (int, error) {
	const poll = 5 * time.Millisecond
	for {
		if c.starved.Load() {
			time.Sleep(poll)
			continue
		}
		if err := c.SetReadDeadline(time.Now().Add(poll)); err != nil {
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
			starved.Store(wait > 0)
			time.AfterFunc(wait, func() { starved.Store(false) })
			_, err := io.WriteString(conn, "GET /look/a HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
			resp, err := http.ReadResponse(br, nil)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			_, err = io.Copy(io.Discard, resp.Body)
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
