package direct

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// unframedFrom sends the events of a stream of four after the last one that the caller has, with neither a length nor chunks.
func unframedFrom(w net.Conn, r *http.Request) {
	signedHead("Connection: close\r\n")(w, r)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event"))
	for n := last + 1; n <= 4; n++ {
		text(eventText(n))(w, r)
	}
	closes(w, r)
}

// unframed sends a text as an answer with neither a length nor chunks, without its end.
func unframed(s string) respondFunc { return then(signedHead("Connection: close\r\n"), text(s)) }

var _ = Describe("an answer that ends with its connection", func() {
	It("reaches its caller whole and its connection is not used again", func() {
		r := newTestRouter(0)
		desk, pool := newRawUpstream(then(unframed("fine"), closes)), newRawUpstream(unframedFrom)
		r.register("desk", desk)
		r.register("pool", pool)
		for range 10 {
			for _, path := range []string{"/slip/a", "/digest/a"} {
				got := r.send(http.MethodPost, path)
				Expect(got.status).To(Equal(http.StatusOK))
				Expect(got.whole).To(BeTrue())
				Expect(got.body).To(BeElementOf("fine", wholeStream))
				Expect(desk.requests(got.id) + pool.requests(got.id)).To(Equal(1))
			}
		}
	})
	DescribeTable("is not complete for the caller of a stream that is cut, which goes on elsewhere",
		func(cut respondFunc) {
			r := newTestRouter(0)
			var sent atomic.Int64
			respond := func(w net.Conn, req *http.Request) {
				if sent.Add(1) == 1 {
					cut(w, req)
				} else {
					unframedFrom(w, req)
				}
			}
			r.register("pool", newRawUpstream(respond), newRawUpstream(respond))
			got := r.send(http.MethodPost, "/digest/a")
			Expect(got.whole).To(BeTrue())
			Expect(got.body).To(HaveSuffix(wholeStream))
			Expect(sent.Load()).To(BeEquivalentTo(2))
			alone := newTestRouter(0)
			alone.register("pool", newRawUpstream(cut))
			got = alone.send(http.MethodPost, "/digest/a")
			Expect(got.whole && got.status == http.StatusOK).To(BeFalse())
		},
		Entry("reset after an event", then(unframed(eventText(1)), resets)),
		Entry("closed within an event", then(unframed(eventText(1)+"id: 2\nda"), closes)),
		Entry("closed within the first event", then(unframed("id: 1\n"), closes)),
		Entry("closed before its first event", then(unframed(""), closes)),
		Entry("closed after a comment", then(unframed(": wait\n\n"), closes)),
		Entry("reset before its first event", then(unframed(""), resets)),
	)
	It("is complete without events if the caller has them all", func() {
		r := newTestRouter(0)
		var sent atomic.Int64
		respond := func(w net.Conn, req *http.Request) {
			if sent.Add(1) == 1 {
				then(unframed(wholeStream), resets)(w, req)
			} else {
				unframedFrom(w, req)
			}
		}
		r.register("pool", newRawUpstream(respond), newRawUpstream(respond))
		got := r.send(http.MethodPost, "/digest/a")
		Expect(got.whole).To(BeTrue())
		Expect(got.body).To(Equal(wholeStream))
	})
})
