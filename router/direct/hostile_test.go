package direct

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an upstream that sends bytes without end", func() {
	pours := func(s string) respondFunc {
		return func(w net.Conn, _ *http.Request) {
			for {
				if _, err := io.WriteString(w, strings.Repeat(s, 16<<10)); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
	DescribeTable("fails the attempt: a call that may be repeated is answered by another upstream, any other gets 502 at once",
		func(faulty respondFunc) {
			r := newTestRouter(112)
			bad, good := newRawUpstream(faulty), newRawUpstream(ok)
			r.register("desk", bad)
			got := r.send(http.MethodPost, "/slip/a")
			Expect(got.status).To(Equal(http.StatusBadGateway))
			Expect(got.took).To(BeNumerically("<", 4*time.Second))
			Expect(bad.requests(got.id)).To(Equal(1))
			r.register("desk", good)
			for range 3 {
				got = r.send(http.MethodGet, "/look/a")
				Expect(got.status).To(Equal(http.StatusOK))
				Expect(got.body).To(Equal("fine"))
				Expect(got.took).To(BeNumerically("<", 4*time.Second))
			}
		},
		Entry("header lines", then(text("HTTP/1.1 200 OK\r\n"), pours("X: y\r\n"))),
		Entry("interim responses", pours("HTTP/1.1 103 Early Hints\r\n\r\n")),
		Entry("a body with a length", then(signedHead("Content-Length: 100000000000\r\n"), pours("abcd"))),
		Entry("chunks", then(signedHead("Transfer-Encoding: chunked\r\n"), pours("4\r\nabcd\r\n"))),
		Entry("a chunk extension", then(signedHead("Transfer-Encoding: chunked\r\n"), text("4;x="), pours("abcd"))),
		Entry("trailers", then(signedHead("Transfer-Encoding: chunked\r\n"), text("0\r\n"), pours("X: y\r\n"))),
		Entry("a body without a length", then(signedHead(""), pours("abcd"))),
	)
	It("does not keep a stream: another upstream continues after the last event", func() {
		r := newTestRouter(112)
		got := r.streamFrom(begins(then(text("7fffffff\r\n"), pours("data: "))), streamed(time.Millisecond))
		Expect(got.body).To(Equal(wholeStream))
		Expect(got.whole).To(BeTrue())
	})
	It("leaves the memory of the process bounded, and other callers served, even if 64 of them do so at once", func() {
		r := newTestRouter(112)
		for range 64 {
			r.register("flood", newRawUpstream(then(signedHead("Content-Length: 100000000000\r\n"), pours("abcd"))))
		}
		r.register("desk", newRawUpstream(ok))
		stop := make(chan struct{})
		var wg sync.WaitGroup
		for range 64 {
			wg.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
						Expect(r.send(http.MethodPost, "/flood/a").status).To(Equal(http.StatusBadGateway))
					}
				}
			})
		}
		var most int64
		slow := 0
		const calls = 200
		for range calls {
			most = max(most, r.answers.used.Load())
			got := r.send(http.MethodGet, "/look/a")
			Expect(got.status).To(Equal(http.StatusOK))
			if got.took > 300*time.Millisecond {
				slow++
			}
			time.Sleep(10 * time.Millisecond)
		}
		close(stop)
		wg.Wait()
		Expect(most).To(BeNumerically(">", 0))
		Expect(most).To(BeNumerically("<=", 112<<20/5), "a fifth of the process's memory, beside the free step of each answer")
		Expect(slow).To(BeNumerically("<", calls/20))
		Expect(r.answers.used.Load()).To(BeZero(), "all of it is returned")
	})
})

// streamFrom sends a generation to two upstreams. They behave in the first way until the caller has an event, and in the second
// way for the rest.
func (r *testRouter) streamFrom(first, second respondFunc) reply {
	respond := func(w net.Conn, req *http.Request) {
		if req.Header.Get("Last-Event") == "" {
			first(w, req)
		} else {
			second(w, req)
		}
	}
	r.register("pool", newRawUpstream(respond), newRawUpstream(respond))
	return r.send(http.MethodPost, "/digest/a")
}

