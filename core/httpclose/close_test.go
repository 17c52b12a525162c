package httpclose_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/httpclose"
)

var _ = Describe("a server that is closed", func() {
	var (
		active atomic.Int64
		server *httptest.Server
	)
	BeforeEach(func() {
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			active.Add(1)
			defer active.Add(-1)
			time.Sleep(500 * time.Millisecond)
			_, _ = io.WriteString(w, "whole")
		}))
		DeferCleanup(server.Close)
	})
	closeServer := func(left time.Duration) int64 {
		end := time.Now().Add(left)
		return httpclose.Close(server.Config, httpclose.Options{
			Clock: clockwork.NewRealClock(), Listener: server.Listener, Active: active.Load, Left: func() time.Duration { return time.Until(end) },
		})
	}
	get := func() <-chan string {
		out := make(chan string, 1)
		go func() {
			resp, err := http.Get(server.URL)
			if err != nil {
				out <- err.Error()
				return
			}
			defer func() { _ = resp.Body.Close() }()
			body, _ := io.ReadAll(resp.Body)
			out <- string(body)
		}()
		return out
	}
	It("answers the requests that it has accepted", func() {
		answer := get()
		Eventually(active.Load).Should(BeEquivalentTo(1))
		Expect(closeServer(5 * time.Second)).To(BeZero())
		Eventually(answer).Should(Receive(Equal("whole")))
	})
	It("answers a request whose header is half read", func() {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		_, err = io.WriteString(conn, "GET / HTTP/1.1\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(50*time.Millisecond, func() { _, _ = io.WriteString(conn, "Host: h\r\n\r\n") })
		time.Sleep(10 * time.Millisecond) // until it is read
		Expect(closeServer(5 * time.Second)).To(BeZero())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Close).To(BeTrue())
		Expect(io.ReadAll(resp.Body)).To(BeEquivalentTo("whole"))
	})
	It("is closed soon if there are none, and in time if they take too long", func() {
		start := time.Now()
		Expect(closeServer(5 * time.Second)).To(BeZero())
		Expect(time.Since(start)).To(BeNumerically("<", 400*time.Millisecond))
	})
	It("cuts what is still running when no time is left, and says so", func() {
		get()
		Eventually(active.Load).Should(BeEquivalentTo(1))
		start := time.Now()
		Expect(closeServer(100 * time.Millisecond)).To(BeEquivalentTo(1))
		Expect(time.Since(start)).To(BeNumerically("<", 400*time.Millisecond))
	})
})
