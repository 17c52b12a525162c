package direct

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/explain"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/ratelimit"
	"bilberrylug.dev/core/routing"
)

// explainRouter is a router that records its log lines, and fails every attempt to contact an upstream.
type explainRouter struct {
	*handler
	clock    *clockwork.FakeClock
	log      *bytes.Buffer
	contacts int
}

// newExplainRouter returns a router with the routes /read/ (calls to "desk"), /write/ (a stream of "pool"), /open/ (calls
// without a key), /split/ (calls to "desk" and "other") and /none/ (a service without upstreams), and the key "secret-1".
func newExplainRouter() *explainRouter {
	r := &explainRouter{clock: clockwork.NewFakeClock(), log: &bytes.Buffer{}}
	st := newState(Settings{VM: "entry", FailureDomain: "north", Retries: Retries{Slack: 1000, WindowSeconds: 10}}, Options{
		Clock: r.clock, BootClock: newBootClock(r.clock), Log: event.New(r.log, slog.LevelDebug, "entry"),
		Dial: func(context.Context, string, string) (net.Conn, error) {
			r.contacts++
			return nil, errors.New("no contact")
		},
	})
	st.broadcastSoon = func() { r.contacts++ }
	st.confirm = func(fleet.Upstream) { r.contacts++ }
	target := func(s ids.Service, weight int) routing.Target { return routing.Target{Service: s, Weight: weight} }
	route := func(name string, kind routing.Kind, targets ...routing.Target) routing.Route {
		return routing.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Timeout: 8 * time.Second, MaxAttempts: 2, Targets: targets}
	}
	open := route("open", routing.Idempotent, target("desk", 1))
	open.Public = true
	st.config.Store(routing.New(7, []routing.Route{
		route("read", routing.Idempotent, target("desk", 1)), route("write", routing.Streaming, target("pool", 1)), open,
		route("split", routing.Idempotent, target("desk", 3), target("other", 1)), route("none", routing.Streaming, target("empty", 1)),
	}, []routing.Service{
		{Name: "desk"},
		{Name: "other"},
		{Name: "pool", Engine: &routing.Engine{Slots: 4, MemoryTokens: 10_000, EventTokens: 1}},
		{Name: "empty", Engine: &routing.Engine{Slots: 4}},
	}, map[string]ids.Workspace{"secret-1": "growers"}, routing.Limits{}).WithPriorities(map[ids.Workspace]int{"growers": 2}))
	r.handler = &handler{state: st, dialect: testDialect{}, shutdown: &shutdownTracker{clock: r.clock}, promptsFetched: make(chan struct{})}
	for i, s := range []ids.Service{"desk", "desk", "desk", "pool", "pool", "pool"} {
		id := fmt.Sprintf("%s-%d", s, i)
		st.fleet.Put(fleet.Entry{ID: ids.VM(id), Service: s, Address: id, Domain: ids.FailureDomain([]string{"north", "south"}[i%2]), Slots: 4}, 0, r.clock.Now())
	}
	for _, s := range []ids.Service{"desk", "other", "pool", "empty"} {
		st.fleet.Usable(s)
	}
	return r
}

// ask asks the router, and checks that nothing has changed, been logged or sent.
func (r *explainRouter) ask(q explain.Query) (int, string) {
	GinkgoHelper()
	body, err := json.Marshal(q)
	Expect(err).NotTo(HaveOccurred())
	return r.post(string(body))
}

func (r *explainRouter) post(body string) (int, string) {
	GinkgoHelper()
	before, logged, contacts := dumpState(r.state), r.log.String(), r.contacts
	w := httptest.NewRecorder()
	operatorsHandler(r.handler).ServeHTTP(w, httptest.NewRequest(http.MethodPost, explain.Path, strings.NewReader(body)))
	Expect(dumpState(r.state)).To(Equal(before), "a question must not affect the requests after it")
	Expect(r.log.String()).To(Equal(logged))
	Expect(r.contacts).To(Equal(contacts), "nothing may be sent to upstreams and other routers")
	return w.Code, w.Body.String()
}

func (r *explainRouter) explain(path, key string, change ...func(q *explain.Query)) explain.Report {
	GinkgoHelper()
	q := explain.Query{Request: explain.Request{Host: "h", Path: path, Method: http.MethodPost, PromptTokens: 500, OutputTokens: 100}, Key: key}
	for _, f := range change {
		f(&q)
	}
	status, body := r.ask(q)
	Expect(status).To(Equal(http.StatusOK), body)
	Expect(body).NotTo(ContainSubstring("secret"), "the API key must not leave the router")
	var report explain.Report
	Expect(json.Unmarshal([]byte(body), &report)).To(Succeed())
	return report
}

// newExchange returns an exchange of the router as of an admitted request.
func (r *explainRouter) exchange(service ids.Service) *exchange {
	s, _ := r.config.Load().Service(service)
	return &exchange{
		handler: r.handler, ctx: context.Background(), service: s, arrivedAt: r.clock.Now(), deadline: r.clock.Now().Add(8 * time.Second),
		r: httptest.NewRequest(http.MethodPost, "/", nil),
	}
}

