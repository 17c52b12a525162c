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
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
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

// exchange returns an exchange of the router as of an admitted request.
func (r *explainRouter) exchange(service ids.Service) *exchange {
	s, _ := r.config.Load().Service(service)
	return &exchange{
		handler: r.handler, ctx: context.Background(), service: s, arrivedAt: r.clock.Now(), deadline: r.clock.Now().Add(8 * time.Second),
		r: httptest.NewRequest(http.MethodPost, "/", nil),
	}
}
