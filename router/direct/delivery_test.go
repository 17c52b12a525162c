package direct

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// dialUnread sends a request and reads nothing of its answer.
func dialUnread(r *testRouter, path string) net.Conn {
	d := net.Dialer{Control: func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	conn, err := d.Dial("tcp", r.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n", path)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// bufferedListener accepts connections whose buffers have the sizes of the App's listener.
type bufferedListener struct{ net.Listener }

func (l bufferedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	rc, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return nil, err
	}
	return conn, limitBuffers("", "", rc)
}

var _ = Describe("callers that do not read", func() {
	limited := func(memoryMegabytes int64) *testRouter {
		return newTestRouterOn(memoryMegabytes, func(l net.Listener) net.Listener { return bufferedListener{l} })
	}
	const large = 8 << 20
	sends := func(n int) respondFunc {
		return func(w net.Conn, req *http.Request) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nSigned: y\r\nId: %s\r\nContent-Length: %d\r\n\r\n", req.Header.Get("Id"), n)
			_, _ = io.WriteString(w, strings.Repeat("b", n))
		}
	}
	// Guards against answers that are not read and take the memory of other callers' answers until their deadline.
	It("lose their connections when others' answers need the memory", func() {
		// A fifth of the memory holds one answer.
		r := limited(60)
		r.register("desk", newRawUpstream(sends(large)))
		unread := dialUnread(r, "/look/a")
		Eventually(r.answers.used.Load).Should(BeNumerically(">", large*3/4))
		time.Sleep(unreadTime + 500*time.Millisecond)
		got := r.send(http.MethodGet, "/look/a")
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(HaveLen(large))
		n, _ := io.Copy(io.Discard, unread)
		Expect(n).To(BeNumerically("<", large))
		Eventually(r.answers.used.Load).Should(BeZero())
		Eventually(r.callerMemory.deliveries.Held).Should(BeZero())
	})
	It("keep their place while they read, however slowly", func() {
		r := limited(60)
		r.register("desk", newRawUpstream(sends(large)))
		slow := dialUnread(r, "/look/a")
		taken := int64(0)
		stop := time.Now().Add(unreadTime + 500*time.Millisecond)
		for time.Now().Before(stop) {
			n, err := io.CopyN(io.Discard, slow, 128<<10)
			Expect(err).NotTo(HaveOccurred())
			taken += n
			time.Sleep(100 * time.Millisecond)
		}
		Expect(r.send(http.MethodGet, "/look/a").status).To(Equal(http.StatusBadGateway), "there is no memory for two answers")
		_, err := io.CopyN(io.Discard, slow, large-taken)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.metrics.Counter("answers_shed").Count()).To(BeZero())
	})
	// Guards against streams whose events fill the memory.
	It("lose their connections when many hold large answers", func() {
		r := limited(0)
		r.callerMemory.deliveries.SetCapacity(4 << 20)
		r.register("desk", newRawUpstream(sends(1<<20)))
		for range 100 {
			dialUnread(r, "/look/a")
		}
		Eventually(r.metrics.Counter("answers_shed").Count, 10*time.Second).Should(BeNumerically(">", 20))
		Expect(r.callerMemory.deliveries.Held()).To(BeNumerically("<=", 7<<20))
		Expect(r.send(http.MethodGet, "/look/a").status).To(Equal(http.StatusOK))
	})
})