var _ = Describe("a stream", func() {
	DescribeTable("goes on elsewhere if its upstream sends a byte now and then but no whole event",
		func(drip string) {
			got := newTestRouter(0).streamFrom(begins(drips(drip)), streamed(time.Millisecond))
			Expect(got.body).To(Equal(wholeStream))
			Expect(got.whole).To(BeTrue())
			Expect(got.took).To(BeNumerically("<", 6*time.Second))
		},
		Entry("comment lines", "2\r\n:\n\r\n"),
		Entry("comments with a blank line each", "4\r\n: \n\n\r\n"),
		Entry("blank lines", "1\r\n\n\r\n"),
		Entry("types without data", "9\r\nevent: a\n\r\n1\r\n\n\r\n"),
		Entry("an event that it sent before", "e\r\nid: 1\ndata: 1\n\r\n1\r\n\n\r\n"),
		Entry("a chunk size that does not end", "0"),
		Entry("an event that does not end", "1\r\nx\r\n"),
		Entry("blank lines of a chunk extension", "1;a\r\nx\r\n"),
	)
	It("is not cut if all upstreams are slow but sound", func() {
		r := newTestRouter(0)
		slow := streamed(3 * time.Second)
		got := r.streamFrom(slow, slow)
		Expect(got.body).To(Equal(wholeStream))
		Expect(got.whole).To(BeTrue())
	})
	It("is not taken from an upstream because its caller reads slowly", func() {
		r := newTestRouter(0)
		u := newRawUpstream(begins(func(w net.Conn, _ *http.Request) {
			for n := 2; n < 4000; n++ {
				big := fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 4000))
				if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(big), big); err != nil {
					return
				}
			}
			_, _ = io.WriteString(w, "0\r\n\r\n")
		}))
		r.register("pool", u)
		conn, err := net.Dial("tcp", r.address)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.WriteString(conn, "POST /digest/a HTTP/1.1\r\nHost: h\r\nId: slow-reader\r\nMax-Wait-Ms: 20000\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(3 * time.Second)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Count(string(body), "id: ")).To(Equal(3999))
		Expect(u.requests("slow-reader")).To(Equal(1))
	})
	DescribeTable("that breaks off is never complete for the caller, but goes on elsewhere or is cut",
		func(end respondFunc) {
			r := newTestRouter(0)
			got := r.streamFrom(begins(end), streamed(time.Millisecond))
			Expect(got.whole).To(BeTrue())
			Expect(got.body).To(Equal(wholeStream))
			alone := newTestRouter(0)
			alone.register("pool", newRawUpstream(begins(end)))
			got = alone.send(http.MethodPost, "/digest/a")
			Expect(got.whole && got.status == http.StatusOK).To(BeFalse())
		},
		Entry("closed without the last chunk", respondFunc(closes)),
		Entry("reset", respondFunc(resets)),
		Entry("half an event, then the last chunk", then(text("5\r\nid: 2\r\n0\r\n\r\n"), closes)),
		Entry("half a chunk", then(text("50\r\nid: 2\n"), closes)),
		Entry("no trailer", then(text("0\r\n"), closes)),
		Entry("an event missing", then(text(fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(eventText(3)), eventText(3))), closes)),
	)
})

var _ = Describe("a call whose answer breaks off", func() {
	DescribeTable("is never complete for its caller",
		func(broken respondFunc) {
			r := newTestRouter(0)
			r.register("desk", newRawUpstream(broken))
			got := r.send(http.MethodPost, "/slip/a")
			Expect(got.status).To(Equal(http.StatusBadGateway))
			Expect(got.whole).To(BeTrue())
			got = r.send(http.MethodGet, "/look/a")
			Expect(got.status).NotTo(Equal(http.StatusOK))
		},
		Entry("short of its length", then(signedHead("Content-Length: 10\r\n"), text("abcd"), closes)),
		Entry("truncated chunks", then(signedHead("Transfer-Encoding: chunked\r\n"), text("a\r\nabcd"), closes)),
		Entry("no last chunk", then(signedHead("Transfer-Encoding: chunked\r\n"), text("4\r\nabcd\r\n"), closes)),
		Entry("no trailer", then(signedHead("Transfer-Encoding: chunked\r\n"), text("4\r\nabcd\r\n0\r\n"), closes)),
		Entry("no length and reset", then(signedHead(""), text("abcd"), resets)),
		Entry("half a header", then(text("HTTP/1.1 200 OK\r\nSigned: y\r\nContent-Le"), closes)),
		Entry("no signature", then(text("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabcd"), closes)),
		Entry("another request's answer", then(text("HTTP/1.1 200 OK\r\nId: other\r\nSigned: y\r\nContent-Length: 4\r\n\r\nabcd"), closes)),
		Entry("no HTTP", then(text("SSH-2.0-x\r\n\r\n"), closes)),
	)
})

var _ = Describe("attempts", func() {
	It("that found no connection do not add to the upstreams that may run a request", func() {
		failing := func(w net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 500 Internal Server Error\r\nId: %s\r\nSigned: y\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
		}
		for range 10 {
			r := newTestRouter(0)
			var sound []*rawUpstream
			for range 5 {
				sound = append(sound, newRawUpstream(failing))
			}
			r.register("desk", sound...)
			for range 5 {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				Expect(err).NotTo(HaveOccurred())
				r.register("desk", &rawUpstream{address: l.Addr().String()})
				Expect(l.Close()).To(Succeed())
			}
			got := r.send(http.MethodGet, "/look/a")
			sum := 0
			for _, u := range sound {
				sum += u.requests(got.id)
			}
			Expect(sum).To(BeNumerically("<=", 3), "the route's most attempts")
		}
	})
})
