package direct

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the buffer of a body", func() {
	// Guards against lost or repeated bytes at the borders of parts, and against buffers that are larger than what is reserved.
	It("holds what has arrived in what was reserved, whatever its length", func() {
		text := bytes.Repeat([]byte("0123456789abc"), 20_000)
		for _, n := range []int{0, 1, firstBuffer - 1, firstBuffer, firstBuffer + 1, bodyPart - 1, bodyPart, bodyPart + 1, 2 * bodyPart, 200_000} {
			for _, announced := range []int64{int64(n), -1} {
				for _, r := range []io.Reader{bytes.NewReader(text[:n]), iotest.DataErrReader(bytes.NewReader(text[:n])), iotest.HalfReader(bytes.NewReader(text[:n]))} {
					b := bodyBuffer{announced: announced}
					reserved := 0
					for {
						if size, more := b.next(); more > 0 {
							reserved += more
							b.grow(size)
						}
						if err := b.read(r); err != nil {
							Expect(errors.Is(err, io.EOF)).To(BeTrue())
							break
						}
					}
					held, got := 0, []byte{}
					for _, part := range append(b.parts, b.last) {
						held += cap(part)
						got = append(got, part...)
					}
					Expect(bytes.Equal(got, text[:n])).To(BeTrue(), "%d bytes, announced %d", n, announced)
					Expect(held).To(Equal(reserved))
					Expect(held).To(BeNumerically("<=", max(firstBuffer, n+bodyPart, bufferGrowth*n)))
					if announced >= 0 {
						Expect(held).To(Equal(n))
					}
				}
			}
		}
	})
})

// bodyCaller is a caller that sends raw bytes.
type bodyCaller struct {
	net.Conn
	in *bufio.Reader
}

func dialBody(r *testRouter, path, lines string) *bodyCaller {
	conn, err := net.Dial("tcp", r.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close() })
	Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: a\r\n%s\r\n", path, lines)
	Expect(err).NotTo(HaveOccurred())
	return &bodyCaller{conn, bufio.NewReader(conn)}
}

// expect reads an answer with the given status, and the end of the connection after it if closed is set.
func (c *bodyCaller) expect(status int, closed bool) {
	GinkgoHelper()
	resp, err := http.ReadResponse(c.in, nil)
	Expect(err).NotTo(HaveOccurred())
	_, err = io.Copy(io.Discard, resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
	Expect(resp.StatusCode).To(Equal(status))
	if closed {
		Expect(resp.Close).To(BeTrue())
		_, err = c.in.ReadByte()
		Expect(err).To(MatchError(io.EOF))
	}
}

func length(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

var _ = Describe("request bodies of many callers", func() {
	const capacity = 4 << 20
	var r *testRouter
	BeforeEach(func() {
		r = newTestRouter(0)
		r.callerMemory.account.SetCapacity(capacity)
		r.register("desk", newRawUpstream(ok))
	})
	AfterEach(func() {
		Eventually(r.callerMemory.account.Held, 10*time.Second).Should(BeZero(), "all memory is returned")
	})
	fill := []byte(strings.Repeat("b", 4<<20))
	// Guards against a body over the limit that is read up to it.
	It("are refused at the header if they are announced over the limit", func() {
		dialBody(r, "/slip/a", length(1<<40)).expect(http.StatusRequestEntityTooLarge, true)
	})
	// Guards against an answer that its caller cannot read, since the connection is reset while it sends.
	It("are refused in a way that a caller that still sends can read", func() {
		c := dialBody(r, "/slip/a", length(1<<40))
		go func() { _, _ = c.Write(fill) }()
		c.expect(http.StatusRequestEntityTooLarge, false)
	})
	// Guards against bodies that stop just short of their end and together take more memory than there is.
	It("lose their place if they make no progress, and are refused", func() {
		var stalled []*bodyCaller
		for range 6 {
			c := dialBody(r, "/slip/a", length(1<<20))
			_, err := c.Write(fill[:1<<20-1])
			Expect(err).NotTo(HaveOccurred())
			stalled = append(stalled, c)
			time.Sleep(50 * time.Millisecond)
		}
		Expect(r.callerMemory.account.Held()).To(BeNumerically("<=", capacity))
		// The first ones have made no progress for the longest time.
		for _, c := range stalled[:2] {
			c.expect(http.StatusServiceUnavailable, true)
		}
		c := dialBody(r, "/slip/a", length(2<<20))
		_, err := c.Write(fill[:2<<20])
		Expect(err).NotTo(HaveOccurred())
		c.expect(http.StatusOK, false)
		for _, c := range stalled {
			Expect(c.Close()).To(Succeed())
		}
	})
	// Guards against the release of a body whose request is being served.
	It("keep their place while their request is served", func() {
		release := make(chan struct{})
		r.register("flood", newRawUpstream(func(w net.Conn, req *http.Request) {
			<-release
			ok(w, req)
		}))
		served := dialBody(r, "/flood/a", length(2<<20))
		_, err := served.Write(fill[:2<<20])
		Expect(err).NotTo(HaveOccurred())
		Eventually(r.callerMemory.account.Held).Should(BeNumerically(">=", 2<<20))
		time.Sleep(50 * time.Millisecond)
		late := dialBody(r, "/slip/a", length(2<<20))
		go func() { _, _ = late.Write(fill[:2<<20]) }()
		late.expect(http.StatusServiceUnavailable, false)
		small := dialBody(r, "/slip/a", length(1000))
		_, err = small.Write(fill[:1000])
		Expect(err).NotTo(HaveOccurred())
		small.expect(http.StatusOK, false)
		close(release)
		served.expect(http.StatusOK, false)
	})
	// Guards against refused callers that hold a connection with a body that does not end.
	It("do not hold the connection of a refused request", func() {
		for _, lines := range []string{length(1000), "Transfer-Encoding: chunked\r\n"} {
			c := dialBody(r, "/none/a", lines)
			start := time.Now()
			_, err := io.ReadAll(c.in)
			Expect(err).NotTo(HaveOccurred())
			Expect(time.Since(start)).To(BeNumerically("<", drainTime+2*time.Second))
		}
	})
	It("leave a refused connection open if they are short", func() {
		c := dialBody(r, "/none/a", length(4))
		_, err := c.Write([]byte("paid"))
		Expect(err).NotTo(HaveOccurred())
		c.expect(http.StatusNotFound, false)
		_, err = io.WriteString(c, lookRequest)
		Expect(err).NotTo(HaveOccurred())
		c.expect(http.StatusOK, false)
	})
})
