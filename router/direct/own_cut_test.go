package direct

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"bilberrylug.dev/core/event"
)

// halfClose sends a request, closes the sending side of the connection once the answer has begun or after a time, and returns the
// answer and the error at the end of its body.
func (r *testRouter) halfClose(method, path string) (*http.Response, error) {
	GinkgoHelper()
	conn, err := net.Dial("tcp", r.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\nId: half\r\nMax-Wait-Ms: 8000\r\nContent-Length: 0\r\n\r\n", method, path)
	Expect(err).NotTo(HaveOccurred())
	time.Sleep(150 * time.Millisecond)
	tcp, isTCP := conn.(*net.TCPConn)
	Expect(isTCP).To(BeTrue())
	Expect(tcp.CloseWrite()).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// Guards against an answer made up by the server when the handler gives a request up: an unsigned success, or a cut stream that looks
// complete.
var _ = Describe("a caller that has closed its sending side", func() {
	slow := func(net.Conn, *http.Request) { time.Sleep(500 * time.Millisecond) }

	It("gets no success that no upstream has given", func() {
		r := newTestRouter(0)
		r.register("desk", newRawUpstream(then(slow, ok)))
		resp, err := r.halfClose(http.MethodGet, "/look/a")
		Expect(err != nil || resp.Header.Get("Signed") == "y").To(BeTrue(), "status %v", resp)
	})
	It("gets no stream that looks complete before its last event", func() {
		r := newTestRouter(0)
		r.register("pool", newRawUpstream(begins(then(slow, sendsRest(0)))))
		resp, err := r.halfClose(http.MethodPost, "/digest/a")
		Expect(resp).NotTo(BeNil())
		Expect(err).To(HaveOccurred())
	})
})

// Guards against answers that the router itself cuts at the end of a planned stop and that its log blames on the caller.
var _ = Describe("the end of a planned stop", func() {
	It("is named as the end of an answer that waits to be resumed", func() {
		r := newTestRouter(0)
		log := gbytes.NewBuffer()
		r.log = event.New(log, slog.LevelInfo, "entry")
		r.register("pool", newRawUpstream(onFirst(begins(r.refuseDialsFor(time.Minute)), streamed(time.Millisecond))))
		r.shutdown.limit.Store(int64(500*time.Millisecond + shutdownMargin))
		a := &App{opts: Options{Clock: r.clock, Log: r.log}, shutdown: r.shutdown, handler: r.handler}
		done := make(chan reply, 1)
		go func() { done <- r.send(http.MethodPost, "/digest/a") }()
		Eventually(log).Should(gbytes.Say("EV4314"))
		r.shutdown.begin()
		a.closeCallers(r.server.Config, r.server.Listener)
		Eventually(done).Should(Receive())
		Eventually(log).Should(gbytes.Say("EV4301"))
		Expect(string(log.Contents())).NotTo(ContainSubstring("caller disconnected"))
	})
})
