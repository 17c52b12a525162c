package direct

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
)

// misdirected answers for another upstream than the one addressed.
func misdirected(w net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 421 Misdirected\r\nId: %s\r\nNot-Run: y\r\nVm: other\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
}

// Guards against requests that another service runs, because an answer that was read late was taken for a sign that its upstream was still
// alive then.
var _ = Describe("an upstream that has ended while its last answer was on the way", func() {
	const reuse = 600 * time.Millisecond
	DescribeTable("is not replaced by the one that its address belongs to now",
		func(method, path, service string, answer func(w net.Conn, r *http.Request)) {
			r := newTestRouter(0)
			r.addressReuse = reuse
			var others atomic.Int64
			var ended atomic.Bool
			u := newRawUpstream(func(w net.Conn, req *http.Request) {
				if !ended.Load() {
					answer(w, req)
					return
				}
				others.Add(1)
				misdirected(w, req)
			})
			r.register(ids.Service(service), u)
			Expect(r.send(method, path).status).To(Equal(http.StatusOK))
			ended.Store(true)
			Expect(r.send(method, path).status).To(BeNumerically(">=", 500))
			Expect(r.send(method, path).status).To(BeNumerically(">=", 500))
			Expect(others.Load()).To(BeNumerically("==", 1), "requests at the other upstream")
		},
		Entry("when a call is answered late", http.MethodPost, "/slip/a", "desk", func(w net.Conn, req *http.Request) {
			time.Sleep(reuse)
			ok(w, req)
		}),
		Entry("when the first event of a stream is late", http.MethodPost, "/digest/a", "pool", func(w net.Conn, req *http.Request) {
			time.Sleep(reuse)
			begins(sendsRest(0))(w, req)
		}),
	)
	It("is not replaced either after a stream that broke off late", func() {
		r := newTestRouter(0)
		r.addressReuse = reuse
		var others atomic.Int64
		r.register("pool", newRawUpstream(onFirst(
			begins(func(w net.Conn, req *http.Request) {
				time.Sleep(reuse)
				then(text(fmt.Sprintf("%x\r\n%s\r\n", len(eventText(2)), eventText(2))), closes)(w, req)
			}),
			func(w net.Conn, req *http.Request) {
				others.Add(1)
				misdirected(w, req)
			},
		)))
		go func() {
			defer GinkgoRecover()
			r.send(http.MethodPost, "/digest/a")
		}()
		Eventually(others.Load, "3s").Should(BeNumerically("==", 1))
		Consistently(others.Load, "500ms").Should(BeNumerically("==", 1), "requests at the other upstream")
	})
	// Guards against the same on a machine that was suspended, for which the steady clock stands still.
	It("is not replaced either if the machine of the router was suspended meanwhile", func() {
		st, _ := newTestState()
		st.applyChanges(upstreamAdded("a", 1))
		u, _ := st.fleet.Get("a")
		st.fleet.RecordAnswer(u, st.boot.Now(), st.clock.Now())
		st.boot.(*bootClock).suspended = 3 * time.Second
		st.updateID(u, "b", st.boot.Now())
		Expect(st.fleet.Usable("lookup")).To(BeEmpty())
	})
})