var _ = Describe("explaining where a request would go", func() {
	var r *explainRouter
	BeforeEach(func() { r = newExplainRouter() })

	It("names the upstream that a call then gets", func() {
		r.calls.Start("desk-0")
		r.calls.Start("desk-0")
		r.calls.UpdatePeer("entry-2", map[ids.VM]int{"desk-2": 3}, nil, r.clock.Now())
		r.calls.RecordLoad("desk-1", 1, 1.5, r.clock.Now())
		r.clock.Advance(100 * time.Millisecond)
		report := r.explain("/read/a", "secret-1")
		Expect(report.Outcome).To(Equal(explain.Sent))
		Expect(report.Workspace).To(Equal(ids.Workspace("growers")))
		Expect(report.Rank).To(Equal(2))
		Expect(report.Limiter.Limit).To(BeNumerically(">", 0))
		Expect(report.Upstreams).To(HaveLen(3))
		Expect(report.Upstreams[0].Chosen).To(BeTrue())
		rows := map[ids.VM]explain.Upstream{}
		for _, u := range report.Upstreams {
			rows[u.ID] = u
		}
		Expect(rows["desk-0"].Own.Calls).To(Equal(2))
		Expect(rows["desk-2"].Others.Calls).To(Equal(3))
		Expect(rows["desk-2"].Others.OldestAgeMS).To(Equal(100.0))
		Expect(*rows["desk-1"].Reported).To(Equal(explain.Load{Busy: 1, Slowness: 1.5, AgeMS: 100}))
		u, _, _, refusal := r.exchange("desk").chargeCall(nil)
		Expect(refusal).To(BeNil())
		Expect(report.Choice).To(Equal(u.ID), "an operator would look for the cause at the wrong upstream")
	})
	It("names the upstream that a generation then gets", func() {
		r.picker.Reserve("pool-3", placement.Request{Prompt: 2000, Output: 100}, "")
		r.picker.UpdatePeer("entry-2", map[ids.VM]placement.Work{"pool-4": {PendingPrefill: 300, Running: 1, Memory: 400}}, nil, r.clock.Now())
		r.picker.RecordSlowness("pool-5", 4, r.clock.Now())
		report := r.explain("/write/a", "secret-1")
		Expect(report.Upstreams[0].Chosen).To(BeTrue())
		Expect(*report.Upstreams[0].FirstEventMS).To(BeNumerically(">", 0))
		Expect(*report.Upstreams[0].Cost).To(BeNumerically("<=", *report.Upstreams[1].Cost))
		Expect(*report.Upstreams[1].Cost).To(BeNumerically("<=", *report.Upstreams[2].Cost))
		x := r.exchange("pool")
		s := &stream{
			exchange: x, model: x.engineModel(), tried: map[ids.VM]bool{}, failedAlive: map[ids.VM]bool{}, failedDomains: map[ids.FailureDomain]bool{},
			placementReq: placement.Request{Prompt: 500, Output: 100},
		}
		before := dumpState(r.state)
		run, err := s.place()
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Choice).To(Equal(run.upstream.ID))
		Expect(dumpState(r.state)).NotTo(Equal(before), "the comparison of states would not notice a reservation")
	})
	It("shows lost, draining, suspected and limited upstreams with the reason", func() {
		now := r.clock.Now()
		r.fleet.MarkLost("pool-3", 0, now)
		r.fleet.Put(fleet.Entry{ID: "pool-4", Service: "pool", Address: "pool-4", Domain: "north", Draining: true}, 0, now)
		r.fleet.MarkSuspected("pool-5", 0, now)
		r.fleet.Usable("pool")
		r.clock.Advance(time.Second)
		report := r.explain("/write/a", "secret-1")
		Expect(report.Choice).To(Equal(ids.VM("pool-5")), "it is the only one that may be used")
		states := map[ids.VM]fleet.State{}
		for _, u := range report.Upstreams {
			states[u.ID] = u.State
			Expect(u.Reason).NotTo(BeEmpty(), string(u.ID))
		}
		Expect(states).To(Equal(map[ids.VM]fleet.State{"pool-3": fleet.Lost, "pool-4": fleet.Draining, "pool-5": fleet.Suspected}))
	})
	It("asks no upstream whether it is alive", func() {
		now := r.clock.Now()
		r.fleet.MarkLost("desk-0", 0, now)
		r.fleet.Put(fleet.Entry{ID: "desk-9", Service: "desk", Address: "desk-9", Domain: "north", Slots: 4}, 0, now)
		r.fleet.MarkLost("desk-2", 0, now)
		r.fleet.Usable("desk")
		r.explain("/read/a", "secret-1")
		r.exchange("desk").candidates(nil, "", now)
		Expect(r.contacts).To(Equal(1), "a request asks the upstream that is suspected with its failure domain")
	})
	It("predicts the wait and the refusal by the limits of the upstreams", func() {
		for _, id := range []ids.VM{"desk-0", "desk-1", "desk-2"} {
			r.rateLimits.Record(id, "desk", ratelimit.Statement{Named: true, Rate: 1}, r.clock.Now(), r.clock.Now())
		}
		Expect(r.explain("/read/a", "secret-1").Outcome).To(Equal(explain.Sent))
		for _, id := range []ids.VM{"desk-0", "desk-1", "desk-2"} {
			r.rateLimits.Take(id, r.clock.Now())
		}
		report := r.explain("/read/a", "secret-1")
		Expect(report.Outcome).To(Equal(explain.Waiting))
		Expect(report.WaitMS).To(BeNumerically("~", 1000, 1))
		report = r.explain("/read/a", "secret-1", func(q *explain.Query) { q.MaxWaitMS = 1500 })
		Expect(report.Outcome).To(Equal(explain.Refused))
		Expect(report.Fault.Code).To(Equal(fault.UpstreamLimited))
		Expect(report.Fault.RetryAfterMS).To(BeNumerically("~", 1000, 1))
		Expect(report.Fault.RetryAfterMaxMS).To(BeNumerically("~", 1500, 1))
		Expect(report.Choice).To(BeEmpty())
	})
	It("predicts the wait and the refusal by the concurrency limit", func() {
		r.limiters["desk"] = placement.NewLimiter(0, 1)
		r.limiters["desk"].Acquire(placement.Call{}, r.clock.Now())
		report := r.explain("/read/a", "secret-1")
		Expect(report.Outcome).To(Equal(explain.Waiting))
		Expect(report.Limiter.Running).To(Equal(1))
		report = r.explain("/read/a", "secret-1", func(q *explain.Query) { q.MaxWaitMS = 30 })
		Expect(report.Fault.Code).To(Equal(fault.QueueFull))
		Expect(report.Fault.Number).To(Equal("BL1103"))
	})
	DescribeTable("reports a refusal with its fault", func(path, key string, code fault.Code, status int) {
		report := r.explain(path, key)
		Expect(report.Outcome).To(Equal(explain.Refused))
		Expect(report.Fault.Code).To(Equal(code))
		Expect(report.Fault.Status).To(Equal(status))
		Expect(report.Choice).To(BeEmpty())
	},
		Entry("unknown route", "/other/a", "secret-1", fault.UnknownRoute, http.StatusNotFound),
		Entry("missing key", "/read/a", "", fault.Unauthenticated, http.StatusUnauthorized),
		Entry("unknown key", "/read/a", "secret-2", fault.Unauthenticated, http.StatusUnauthorized),
		Entry("service without upstreams", "/none/a", "secret-1", fault.NoUpstream, http.StatusServiceUnavailable),
	)
	It("needs no key where the route needs none", func() {
		Expect(r.explain("/open/a", "").Outcome).To(Equal(explain.Sent))
	})
	It("explains the service with the largest share, or the one that is asked for", func() {
		report := r.explain("/split/a", "secret-1")
		Expect(report.Service).To(Equal(ids.Service("desk")))
		Expect(report.Split).To(Equal([]explain.Share{{Service: "desk", Share: 0.75}, {Service: "other", Share: 0.25}}))
		report = r.explain("/split/a", "secret-1", func(q *explain.Query) { q.Service = "other" })
		Expect(report.Service).To(Equal(ids.Service("other")))
		Expect(report.Fault.Code).To(Equal(fault.NoUpstream))
	})
	DescribeTable("refuses a bad question with a typed fault", func(body string, status int, number string) {
		got, answer := r.post(body)
		Expect(got).To(Equal(status))
		var f explain.Fault
		Expect(json.Unmarshal([]byte(answer), &f)).To(Succeed())
		Expect(f.Number).To(Equal(number))
		Expect(answer).NotTo(ContainSubstring("secret"))
	},
		Entry("no JSON", `secret`, 400, "BL1001"),
		Entry("unknown field", `{"host":"h","path":"/read/a","color":1}`, 400, "BL1001"),
		Entry("text after it", `{"host":"h","path":"/read/a"} {}`, 400, "BL1001"),
		Entry("no host", `{"path":"/read/a","key":"secret-1"}`, 400, "BL1001"),
		Entry("relative path", `{"host":"h","path":"read"}`, 400, "BL1001"),
		Entry("invalid path", `{"host":"h","path":"/%zz"}`, 400, "BL1001"),
		Entry("negative tokens", `{"host":"h","path":"/read/a","prompt_tokens":-1}`, 400, "BL1001"),
		Entry("service of another route", `{"host":"h","path":"/read/a","key":"secret-1","service":"pool"}`, 400, "BL1001"),
		Entry("too large", `{"host":"`+strings.Repeat("h", explain.MaxQueryBytes)+`"}`, 413, "BL1008"),
	)
	It("is not served to callers", func() {
		router := newTestRouter(64)
		Expect(router.send(http.MethodPost, explain.Path).status).To(Equal(http.StatusNotFound))
	})
})
