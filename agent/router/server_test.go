package router_test

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/agent/engine"
	"bilberrylug.dev/agent/plain"
	"bilberrylug.dev/agent/router"
	"bilberrylug.dev/agent/upstream"
	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/kv"
	"bilberrylug.dev/core/kv/kvtest"
	"bilberrylug.dev/core/ledgerstore"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/metric"
	"bilberrylug.dev/core/testkit"
	"bilberrylug.dev/core/wire"
)

func TestRouter(t *testing.T) { testkit.Run(t, "agent's service for routers") }

// backend is an engine and a plain service. It records the requests that it receives.
type backend struct {
	mu    sync.Mutex
	calls []string
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.URL.Path == "/v1/models" {
		_ = json.NewEncoder(w).Encode([]any{})
		return
	}
	body, _ := io.ReadAll(r.Body)
	b.calls = append(b.calls, r.URL.Path+" "+string(body))
}

func (b *backend) requests() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.calls...)
}

var _ = Describe("an agent", func() {
	var (
		store *kvtest.Store
		clock *clockwork.FakeClock
		back  *backend
		s     *router.Server
		state *router.State
		ctx   context.Context
	)
	BeforeEach(func() {
		ctx = GinkgoTB().Context()
		store, clock, back = kvtest.New(), clockwork.NewFakeClock(), &backend{}
		server := httptest.NewServer(back)
		DeferCleanup(server.Close)
		g := group.New(ctx)
		DeferCleanup(g.Stop)
		config := activeconfig.New(true)
		cfg := &declared.Config{Services: []declared.Service{{
			Name: "desk", Kind: declared.PlainService, LedgerBuckets: 1, LedgerBucketEntries: 10, CallTimeout: declared.Duration(time.Second),
			LedgerRetention: declared.Duration(time.Hour),
		}}}
		set, err := cfg.Chunks()
		Expect(err).NotTo(HaveOccurred())
		_, err = config.Accept((&declared.Head{}).Next(declared.Summary{}, set), set.Bodies)
		Expect(err).NotTo(HaveOccurred())
		log := event.New(io.Discard, slog.LevelError, "t")
		state = router.NewState(membership.Member{VM: "u1", Service: "desk"}, config, clock)
		s = router.New(router.Options{
			State: state, Config: config, Engine: engine.New(server.URL), Plain: plain.New(server.URL), Store: store,
			Health: upstream.New(server.URL, clock, log), Ledger: ledgerstore.New(store, clock, log, g), Clock: clock, Log: log, Metrics: metric.New(),
		})
	})
	order := func(fence uint64) fault.Code {
		reply, err := s.Order(ctx, &wire.OrderRequest{Fence: fence, Action: "load", Model: "lug-7b", Version: "2"})
		Expect(err).NotTo(HaveOccurred())
		return fault.Code(reply.GetFault().GetCode())
	}
	call := func(revision uint64, key, id string) *wire.CallReply {
		reply, err := s.Call(ctx, &wire.CallRequest{
			Header: &wire.Header{Revision: revision}, Workspace: "w", Service: "desk", Method: "POST", Path: "/slips", Body: []byte("lot 7"),
			IdempotencyKey: key, CallId: id, TimeoutMs: 5000,
		})
		Expect(err).NotTo(HaveOccurred())
		return reply
	}

	It("refuses orders after a start until it knows the current fencing number", func() {
		store.SetOutage(true)
		Expect(order(99)).To(Equal(fault.FenceUnknown))
		store.SetOutage(false)
		_, _, _ = store.Acquire(ctx, kv.OrderLeaseKey, nil, "old holder")
		current, _, _ := store.Acquire(ctx, kv.OrderLeaseKey, nil, "new holder")
		Expect(order(current.Index - 1)).To(Equal(fault.StaleFence))
		Expect(order(current.Index)).To(BeEmpty())
		Expect(order(current.Index + 1)).To(BeEmpty())
		Expect(order(current.Index)).To(Equal(fault.StaleFence))
		Expect(back.requests()).To(HaveLen(2))
	})
	It("withdraws a call instead of sending it late when it was paused after recording the intent", func() {
		var once sync.Once
		store.BeforeSwap(func(string) { once.Do(func() { clock.Advance(3 * time.Second) }) })
		reply := call(1, "slip", "call-1")
		Expect(reply.GetFault().GetCode()).To(Equal(string(fault.CallCancelled)))
		Expect(back.requests()).To(BeEmpty())
		Eventually(func() uint32 { return call(1, "slip", "call-2").GetStatus() }).Should(Equal(uint32(200)))
		Expect(back.requests()).To(HaveLen(1))
	})
	It("leaves when it is drained, also if its service is not declared", func() {
		config := activeconfig.New(true)
		cfg := &declared.Config{Drained: []ids.VM{"u1"}}
		set, err := cfg.Chunks()
		Expect(err).NotTo(HaveOccurred())
		_, err = config.Accept((&declared.Head{}).Next(declared.Summary{}, set), set.Bodies)
		Expect(err).NotTo(HaveOccurred())
		undeclared := router.NewState(membership.Member{VM: "u1", Service: "desk"}, config, clock)
		undeclared.ApplyConfig()
		Expect(undeclared.Leaving()).To(BeTrue())
	})
	It("refuses work from senders with an older configuration, and all new work once it is leaving", func() {
		Expect(call(0, "a", "1").GetFault().GetCode()).To(Equal(string(fault.StaleRevision)))
		state.Leave()
		Expect(call(1, "a", "2").GetFault().GetCode()).To(Equal(string(fault.UpstreamLeaving)))
		Expect(back.requests()).To(BeEmpty())
	})
})
