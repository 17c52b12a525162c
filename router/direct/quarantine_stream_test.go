package direct

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/quarantine"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/router/upstream"
)

var partNames = []string{"shared", "crash", "own"}

// partsDialect adds parts to the prompts of all requests.
type partsDialect struct{ testDialect }

func (d partsDialect) Request(r *http.Request) (relay.Request, error) {
	req, err := d.testDialect.Request(r)
	req.Prompt.Parts = partNames
	return req, err
}

// convict records as many crashes of a part as quarantine it.
func (r *testRouter) convict(p quarantine.Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range 3 {
		at := r.clock.Now().Add(time.Duration(i-3) * time.Second)
		r.quarantine.RecordCrash(quarantine.Crash{Parts: []quarantine.Part{p}, Upstream: ids.VM(fmt.Sprint("i-", i)), At: at})
	}
}

var _ = Describe("a generation that waits for a connection", func() {
	// Guards against a request that was checked before it waited and is sent to an engine after its prompt has become known.
	It("is refused if a part of its prompt is quarantined meanwhile", func() {
		r := newTestRouter(0)
		r.dialect = partsDialect{}
		dialing, proceed := make(chan struct{}, 10), make(chan struct{})
		r.pool = upstream.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
			dialing <- struct{}{}
			<-proceed
			return upstream.Dial(ctx, network, address)
		}, r.clock, r.limits.poolLimits())
		engine := newRawUpstream(func(w net.Conn, _ *http.Request) { _ = w.Close() })
		r.register("pool", engine)
		answers := make(chan reply, 1)
		go func() { answers <- r.send(http.MethodPost, "/digest/1") }()
		<-dialing
		r.convict(quarantine.Parts("", partNames)[1])
		close(proceed)
		got := <-answers
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(engine.requests(got.id)).To(BeZero())
	})
})

var _ = Describe("an engine that breaks off a generation and answers probes", func() {
	// send sends a generation to an engine that breaks it off, and whose address then answers with the given ID.
	send := func(id func(address string) string) *testRouter {
		r := newTestRouter(0)
		r.dialect = partsDialect{}
		engine := newRawUpstream(func(w net.Conn, req *http.Request) {
			if req.URL.Path == "/health" {
				_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nVm: %s\r\nContent-Length: 0\r\n\r\n", id(w.LocalAddr().String()))
			}
			_ = w.Close()
		})
		r.register("pool", engine)
		Expect(r.send(http.MethodPost, "/digest/1").status).NotTo(Equal(http.StatusOK))
		return r
	}
	crashes := func(r *testRouter) int {
		r.mu.Lock()
		defer r.mu.Unlock()
		_, n := r.quarantine.Known(r.clock.Now())
		return n
	}
	// Guards against engines that are back before they are probed, so that ever more of them can be crashed.
	It("has crashed if another process answers at its address", func() {
		r := send(func(string) string { return "another" })
		Eventually(func() int { return crashes(r) }, time.Second).Should(Equal(1))
	})
	// Guards against prompts that are quarantined because engines fail for another cause.
	It("has not crashed if it answers itself", func() {
		r := send(func(address string) string { return address })
		Consistently(func() int { return crashes(r) }, 300*time.Millisecond).Should(BeZero())
	})
})

var _ = Describe("a generation that ends without an event", func() {
	// Guards against prompts that crash engines and count as sound, because an engine has ended another answer as it crashed.
	It("does not prove its prompt sound", func() {
		r := newTestRouter(0)
		r.dialect = partsDialect{}
		r.register("pool", newRawUpstream(onFirst(signedHead("Content-Length: 0\r\n"), streamed(0))))
		parts := quarantine.Parts("", partNames)
		suspects := func() int {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.quarantine.Suspects(parts, r.clock.Now())
		}
		r.mu.Lock()
		r.quarantine.RecordCrash(quarantine.Crash{Parts: parts, Upstream: "i-1", At: r.clock.Now()})
		r.mu.Unlock()
		got := r.send(http.MethodPost, "/digest/1")
		Expect(got.whole).To(BeTrue())
		Expect(got.body).To(BeEmpty())
		Expect(suspects()).To(Equal(1))
		Expect(r.send(http.MethodPost, "/digest/1").body).To(Equal(wholeStream))
		Expect(suspects()).To(BeZero())
	})
})
