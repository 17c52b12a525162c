package direct

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/budget"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/sse"
	"bilberrylug.dev/router/upstream"
)

// shortWait is a dialect whose callers wait for a given time at most.
type shortWait struct {
	testDialect
	maxWait time.Duration
}

func (d shortWait) Request(r *http.Request) (relay.Request, error) {
	req, err := d.testDialect.Request(r)
	req.MaxWait = d.maxWait
	return req, err
}

// dialHangsWhile makes the router's attempts to connect hang while the flag is set.
func (r *testRouter) dialHangsWhile(hangs *atomic.Bool) {
	r.dialVia(func(ctx context.Context, network, address string) (net.Conn, error) {
		if hangs.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return upstream.Dial(ctx, network, address)
	})
}

// everLost reports whether the router has declared the upstream lost since it was registered.
func (r *testRouter) everLost(u *rawUpstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleet.IsLost(ids.VM(u.address), 0)
}

// Guards against sound upstreams that are declared lost because a request's own time is over, which ends the streams that run there.
var _ = Describe("the end of a request's time", func() {
	It("while its begun answer waits to be resumed is no loss of an upstream", func() {
		r := newTestRouter(0)
		r.dialect = shortWait{maxWait: 1200 * time.Millisecond}
		full := newRawUpstream(onFirst(begins(resets), notRun))
		r.register("pool", full)
		got := r.send(http.MethodPost, "/digest/a")
		Expect(got.whole).To(BeFalse())
		Expect(r.everLost(full)).To(BeFalse())
	})
	It("while its begun answer waits to be resumed sends nothing more to an upstream", func() {
		late := 0
		for range 10 {
			r := newTestRouter(0)
			r.dialect = shortWait{maxWait: 300 * time.Millisecond}
			var lastReceived atomic.Pointer[time.Time]
			full := newRawUpstream(onFirst(begins(resets), func(w net.Conn, req *http.Request) {
				now := time.Now()
				lastReceived.Store(&now)
				notRun(w, req)
			}))
			r.register("pool", full)
			start := time.Now()
			idle, err := r.pool.Dial(context.Background(), full.address)
			Expect(err).NotTo(HaveOccurred())
			time.AfterFunc(200*time.Millisecond, func() { r.pool.Put(idle) })
			r.send(http.MethodPost, "/digest/a")
			time.Sleep(50 * time.Millisecond)
			if t := lastReceived.Load(); t != nil && t.Sub(start) > 300*time.Millisecond {
				late++
			}
		}
		Expect(late).To(BeZero())
	})
	It("while a connection is opened is no loss of an upstream", func() {
		r := newTestRouter(0)
		r.dialect = shortWait{maxWait: 100 * time.Millisecond}
		r.dialVia(func(ctx context.Context, network, address string) (net.Conn, error) {
			select {
			case <-time.After(150 * time.Millisecond):
			case <-ctx.Done():
				return nil, ctx.Err()
			}
			return upstream.Dial(ctx, network, address)
		})
		sound := newRawUpstream(ok)
		r.register("desk", sound)
		r.send(http.MethodPost, "/slip/a")
		Expect(r.everLost(sound)).To(BeFalse())
	})
})

// Guards against streams that are moved away from a sound upstream because another answer's time is over.
var _ = Describe("a stream beside an answer that ends at its deadline while it waits", func() {
	It("runs once", func() {
		r := newTestRouter(0)
		var full atomic.Bool
		running := make(chan struct{})
		u := newRawUpstream(func(w net.Conn, req *http.Request) {
			switch {
			case req.Header.Get("Id") == "request-1" && !full.Swap(true):
				begins(resets)(w, req)
			case req.Header.Get("Id") == "request-1":
				notRun(w, req)
			case req.Header.Get("Last-Event") == "":
				close(running)
				streamed(60*time.Millisecond)(w, req)
			default:
				streamed(time.Millisecond)(w, req)
			}
		})
		r.register("pool", u)
		waiting := make(chan reply, 1)
		r.dialect = shortWait{maxWait: 1200 * time.Millisecond}
		start := time.Now()
		go func() {
			defer GinkgoRecover()
			waiting <- r.send(http.MethodPost, "/digest/a")
		}()
		time.Sleep(time.Until(start.Add(1100 * time.Millisecond)))
		got := r.send(http.MethodPost, "/digest/b")
		Expect(running).To(BeClosed())
		Expect(got.body).To(Equal(wholeStream))
		Expect(u.requests(got.id)).To(Equal(1))
		Eventually(waiting).Should(Receive())
	})
})

