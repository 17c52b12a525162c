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

var _ = Describe("slips", func() {
	var s *site
	BeforeEach(func() { s = newSite(siteOptions{routers: 2, services: 3}) })

	// send sends the slip through a router, without repeating.
	send := func(router int, key string) caller.Reply {
		return s.client("growers", router).Call(context.Background(), "POST", "/slips", "lot 7, 120 rupees", key)
	}
	// judge holds what the caller was told against the services' logs.
	judge := func(r caller.Reply, key string) {
		GinkgoHelper()
		runs := s.slipRuns(key)
		Expect(runs).To(BeNumerically("<=", 1), "key %s", key)
		if r.Status == 200 {
			Expect(runs).To(Equal(1), "key %s was answered", key)
		}
		if r.Claim == "not_run" {
			Expect(runs).To(BeZero(), "key %s was refused as not run", key)
		}
	}

	It("run once when they are sent through two routers at once, and the repeat gets the recorded reply", func() {
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
		Expect(s.slipRuns("twice")).To(Equal(1))
		again := send(1, "twice")
		Expect(again.Recorded).To(BeTrue())
	})

	DescribeTable("run at most once, and what is refused as not run did not run, over", func(fault, mend func()) {
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
		mend()
		counts := make(map[string]int)
		for _, r := range replies {
			counts[fmt.Sprintf("%d %s %s", r.Status, r.Code, r.Claim)]++
		}
		AddReportEntry("answers", fmt.Sprint(counts))
		for i := range 20 {
			key := fmt.Sprintf("slip-%d", i)
			Expect(s.slipRuns(key)).To(BeNumerically("<=", 1), key)
			judge(send(i, key), key)
		}
	},
		Entry("an agent killed", func() { s.processes["desk-0"].kill() }, func() {}),
		Entry("an agent paused that returns after others took over", func() { s.processes["desk-0"].signal(syscall.SIGSTOP) }, func() { s.processes["desk-0"].signal(syscall.SIGCONT); time.Sleep(time.Second) }),
		Entry("lost answers of the ledger's writes", func() { s.put("platform", "/standin/faults", kv.Faults{LoseAnswers: 6}) }, func() {}),
		Entry("an outage of the platform's service", func() { s.put("platform", "/standin/faults", kv.Faults{Outage: true}) }, func() { s.put("platform", "/standin/faults", kv.Faults{}) }),
		Entry("a slow platform's service", func() { s.put("platform", "/standin/faults", kv.Faults{SlowMS: 300}) }, func() { s.put("platform", "/standin/faults", kv.Faults{}) }),
		Entry("a service that loses its replies", func() {
			for i := range 3 {
				s.put(fmt.Sprintf("service-%d", i), "/standin/faults", plain.Faults{LoseReplies: 3})
			}
		}, func() {}),
		Entry("a service killed", func() { s.processes["service-0"].signal(syscall.SIGSTOP) }, func() { s.processes["service-0"].signal(syscall.SIGCONT) }),
		Entry("an agent killed and lost answers together", func() {
			s.put("platform", "/standin/faults", kv.Faults{LoseAnswers: 6})
			s.processes["desk-1"].kill()
		}, func() {}),
		Entry("a router killed", func() { s.processes["entry-1"].kill() }, func() { s.routers[1] = s.routers[0] }),
	)

	It("say that the outcome is unknown when the reply was lost, and say so again to the repeat", func() {
		for i := range 3 {
			s.put(fmt.Sprintf("service-%d", i), "/standin/faults", plain.Faults{LoseReplies: 1})
		}
		first := send(0, "lost")
		Expect(first.Claim).To(Equal("outcome_unknown"))
		Expect(s.slipRuns("lost")).To(Equal(1))
		Expect(send(1, "lost").Claim).To(Equal("outcome_unknown"))
		Expect(s.slipRuns("lost")).To(Equal(1))
	})

	It("are lookups' opposite: lookups are tried again elsewhere, and hedged when they are slow", func() {
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
		s.put("service-0", "/standin/faults", plain.Faults{Frozen: true})
		Expect(lookup().Status).To(Equal(200))
	})
})
