package direct

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/core/sse"
	"bilberrylug.dev/router/upstream"
)

// copyDialect is a dialect in which a copy is named after its host.
type copyDialect struct{ testDialect }

func (copyDialect) CopyCall(_ ids.Request, to string) relay.Call {
	return relay.Call{Method: http.MethodPost, Target: "/copy/" + to, Header: http.Header{}}
}

func (copyDialect) CopyName(body []byte) (string, error) { return string(body), nil }

func (copyDialect) FreeCopyCall(name string) relay.Call {
	return relay.Call{Method: http.MethodDelete, Target: "/copy/" + name, Header: http.Header{}}
}

// copyOrder is an order that its source has received; it ends when a status is sent to it.
type copyOrder struct {
	to     string
	status chan int
}

func (o copyOrder) complete() { o.status <- http.StatusOK }

// copiedRun is a run whose first copy has just been lost. Its source and the possible hosts of copies are in domains of their own.
type copiedRun struct {
	*stream
	copier *copier
	clock  *clockwork.FakeClock
	orders chan copyOrder
	freed  chan string
}

func newCopiedRun() *copiedRun {
	c := &copiedRun{clock: clockwork.NewFakeClockAt(time.Now()), orders: make(chan copyOrder), freed: make(chan string, 8)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /copy/{to}", func(w http.ResponseWriter, r *http.Request) {
		o := copyOrder{to: r.PathValue("to"), status: make(chan int, 1)}
		select {
		case c.orders <- o:
		case <-r.Context().Done():
			return
		}
		w.WriteHeader(<-o.status)
		_, _ = io.WriteString(w, o.to)
	})
	mux.HandleFunc("DELETE /copy/{name}", func(_ http.ResponseWriter, r *http.Request) { c.freed <- r.PathValue("name") })
	source := httptest.NewServer(mux)
	DeferCleanup(source.Close)

	st := newState(Settings{VM: "entry", FailureDomain: "north", Retries: Retries{Slack: 1000, WindowSeconds: 10}}, Options{
		Clock: c.clock, BootClock: newBootClock(c.clock), Log: event.New(io.Discard, slog.LevelError, "entry"), Dial: upstream.Dial,
	})
	st.broadcastSoon = func() {}
	g := group.New(context.Background())
	DeferCleanup(g.Stop)
	x := &exchange{
		handler: &handler{state: st, dialect: copyDialect{}, prober: &prober{state: st, group: g, checkedAt: map[ids.VM]time.Time{}}},
		ctx:     GinkgoTB().Context(), req: relay.Request{ID: "request"}, route: routing.Route{Resumable: true},
		service: routing.Service{Name: "pool", Engine: &routing.Engine{Slots: 4, MemoryTokens: 1000, EventTokens: 1, Backups: true}},
	}
	c.stream = &stream{exchange: x, order: sse.NewSequence(&sse.Conventions{}, 0, false), model: x.engineModel(), placementReq: x.placementRequest(), failedDomains: map[ids.FailureDomain]bool{}}
	hosts := map[ids.VM]string{"source": source.Listener.Addr().String(), "first": "first", "x": "x", "y": "y"}
	for id, address := range hosts {
		st.fleet.Put(fleet.Entry{ID: id, Service: "pool", Address: address, Domain: ids.FailureDomain(id), Slots: 4}, 0, time.Now())
	}
	r := &run{upstream: c.host("source"), reservation: st.picker.Reserve("source", c.placementReq, "first")}
	first := c.host("first")
	r.backup = &first
	c.copier = newCopier(c.stream, r)
	c.setRun(nil, c.copier)
	st.running["source"] = map[*stream]bool{c.stream: true}
	c.lose("first")
	return c
}

func (c *copiedRun) host(id string) fleet.Upstream {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	u, _ := c.fleet.Get(ids.VM(id))
	return u
}

// lose marks an upstream as lost.
func (c *copiedRun) lose(id string) { c.markLost(c.host(id), "test") }

// setDraining makes an upstream announce that it is leaving, or take that back.
func (c *copiedRun) setDraining(id string, draining bool) {
	e := c.host(id).Entry
	e.Draining = draining
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	c.fleet.Put(e, 0, time.Now())
}

// nextOrder returns the next order, for which it lets the time pass that is left until a copy is refreshed.
func (c *copiedRun) nextOrder() copyOrder {
	GinkgoHelper()
	c.awaitPause()
	c.clock.Advance(copyRefreshInterval)
	return c.startedOrder()
}

