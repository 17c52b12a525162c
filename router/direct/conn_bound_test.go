package direct

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the bound of callers' connections", func() {
	isOpen := func(conn net.Conn) bool {
		Expect(conn.SetReadDeadline(time.Now().Add(150 * time.Millisecond))).To(Succeed())
		_, err := conn.Read(make([]byte, 1))
		var timeout net.Error
		return errors.As(err, &timeout) && timeout.Timeout()
	}
	// Guards against idle connections and unfinished headers that keep callers out, and against connections without bound.
	It("is kept by closing the connection that has waited longest, and never one whose request is served", func() {
		r := newTestRouter(0)
		r.conns.bound.Store(5)
		release := make(chan struct{})
		defer close(release)
		r.register("flood", newRawUpstream(func(w net.Conn, req *http.Request) {
			<-release
			ok(w, req)
		}))
		r.register("desk", newRawUpstream(ok))
		served := dialBody(r, "/flood/a", "")
		slow := keep(r)
		slow.write("GET /look/a HTTP/1.1\r\n")
		time.Sleep(20 * time.Millisecond)
		idle := keep(r)
		idle.write(lookRequest)
		idle.answer()
		time.Sleep(20 * time.Millisecond)
		silent := keep(r)
		time.Sleep(20 * time.Millisecond)
		last := keep(r)
		Eventually(func() bool { return isOpen(slow.Conn) }).Should(BeFalse())
		for _, conn := range []net.Conn{served, idle.Conn, silent.Conn, last.Conn} {
			Expect(isOpen(conn)).To(BeTrue())
		}
		another := keep(r)
		Eventually(func() bool { return isOpen(idle.Conn) }).Should(BeFalse())
		another.write(lookRequest)
		Expect(another.answer().StatusCode).To(Equal(http.StatusOK))
		Expect(isOpen(served)).To(BeTrue())
	})
	It("is kept by shedding the slowest body if all connections have one, and by refusing a connection if all are served", func() {
		r := newTestRouter(0)
		r.conns.bound.Store(5)
		release := make(chan struct{})
		defer close(release)
		r.register("flood", newRawUpstream(func(w net.Conn, req *http.Request) {
			<-release
			ok(w, req)
		}))
		for range 3 {
			dialBody(r, "/flood/a", "")
		}
		Eventually(r.shutdown.active.Load).Should(BeEquivalentTo(3))
		slow := dialBody(r, "/slip/a", length(10))
		time.Sleep(50 * time.Millisecond)
		dialBody(r, "/flood/a", "")
		slow.expect(http.StatusServiceUnavailable, true)
		Eventually(r.shutdown.active.Load).Should(BeEquivalentTo(4))
		refused := keep(r)
		_, err := io.ReadAll(refused.in)
		Expect(err == nil || errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
		Expect(r.conns.count()).To(BeNumerically("<=", 5))
	})
	// Guards against headers that together take more memory than there is.
	It("closes connections whose large headers do not end when there is no memory for them", func() {
		r := newTestRouter(0)
		r.callerMemory.account.SetCapacity(100 << 10)
		r.register("desk", newRawUpstream(ok))
		var list []keptConn
		for range 6 {
			c := keep(r)
			c.write("GET /look/a HTTP/1.1\r\nX: " + strings.Repeat("x", 40<<10))
			list = append(list, c)
			time.Sleep(20 * time.Millisecond)
		}
		Eventually(func() bool { return isOpen(list[0].Conn) }).Should(BeFalse())
		Expect(r.callerMemory.account.Held()).To(BeNumerically("<=", 150<<10))
		c := keep(r)
		c.write(lookRequest)
		Expect(c.answer().StatusCode).To(Equal(http.StatusOK))
		for _, c := range list {
			_ = c.Conn.(*net.TCPConn).CloseWrite()
		}
		Eventually(r.callerMemory.account.Held).Should(BeZero())
	})
	// Guards against bounds that ordinary load meets.
	It("is hundreds of connections on the smallest VM", func() {
		Expect(Settings{}.callerBound()).To(BeZero())
		Expect(Settings{MemoryMegabytes: 134, MaxDescriptors: 3075}.callerBound()).To(BeNumerically(">", 1000))
		Expect(Settings{MaxDescriptors: 3075}.callerBound()).To(BeNumerically("<", (3075-200)/2))
		Expect(Settings{MemoryMegabytes: 536, MaxDescriptors: 10_250}.callerBound()).To(BeNumerically(">", 4000))
		Expect(Settings{MaxDescriptors: 100}.callerBound()).To(Equal(minCallers))
	})
})
