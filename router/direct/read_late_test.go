package direct

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/routing"
)

// lateListener is a listener whose connections hand on what they have read only after a time while late is set, as in a process that is
// short of CPU.
type lateListener struct {
	net.Listener
	late *atomic.Bool
}

const lateTime = 300 * time.Millisecond

func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateConn{conn.(*net.TCPConn), l.late}, nil
}

type lateConn struct {
	*net.TCPConn
	late *atomic.Bool
}

func (c lateConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.late.Swap(false) {
		time.Sleep(lateTime)
	}
	return n, err
}

// Guards against a request that gets no answer, since its connection is closed as idle after the request was read from the socket.
var _ = Describe("a request that is read while the idle limit of its connection expires", func() {
	It("is answered", func() {
		var late atomic.Bool
		r := newTestRouterOn(0, func(l net.Listener) net.Listener { return lateListener{l, &late} })
		const idle = 400 * time.Millisecond
		r.conns.limits = func() routing.Limits { return routing.Limits{IdleTimeout: idle} }
		r.register("desk", newRawUpstream(ok))
		conn := keep(r)
		conn.write(lookRequest)
		Expect(conn.answer().StatusCode).To(Equal(http.StatusOK))
		time.Sleep(idle - lateTime/2)
		late.Store(true)
		conn.write(lookRequest)
		Expect(conn.answer().StatusCode).To(Equal(http.StatusOK))
		conn.write(lookRequest)
		Expect(conn.answer().StatusCode).To(Equal(http.StatusOK), "the connection goes on")
		start := time.Now()
		conn.expectClosed()
		Expect(time.Since(start)).To(BeNumerically("<", 2*idle), "it is closed when it is idle")
	})
})