// startedOrder returns the order that is being started.
func (c *copiedRun) startedOrder() copyOrder {
	GinkgoHelper()
	var o copyOrder
	Eventually(c.orders).Should(Receive(&o))
	return o
}

// awaitPause waits until the result of the last order has been recorded.
func (c *copiedRun) awaitPause() {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	Expect(c.clock.BlockUntilContext(ctx, 1)).To(Succeed())
}

// end ends the run, and returns the copy from which the next run resumes if there is to be one.
func (c *copiedRun) end(resumes bool) *kvCopy {
	c.setRun(nil, nil)
	c.copier.stop()
	return c.copier.end(resumes)
}

func (c *copiedRun) expectFreed(name string) {
	GinkgoHelper()
	Eventually(c.freed).Should(Receive(Equal(name)), fmt.Sprintf("the copy at %s takes memory and a slot until it expires", name))
}

func (c *copiedRun) expectKept() {
	GinkgoHelper()
	Consistently(c.freed, 50*time.Millisecond).ShouldNot(Receive())
}

// Guards against ordered copies of which the router no longer knew, which took memory and a slot until they expired.
var _ = Describe("an ordered copy", func() {
	It("is freed once another one replaces it because its host was lost while it was made", func() {
		c := newCopiedRun()
		first := c.startedOrder()
		c.lose(first.to)
		first.complete()
		second := c.nextOrder()
		Expect(second.to).NotTo(Equal(first.to))
		c.expectKept()
		second.complete()
		c.expectFreed(first.to)
		c.end(false)
		c.expectFreed(second.to)
	})
	It("is freed at once if its host is lost or suspected", func() {
		c := newCopiedRun()
		first := c.startedOrder()
		first.complete()
		c.awaitPause()
		c.lose(first.to)
		c.expectFreed(first.to)
		second := c.nextOrder()
		Expect(second.to).NotTo(Equal(first.to))
		second.complete()
		c.expectKept()
	})
	It("is freed if its host is lost during a refresh that fails", func() {
		c := newCopiedRun()
		first := c.startedOrder()
		first.complete()
		refresh := c.nextOrder()
		c.lose(first.to)
		c.expectKept()
		refresh.status <- http.StatusServiceUnavailable
		c.expectFreed(first.to)
	})
	It("is not freed by a refresh, even if its host is suspected meanwhile", func() {
		c := newCopiedRun()
		first := c.startedOrder()
		first.complete()
		refresh := c.nextOrder()
		Expect(refresh.to).To(Equal(first.to))
		refresh.complete()
		refresh = c.nextOrder()
		c.lose(first.to)
		refresh.complete()
		c.awaitPause()
		c.expectKept()
		Expect(c.end(true).ref.Name).To(Equal(first.to))
	})
	It("is not freed if the next run resumes from it, but one that is completed later is", func() {
		c := newCopiedRun()
		first := c.startedOrder()
		first.complete()
		c.awaitPause()
		c.setDraining(first.to, true)
		second := c.nextOrder()
		Expect(second.to).NotTo(Equal(first.to))
		c.setDraining(first.to, false)
		Expect(c.end(true).ref.Name).To(Equal(first.to))
		second.complete()
		c.expectFreed(second.to)
		c.expectKept()
	})
	DescribeTable("is freed when the run ends, even if it could not be refreshed in time",
		func(resumes bool) {
			c := newCopiedRun()
			first := c.startedOrder()
			first.complete()
			for range 2 {
				refresh := c.nextOrder()
				refresh.status <- http.StatusServiceUnavailable
			}
			c.awaitPause()
			c.expectKept()
			Expect(c.end(resumes)).To(BeNil())
			c.expectFreed(first.to)
		},
		Entry("and the answer is complete", false),
		Entry("and the generation is resumed without it", true),
	)
	It("is freed if the next run cannot resume from it because its host is lost or suspected", func() {
		c := newCopiedRun()
		first := c.startedOrder()
		first.complete()
		c.awaitPause()
		c.resumeCopy = c.end(true)
		c.lose(first.to)
		c.expectKept()
		next, err := c.place()
		Expect(err).NotTo(HaveOccurred())
		Expect(next.resumeFrom).To(BeNil())
		c.expectKept()
		c.dropResumeCopy() // the run has a connection
		c.expectFreed(first.to)
	})
})