// Guards against work at sound upstreams that is given up because the router cannot open connections for a moment.
var _ = Describe("a moment in which the router opens no connection", func() {
	It("does not refuse a stream that an upstream is about to begin", func() {
		r := newTestRouter(0)
		var hangs atomic.Bool
		r.dialHangsWhile(&hangs)
		slow := func(w net.Conn, req *http.Request) {
			hangs.Store(true)
			time.Sleep(2500 * time.Millisecond)
			streamed(time.Millisecond)(w, req)
		}
		got := r.streamFrom(slow, slow)
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(wholeStream))
	})
	It("does not refuse a stream that has run and can be run again", func() {
		r := newTestRouter(0)
		breaks := r.refuseDialsFor(800 * time.Millisecond)
		r.register("pool", newRawUpstream(onFirst(then(signedHead("Transfer-Encoding: chunked\r\n"), breaks), streamed(time.Millisecond))))
		got := r.send(http.MethodPost, "/digest/a")
		Expect(got.status).To(Equal(http.StatusOK))
	})
	It("does not refuse an idempotent call that has run and can be run again", func() {
		r := newTestRouter(0)
		r.register("desk", newRawUpstream(onFirst(r.refuseDialsFor(800*time.Millisecond), ok)))
		got := r.send(http.MethodGet, "/look/a")
		Expect(got.status).To(Equal(http.StatusOK))
	})
	It("does not end a stream whose events arrive", func() {
		r := newTestRouter(0)
		var refuses atomic.Bool
		r.dialVia(func(ctx context.Context, network, address string) (net.Conn, error) {
			if refuses.Load() {
				return nil, syscall.ETIMEDOUT
			}
			return upstream.Dial(ctx, network, address)
		})
		running := make(chan struct{})
		steady := newRawUpstream(onFirst(func(w net.Conn, req *http.Request) {
			close(running)
			streamed(60*time.Millisecond)(w, req)
		}, streamed(time.Millisecond)))
		r.register("pool", steady)
		r.mu.Lock()
		u, _ := r.fleet.Get(ids.VM(steady.address))
		r.mu.Unlock()
		done := make(chan reply, 1)
		go func() {
			defer GinkgoRecover()
			done <- r.send(http.MethodPost, "/digest/a")
		}()
		Eventually(running).Should(BeClosed())
		time.Sleep(90 * time.Millisecond)
		refuses.Store(true)
		x := &exchange{handler: r.handler, r: &http.Request{}}
		_, err := x.connect(context.Background(), u)
		Expect(err).To(MatchError(errNotSent))
		refuses.Store(false)
		got := <-done
		Expect(got.body).To(Equal(wholeStream))
		Expect(steady.requests(got.id)).To(Equal(1))
	})
})

// Guards against attempts that are given up for a retry that the budget does not allow.
var _ = Describe("a retry budget that is used up", func() {
	It("leaves an idempotent call all of its time at its only upstream", func() {
		r := newTestRouter(0)
		r.dialect = shortWait{maxWait: 2 * time.Second}
		r.register("desk", newRawUpstream(then(func(net.Conn, *http.Request) { time.Sleep(1200 * time.Millisecond) }, ok)))
		r.mu.Lock()
		r.budget = budget.New(budget.Limits{Window: 20 * time.Second}, r.clock.Now())
		r.mu.Unlock()
		got := r.send(http.MethodGet, "/look/a")
		Expect(got.status).To(Equal(http.StatusOK))
	})
})

// Guards against a retry that reaches an upstream in a window of the budget to which it has not been charged.
var _ = Describe("a retry that had to wait for a connection", func() {
	It("is charged to the window in which it is sent", func() {
		r := newTestRouter(0)
		r.allowRetries(1, 400*time.Millisecond)
		r.register("pool", newRawUpstream(onFirst(begins(r.refuseDialsFor(900*time.Millisecond)), streamed(time.Millisecond))))
		Expect(r.send(http.MethodPost, "/digest/a").body).To(Equal(wholeStream))
		r.mu.Lock()
		defer r.mu.Unlock()
		Expect(r.budget.OwnCounts(r.clock.Now())["pool"].Retries).To(Equal(1))
	})
})

// Guards against a copy of a KV cache that is forgotten, so that the whole prompt is processed anew, because its host could not be
// reached at the first try.
var _ = Describe("the copy from which an answer can be resumed", func() {
	It("is kept if nothing was sent to its host", func() {
		r := newTestRouter(0)
		r.dialVia(func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ETIMEDOUT })
		host := newRawUpstream(ok)
		r.register("pool", host)
		cfg := r.config.Load()
		route, found := cfg.Match("h", "/digest/a")
		Expect(found).To(BeTrue())
		service, _ := cfg.Service("pool")
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://h/digest/a", nil)
		Expect(err).NotTo(HaveOccurred())
		now := r.clock.Now()
		u, _ := r.fleet.Get(ids.VM(host.address))
		s := &stream{
			order: sse.NewSequence(&sse.Conventions{}, 0, false),
			exchange: &exchange{
				handler: r.handler, r: req, ctx: ctx, route: route, service: service, arrivedAt: now, deadline: now.Add(time.Second),
				headerSent: true, mayHaveRun: true, attempts: 1,
			},
			tried: map[ids.VM]bool{}, failedAlive: map[ids.VM]bool{}, failedDomains: map[ids.FailureDomain]bool{},
			resumeCopy: &kvCopy{host: u, ref: relay.Copy{Address: u.Address, Name: "copy"}},
		}
		Expect(s.runOnce()).To(MatchError(errNotSent))
		Expect(s.resumeCopy).NotTo(BeNil())
	})
})

// Guards against a charge for a retry that is never sent, at the cost of the other requests of the service.
var _ = Describe("a caller that leaves while its begun answer waits", func() {
	It("is charged no further retry, and nothing more is sent for it", func() {
		r := newTestRouter(0)
		full := newRawUpstream(onFirst(begins(resets), notRun))
		r.register("pool", full)
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+"/digest/a", nil)
		Expect(err).NotTo(HaveOccurred())
		req.Host = "h"
		req.Header.Set("Id", "left")
		req.Header.Set("Max-Wait-Ms", "25000")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = resp.Body.Close() }()
		retries := func() int {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.budget.OwnCounts(r.clock.Now())["pool"].Retries
		}
		time.Sleep(500 * time.Millisecond)
		cancel()
		time.Sleep(time.Second)
		Expect(full.requests("left")).To(Equal(1 + retries()))
	})
})
