package e2e_test

import (
	"context"
	"fmt"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/bench/caller"
	"bilberrylug.dev/standin/kv"
	"bilberrylug.dev/standin/plain"
)

var _ = Describe("calls of a route that is not idempotent", func() {
	var s *site
	BeforeEach(func() { s = newSite(siteOptions{routers: 2, services: 3}) })

	// send sends a call with an idempotency key through a router, without retries.
	send := func(router int, key string) caller.Reply {
		return s.client("growers", router).Call(context.Background(), "POST", "/slips", "lot 7, 120 rupees", key)
	}
	// expectConsistent checks a reply against the run logs of the services.
	expectConsistent := func(r caller.Reply, key string) {
		GinkgoHelper()
		runs := s.runsByKey(key)
		Expect(runs).To(BeNumerically("<=", 1), "key %s", key)
		if r.Status == 200 {
			Expect(runs).To(Equal(1), "key %s was answered", key)
		}
		if r.Claim == "not_run" {
			Expect(runs).To(BeZero(), "key %s was refused as not run", key)
		}
	}

	It("run once when they are sent through two routers concurrently, and a retry returns the recorded reply", func() {
		replies := make(chan caller.Reply, 20)
		for i := range 20 {
			go func() { replies <- send(i, "twice") }()
		}
		bodies := make(map[string]bool)
		for range 20 {
			r := <-replies
			Expect(r.Status).To(Equal(200), "%s", r.Code)
			bodies[r.Body] = true
		}
		Expect(bodies).To(HaveLen(1))
		Expect(s.runsByKey("twice")).To(Equal(1))
		retried := send(1, "twice")
		Expect(retried.Recorded).To(BeTrue())
	})

	DescribeTable("run at most once, and did not run if refused as not run, despite", func(fault, repair func()) {
		var replies []caller.Reply
		done := make(chan caller.Reply, 40)
		for i := range 40 {
			go func() {
				time.Sleep(time.Duration(i) * 25 * time.Millisecond)
				done <- send(i, fmt.Sprintf("slip-%d", i/2))
			}()
			if i == 8 {
				fault()
			}
		}
		for range 40 {
			replies = append(replies, <-done)
		}
		repair()
		counts := make(map[string]int)
		for _, r := range replies {
			counts[fmt.Sprintf("%d %s %s", r.Status, r.Code, r.Claim)]++
		}
		AddReportEntry("answers", fmt.Sprint(counts))
		for i := range 20 {
			key := fmt.Sprintf("slip-%d", i)
			Expect(s.runsByKey(key)).To(BeNumerically("<=", 1), key)
			expectConsistent(send(i, key), key)
		}
	},
		Entry("a killed agent", func() { s.processes["desk-0"].kill() }, func() {}),
		Entry("an agent that is paused and resumes after others took over", func() { s.processes["desk-0"].signal(syscall.SIGSTOP) }, func() { s.processes["desk-0"].signal(syscall.SIGCONT); time.Sleep(time.Second) }),
		Entry("lost replies to ledger writes", func() { s.putJSON("platform", "/standin/faults", kv.Faults{LoseAnswers: 6}) }, func() {}),
		Entry("an outage of the platform service", func() { s.putJSON("platform", "/standin/faults", kv.Faults{Outage: true}) }, func() { s.putJSON("platform", "/standin/faults", kv.Faults{}) }),
		Entry("a slow platform service", func() { s.putJSON("platform", "/standin/faults", kv.Faults{SlowMS: 300}) }, func() { s.putJSON("platform", "/standin/faults", kv.Faults{}) }),
		Entry("a service that loses its replies", func() {
			for i := range 3 {
				s.putJSON(fmt.Sprintf("service-%d", i), "/standin/faults", plain.Faults{LoseReplies: 3})
			}
		}, func() {}),
		Entry("a frozen service", func() { s.processes["service-0"].signal(syscall.SIGSTOP) }, func() { s.processes["service-0"].signal(syscall.SIGCONT) }),
		Entry("a killed agent and lost replies to ledger writes at the same time", func() {
			s.putJSON("platform", "/standin/faults", kv.Faults{LoseAnswers: 6})
			s.processes["desk-1"].kill()
		}, func() {}),
		Entry("a killed router", func() { s.processes["entry-1"].kill() }, func() { s.routers[1] = s.routers[0] }),
	)

	It("report an unknown outcome when the reply was lost, and report the same to a retry", func() {
		for i := range 3 {
			s.putJSON(fmt.Sprintf("service-%d", i), "/standin/faults", plain.Faults{LoseReplies: 1})
		}
		first := send(0, "lost")
		Expect(first.Claim).To(Equal("outcome_unknown"))
		Expect(s.runsByKey("lost")).To(Equal(1))
		Expect(send(1, "lost").Claim).To(Equal("outcome_unknown"))
		Expect(s.runsByKey("lost")).To(Equal(1))
	})

	It("differ from idempotent ones, which are retried on other upstreams and hedged when they are slow", func() {
		lookup := func() caller.Reply {
			return s.client("buyers", 0).Call(context.Background(), "GET", "/prices/7", "", "")
		}
		for range 40 {
			Expect(lookup().Status).To(Equal(200))
		}
		s.processes["desk-1"].kill()
		for range 20 {
			Expect(lookup().Status).To(Equal(200))
		}
		s.putJSON("service-0", "/standin/faults", plain.Faults{Frozen: true})
		Expect(lookup().Status).To(Equal(200))
	})
})
