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

// underWay is when the faults strike: well inside the answers.
const underWay = time.Second

var _ = Describe("answers", func() {
	var s *site
	BeforeEach(func() {
		s = newSite(siteOptions{routers: 2, engines: 4, services: 0, cadence: 10 * time.Millisecond})
	})

	DescribeTable("come whole over the loss of", func(fault func()) {
		wait := s.streams(12, 250, "loss")
		time.Sleep(underWay)
		fault()
		expectWhole(wait())
		s.reportGenerated(12 * 250)
	},
		Entry("an engine", func() { s.processes["engine-0"].kill() }),
		Entry("two engines", func() { s.processes["engine-0"].kill(); s.processes["engine-1"].kill() }),
		Entry("a frozen engine", func() { s.processes["engine-0"].signal(syscall.SIGSTOP) }),
		Entry("an engine that freezes and returns", func() {
			s.processes["engine-0"].signal(syscall.SIGSTOP)
			time.Sleep(1500 * time.Millisecond)
			s.processes["engine-0"].signal(syscall.SIGCONT)
		}),
		Entry("an engine slowed a hundred times", func() { s.put("engine-0", "/standin/faults", engine.Faults{SlowFactor: 100}) }),
		Entry("streams that break off again and again", func() {
			for i := range 4 {
				s.put(fmt.Sprintf("engine-%d", i), "/standin/faults", engine.Faults{DropAfter: 40})
			}
		}),
		Entry("an agent", func() { s.processes["model-0"].kill() }),
		Entry("a paused agent that returns", func() {
			s.processes["model-0"].signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			s.processes["model-0"].signal(syscall.SIGCONT)
		}),
		Entry("a router", func() { s.processes["entry-0"].kill() }),
		Entry("a paused router that returns", func() {
			s.processes["entry-0"].signal(syscall.SIGSTOP)
			time.Sleep(time.Second)
			s.processes["entry-0"].signal(syscall.SIGCONT)
		}),
		Entry("an engine and a router", func() { s.processes["engine-0"].kill(); s.processes["entry-0"].kill() }),
		Entry("an engine and another one's agent, which is a witness", func() { s.processes["engine-0"].kill(); s.processes["model-1"].kill() }),
		Entry("a failure domain with a router, two engines and two agents", func() {
			for _, name := range []string{"entry-0", "engine-0", "engine-3", "model-0", "model-3"} {
				s.processes[name].signal(syscall.SIGKILL)
			}
		}),
		Entry("the platform's service", func() { s.processes["platform"].kill() }),
	)

	It("in one piece come whole when the router is lost and the caller asks again with the same id, from one generation", func() {
		results := make(chan caller.Result, 1)
		request := caller.Request{ID: "whole-1", Model: model, Version: "1", Prompt: "whole", MaxTokens: 200, Seed: 7}
		go func() { results <- s.client("growers", 0).Completion(context.Background(), request) }()
		time.Sleep(underWay)
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
		again := s.client("growers", 1).Completion(context.Background(), request)
		Expect(again.Received).To(Equal(200))
		for i := range 4 {
			for _, run := range s.engineRuns(i) {
				produced -= run.Produced
			}
		}
		Expect(produced).To(BeZero(), "the repeat generated anew")
	})

	It("reach only the workspace and the request that they belong to", func() {
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
		stranger := caller.New(s.routers, "growers.guess", 0).Completion(ctx, caller.Request{ID: "same-0", Model: model, Version: "1", Prompt: "growers0", MaxTokens: 20, Seed: 1})
		Expect(stranger.Status).To(Equal(401))
	})

	It("are cancelled at the engine when the caller stays away for the grace, and go on when it returns in time", func() {
		ctx, leave := context.WithTimeout(context.Background(), underWay)
		defer leave()
		request := caller.Request{ID: "gone-1", Model: model, Version: "1", Prompt: "gone", MaxTokens: 2000, Seed: 1}
		s.client("growers", 0).Stream(ctx, request)
		brief, leaveBriefly := context.WithTimeout(context.Background(), underWay)
		defer leaveBriefly()
		back := caller.Request{ID: "back-1", Model: model, Version: "1", Prompt: "back", MaxTokens: 300, Seed: 1}
		s.client("growers", 1).Stream(brief, back)
		r := s.client("growers", 1).Stream(context.Background(), back)
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
		Eventually(outcomes, patience, "100ms").Should(HaveKeyWithValue("growers.gone-1.1", "cancelled"))
		Expect(outcomes()).To(HaveKeyWithValue("growers.back-1.1", "finished"))
	})

	It("give their slots to short work, and come whole all the same", func() {
		wait := s.streams(48, 400, "long")
		time.Sleep(underWay)
		short := s.streams(40, 30, "short")
		expectWhole(short())
		expectWhole(wait())
		gave := 0
		for i := range 4 {
			for _, run := range s.engineRuns(i) {
				if run.Outcome == "cancelled" {
					gave++
				}
			}
		}
		Expect(gave).To(BeNumerically(">", 0))
		AddReportEntry("runs that gave their slot", fmt.Sprint(gave))
	})
})
