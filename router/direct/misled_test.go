package direct

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
)

// refusal is an upstream's assertion that it has not run a request.
func refusal(id string) string {
	head := "HTTP/1.1 503 Service Unavailable\r\nNot-Run: y\r\nContent-Length: 0\r\n"
	if id != "" {
		head += "Id: " + id + "\r\n"
	}
	return head + "\r\n"
}

// Guards against callers that are told that a request has not run, because an upstream has written an earlier refusal once more on a kept
// connection.
var _ = Describe("an upstream that writes an earlier refusal once more", func() {
	DescribeTable("does not make a call that it runs look refused, nor run twice",
		func(repeated func(first string) string) {
			r := newTestRouter(0)
			var mu sync.Mutex
			refused := map[net.Conn]string{}
			runs := map[string]int{}
			r.register("desk", newRawUpstream(func(w net.Conn, req *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				id := req.Header.Get("Id")
				if refused[w] == "" {
					refused[w] = id
					text(refusal(id))(w, req)
					return
				}
				runs[id]++
				text(repeated(refused[w]))(w, req)
				time.Sleep(20 * time.Millisecond)
				ok(w, req)
			}))
			Expect(r.send(http.MethodPost, "/slip/a").status).To(Equal(http.StatusServiceUnavailable))
			for range 4 {
				got := r.send(http.MethodPost, "/slip/b")
				mu.Lock()
				n := runs[got.id]
				mu.Unlock()
				Expect(n).To(BeNumerically("<=", 1), "runs")
				Expect(n > 0 && got.status == http.StatusServiceUnavailable).To(BeFalse(), "it has run")
			}
		},
		Entry("with its id", refusal),
		Entry("without an id", func(string) string { return refusal("") }),
	)
	// Guards against a refusal that is not believed because a probe had opened its connection.
	It("is believed without an id on a connection that has carried no request yet", func() {
		r := newTestRouter(0)
		full := newRawUpstream(func(w net.Conn, req *http.Request) { text(refusal(""))(w, req) })
		r.register("desk", full)
		for range maxRefusals {
			conn, err := r.pool.Dial(context.Background(), full.address)
			Expect(err).NotTo(HaveOccurred())
			r.pool.Put(conn)
		}
		Expect(r.send(http.MethodPost, "/slip/a").status).To(Equal(http.StatusServiceUnavailable))
	})
	It("does not make a call that it runs look refused because the refusal names no request", func() {
		r := newTestRouter(0)
		var calls atomic.Int64
		r.register("desk", newRawUpstream(func(w net.Conn, req *http.Request) {
			if calls.Add(1) > 1 {
				text(refusal(""))(w, req)
				time.Sleep(20 * time.Millisecond)
			}
			ok(w, req)
		}))
		Expect(r.send(http.MethodPost, "/slip/a").status).To(Equal(http.StatusOK))
		Expect(r.send(http.MethodPost, "/slip/b").status).NotTo(Equal(http.StatusServiceUnavailable))
		Expect(calls.Load()).To(BeNumerically("==", 2))
	})
})

// Guards against the bytes of a failed run in the middle of a stream, and against a stream that such a run seems to complete.
var _ = Describe("a stream that has begun and broken off", func() {
	failure := func(status int, lines, body string) respondFunc {
		return func(w net.Conn, r *http.Request) {
			_, _ = fmt.Fprintf(w, "HTTP/1.1 %d Failed\r\nId: %s\r\nSigned: y\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("Id"), lines, len(body), body)
		}
	}
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	DescribeTable("shows its caller nothing of a next run that fails, and does not look complete",
		func(fails respondFunc) {
			got := newTestRouter(0).streamFrom(begins(closes), fails)
			Expect(wholeStream).To(HavePrefix(got.body))
			Expect(got.whole).To(BeFalse())
		},
		Entry("with 400", failure(http.StatusBadRequest, "", "id: 2\ndata: bad\n\n")),
		Entry("with 404", failure(http.StatusNotFound, "", "not found\n\n")),
		Entry("with 500", failure(http.StatusInternalServerError, "", "error\n\n")),
		Entry("with 200 that is text", then(signedHead("Transfer-Encoding: chunked\r\n"), text(chunk("internal error\n\n")+"0\r\n\r\n"))),
		Entry("with 200 that holds a whole head", then(signedHead("Transfer-Encoding: chunked\r\n"),
			text(chunk("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 2\r\n\r\nno")+"0\r\n\r\n"))),
		Entry("with a head in the place of a chunk", then(signedHead("Transfer-Encoding: chunked\r\n"),
			text("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"), closes)),
	)
})

// Guards against a success without its body, because an upstream has stopped in the middle of its head.
var _ = Describe("an upstream that stops in the middle of its head and closes", func() {
	DescribeTable("gives its caller no success",
		func(method, path, service, lines string) {
			r := newTestRouter(0)
			whole := "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: y\r\n" + lines + "\r\n"
			length := len(whole) - len("%s") + len("request-1000")
			var cut atomic.Int64
			u := newRawUpstream(func(w net.Conn, req *http.Request) {
				head := fmt.Sprintf(whole, req.Header.Get("Id"))
				_, _ = io.WriteString(w, head[:min(int(cut.Load()), len(head)-1)])
				closes(w, req)
			})
			for cut.Store(1); cut.Load() < int64(length); cut.Add(1) {
				r.register(ids.Service(service), u)
				got := r.send(method, path)
				Expect(got.status == http.StatusOK && got.whole).To(BeFalse(), "cut at %d of %q: %q", cut.Load(), whole, got.body)
				Expect(strings.Contains(got.body, "HTTP/1.1")).To(BeFalse())
			}
		},
		Entry("for a call with a length", http.MethodPost, "/slip/a", "desk", "Content-Length: 4\r\n"),
		Entry("for a call without a length", http.MethodPost, "/slip/a", "desk", "Connection: close\r\n"),
		Entry("for a stream", http.MethodPost, "/digest/a", "pool", "Transfer-Encoding: chunked\r\n"),
	)
})
