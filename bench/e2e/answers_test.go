package e2e_test

import (
	"context"
	"fmt"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/bench/caller"
	"bilberrylug.dev/standin/engine"
)

// inFlightDelay is how long after the start of requests a fault is injected or the caller disconnects, so that their answers
// are in progress. Tests of planned removals also use it as the time in which no new work may start.
const inFlightDelay = time.Second

var _ = Describe("answers", func() {
	var s *site
	BeforeEach(func() {
		s = newSite(siteOptions{routers: 2, engines: 4, services: 0, cadence: 10 * time.Millisecond})
	})

	DescribeTable("are complete and correct despite", func(fault func()) {
		wait := s.startStreams(12, 250, "loss")
		time.Sleep(inFlightDelay)
		fault()
		expectComplete(wait())
		s.reportGeneratedTokens(12 * 250)
	},
		Entry("a killed engine", func() { s.processes["engine-0"].kill() }),
		Entry("two killed engines", func() { s.processes["engine-0"].kill(); s.processes["engine-1"].kill() }),
		Entry("a frozen engine", func() { s.processes["engine-0"].signal(syscall.SIGSTOP) }),
		Entry("an engine that freezes and recovers", func() {
			s.processes["engine-0"].signal(syscall.SIGSTOP)
			time.Sleep(1500 * time.Millisecond)
			s.processes["engine-0"].signal(syscall.SIGCONT)
		}),
		Entry("an engine slowed by a factor of 100", func() { s.putJSON("engine-0", "/standin/faults", engine.Faults{SlowFactor: 100}) }),
		Entry("streams that are closed repeatedly", func() {
			for i := range 4 {
				s.putJSON(fmt.Sprintf("engine-%d", i), "/standin/faults", engine.Faults{DropAfter: 40})
			}
		}),
		Entry("a killed agent", func() { s.processes["model-0"].kill() }),
		Entry("an agent that is paused and resumed", func() {
			s.processes["model-0"].signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			s.processes["model-0"].signal(syscall.SIGCONT)
		}),
		Entry("a killed router", func() { s.processes["entry-0"].kill() }),
		Entry("a router that is paused and resumed", func() {
			s.processes["entry-0"].signal(syscall.SIGSTOP)
			time.Sleep(time.Second)
			s.processes["entry-0"].signal(syscall.SIGCONT)
		}),
		Entry("a killed engine and a killed router", func() { s.processes["engine-0"].kill(); s.processes["entry-0"].kill() }),
		Entry("a killed engine and a killed agent of another engine, which is a witness", func() { s.processes["engine-0"].kill(); s.processes["model-1"].kill() }),
		Entry("the loss of a failure domain with a router, two engines and two agents", func() {
			for _, name := range []string{"entry-0", "engine-0", "engine-3", "model-0", "model-3"} {
				s.processes[name].signal(syscall.SIGKILL)
			}
		}),
		Entry("the loss of the platform service", func() { s.processes["platform"].kill() }),
	)

	It("without streaming are complete, from one generation, when the router is lost and the caller retries with the same ID", func() {
		results := make(chan caller.Result, 1)
		request := caller.Request{ID: "whole-1", Model: model, Version: "1", Prompt: "whole", MaxTokens: 200, Seed: 7}
		go func() { results <- s.client("growers", 0).Completion(context.Background(), request) }()
		time.Sleep(inFlightDelay)
		s.processes["entry-0"].kill()
		r := <-results
		Expect(r.Err).NotTo(HaveOccurred())
		Expect(r.Received).To(Equal(200))
		produced := 0
		for i := range 4 {
			for _, run := range s.engineRuns(i) {
				produced += run.Produced
			}
		}
		AddReportEntry("tokens generated for 200", fmt.Sprint(produced))
		retried := s.client("growers", 1).Completion(context.Background(), request)
		Expect(retried.Received).To(Equal(200))
		for i := range 4 {
			for _, run := range s.engineRuns(i) {
				produced -= run.Produced
			}
		}
		Expect(produced).To(BeZero(), "the retry started another generation")
	})

	It("are returned only to the workspace and the request that they belong to", func() {
		ctx := context.Background()
		results := make(chan caller.Result, 40)
		for i := range 40 {
			go func() {
				w := []string{"growers", "buyers"}[i%2]
				results <- s.client(w, i/2).Completion(ctx, caller.Request{
					ID: fmt.Sprintf("same-%d", i/4), Model: model, Version: "1", Prompt: w + fmt.Sprint(i/4), MaxTokens: 20, Seed: 1,
				})
			}()
		}
		for range 40 {
			r := <-results
			if r.Err != nil {
				Expect(r.Code).To(Equal("superseded"))
				continue
			}
			Expect(r.Wrong).To(BeZero())
		}
		reused := s.client("growers", 0).Completion(ctx, caller.Request{ID: "same-0", Model: model, Version: "1", Prompt: "another body", MaxTokens: 20, Seed: 1})
		Expect(reused.Code).To(Equal("request_id_reused"))
		unauthorized := caller.New(s.routers, "growers.guess", 0).Completion(ctx, caller.Request{ID: "same-0", Model: model, Version: "1", Prompt: "growers0", MaxTokens: 20, Seed: 1})
		Expect(unauthorized.Status).To(Equal(401))
	})

	It("are cancelled at the engine when the caller stays away for the grace period, and continue when it reconnects in time", func() {
		ctx, disconnect := context.WithTimeout(context.Background(), inFlightDelay)
		defer disconnect()
		request := caller.Request{ID: "gone-1", Model: model, Version: "1", Prompt: "gone", MaxTokens: 2000, Seed: 1}
		s.client("growers", 0).Stream(ctx, request)
		shortCtx, cancel := context.WithTimeout(context.Background(), inFlightDelay)
		defer cancel()
		resumed := caller.Request{ID: "back-1", Model: model, Version: "1", Prompt: "back", MaxTokens: 300, Seed: 1}
		s.client("growers", 1).Stream(shortCtx, resumed)
		r := s.client("growers", 1).Stream(context.Background(), resumed)
		Expect(r.Complete()).To(BeTrue(), "%v", r.Err)
		outcomes := func() map[string]string {
			out := make(map[string]string)
			for i := range 4 {
				for _, run := range s.engineRuns(i) {
					out[run.RequestID] = run.Outcome
				}
			}
			return out
		}
		Eventually(outcomes, maxWait, "100ms").Should(HaveKeyWithValue("growers.gone-1.1", "cancelled"))
		Expect(outcomes()).To(HaveKeyWithValue("growers.back-1.1", "finished"))
	})

	It("are complete and correct after preemption by short work", func() {
		wait := s.startStreams(48, 400, "long")
		time.Sleep(inFlightDelay)
		short := s.startStreams(40, 30, "short")
		expectComplete(short())
		expectComplete(wait())
		preempted := 0
		for i := range 4 {
			for _, run := range s.engineRuns(i) {
				if run.Outcome == "cancelled" {
					preempted++
				}
			}
		}
		Expect(preempted).To(BeNumerically(">", 0))
		AddReportEntry("preempted runs", fmt.Sprint(preempted))
	})
})
