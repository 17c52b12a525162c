package direct

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/explain"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/quarantine"
	"bilberrylug.dev/core/ratelimit"
)

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
	It("reports a quarantined prompt and starts no trial of it", func() {
		names := []string{"poison", "session"}
		for i := range 3 {
			r.clock.Advance(2 * time.Second)
			r.quarantine.RecordCrash(quarantine.Crash{Parts: quarantine.Parts("m", names), Upstream: ids.VM(fmt.Sprint("i-", i)), At: r.clock.Now()})
		}
		withParts := func(q *explain.Query) { q.Model, q.Parts = "m", names }
		report := r.explain("/write/a", "secret-1", withParts)
		Expect(report.Fault.Code).To(Equal(fault.PromptQuarantined))
		Expect(report.Fault.RetryAfterMS).To(BeNumerically(">", 0))
		Expect(report.Upstreams).To(HaveLen(3), "an operator sees that upstreams are available")
		r.clock.Advance(time.Duration(report.Fault.RetryAfterMS+1) * time.Millisecond)
		report = r.explain("/write/a", "secret-1", withParts)
		Expect(report.Outcome).To(Equal(explain.Sent))
		Expect(report.QuarantineTrial).To(BeTrue())
	})
	It("names the engine that has the prompt in its KV cache", func() {
		r.recordPrompt("session", "pool-4")
		report := r.explain("/write/a", "secret-1", func(q *explain.Query) { q.Parts = []string{"manual", "session"} })
		Expect(report.CachedAt).To(Equal(ids.VM("pool-4")))
		Expect(report.Choice).To(Equal(ids.VM("pool-4")), "another engine would process the prompt again")
	})
	It("reports the refusal of a router without a configuration and of one that stops", func() {
		cfg := r.config.Swap(nil)
		report := r.explain("/read/a", "secret-1")
		Expect(report.Fault.Code).To(Equal(fault.NotReady))
		Expect(report.WaitMS).To(BeNumerically(">", 0), "a request waits for the configuration before it is refused")
		r.config.Store(cfg)
		r.peers.RecordServing("entry-2", r.clock.Now())
		r.shutdown.begin()
		r.shutdown.close()
		Expect(r.explain("/read/a", "secret-1").Fault.Code).To(Equal(fault.RouterStopping))
	})
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
