package e2e_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/bench/caller"
	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/standin/kv"
)

// drainDeadline is the target for how long a leaving upstream may still get new work.
const drainDeadline = 3 * time.Second

var _ = Describe("configuration", func() {
	var s *site
	BeforeEach(func() { s = newSite(siteOptions{routers: 3, engines: 3, cadence: 5 * time.Millisecond}) })
	revisions := func() []int {
		var out []int
		for i := range s.routers {
			for _, m := range s.members(i) {
				if m.VM == fmt.Sprintf("entry-%d", i) {
					out = append(out, m.Revision)
				}
			}
		}
		return out
	}

	It("is accepted from exactly one of several concurrent operators for each revision, and the conflict error names that operator", func() {
		codes := make(chan int, 6)
		outs := make(chan string, 6)
		path := s.writeConfig(s.config("1") + "  - {name: lots, key_hash: \"" + declared.HashKey("lots.k") + "\", services: [lug-pool], requests_per_second: 1, max_running: 1}\n")
		for range 6 {
			go func() {
				out, code := s.ctl("apply", "--base", "1", path)
				codes <- code
				outs <- out
			}()
		}
		accepted := 0
		for range 6 {
			if code := <-codes; code == 0 {
				accepted++
			} else {
				Expect(code).To(Equal(4))
			}
			if out := <-outs; strings.Contains(out, "BL1501") {
				Expect(out).To(ContainSubstring("revision 2"))
				Expect(out).To(ContainSubstring("test"))
			}
		}
		Expect(accepted).To(Equal(1))
		Eventually(revisions, maxWait, "50ms").Should(Equal([]int{2, 2, 2}))
	})

	It("is accepted once when the reply to the write is lost, and is unchanged when the file is invalid", func() {
		s.putJSON("platform", "/standin/faults", kv.Faults{LoseAnswers: 1})
		s.apply(s.config("1"))
		Eventually(revisions, maxWait, "50ms").Should(Equal([]int{2, 2, 2}))
		_, code := s.ctl("apply", s.writeConfig("services: [{name: x, kind: none}]\n"))
		Expect(code).To(Equal(3))
		out, _ := s.ctl("history")
		Expect(strings.Count(out, "\n")).To(Equal(2))
	})

	It("stays active during an outage, is fetched from peers by a new process, and never reverts", func() {
		s.apply(s.config("1"))
		s.putJSON("platform", "/standin/faults", kv.Faults{Outage: true})
		s.processes["entry-2"].kill()
		s.processes["model-2"].kill()
		s.restart("entry-2", "router")
		s.restart("model-2", "agent")
		Eventually(revisions, maxWait, "50ms").Should(Equal([]int{2, 2, 2}))
		Eventually(func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), maxWait)
			defer cancel()
			return s.client("growers", 2).Stream(ctx, caller.Request{ID: fmt.Sprint(time.Now().UnixNano()), Model: model, Version: "1", Prompt: "p", MaxTokens: 20}).Complete()
		}, maxWait, "200ms").Should(BeTrue())
		s.processes["entry-1"].signal(syscall.SIGSTOP)
		s.putJSON("platform", "/standin/faults", kv.Faults{})
		out, code := s.ctl("apply", s.writeConfig(s.config("1")))
		Expect(code).To(BeZero(), out)
		time.Sleep(time.Second)
		s.processes["entry-1"].signal(syscall.SIGCONT)
		Eventually(revisions, maxWait, "50ms").Should(Equal([]int{3, 3, 3}))
	})
})

var _ = Describe("a planned removal", func() {
	var s *site
	BeforeEach(func() { s = newSite(siteOptions{routers: 2, engines: 4, cadence: 10 * time.Millisecond}) })

	// load starts new requests continuously. The function that it returns stops this and returns the results.
	load := func() func() []caller.Result {
		s := s
		stopped := make(chan struct{})
		stop := sync.OnceFunc(func() { close(stopped) })
		DeferCleanup(stop)
		all := make(chan []caller.Result, 1)
		go func() {
			var waits []func() []caller.Result
			for i := 0; ; i++ {
				select {
				case <-stopped:
					var out []caller.Result
					for _, wait := range waits {
						out = append(out, wait()...)
					}
					all <- out
					return
				case <-time.After(100 * time.Millisecond):
					waits = append(waits, s.startStreams(2, 120, fmt.Sprintf("load-%d", i)))
				}
			}
		}()
		return func() []caller.Result { stop(); return <-all }
	}
	newRuns := func(engine int, before int) int { return len(s.engineRuns(engine)) - before }

	It("sends an upstream no new work 3 s after the platform lists it as leaving, and finishes its running work", func() {
		stop := load()
		time.Sleep(inFlightDelay)
		s.setVMState("model-0", "leaving")
		time.Sleep(drainDeadline)
		before := len(s.engineRuns(0))
		time.Sleep(inFlightDelay)
		Expect(newRuns(0, before)).To(BeZero())
		expectComplete(stop())
	})
	It("sends an upstream no new work 3 s after drain, and sends it work again after undrain", func() {
		stop := load()
		time.Sleep(inFlightDelay)
		out, code := s.ctl("drain", "model-0")
		Expect(code).To(BeZero(), out)
		time.Sleep(drainDeadline)
		before := len(s.engineRuns(0))
		time.Sleep(inFlightDelay)
		Expect(newRuns(0, before)).To(BeZero())
		_, code = s.ctl("undrain", "model-0")
		Expect(code).To(BeZero())
		Eventually(func() int { return newRuns(0, before) }, maxWait, "100ms").Should(BeNumerically(">", 0))
		expectComplete(stop())
	})
	It("interrupts no stream when an agent and then a router are stopped by SIGTERM", func() {
		stop := load()
		time.Sleep(inFlightDelay)
		s.processes["model-0"].signal(syscall.SIGTERM)
		Eventually(s.processes["model-0"].ended, maxWait).Should(BeClosed())
		for _, r := range s.engineRuns(0) {
			Expect(r.Outcome).To(Equal("finished"))
		}
		results := stop()
		expectComplete(results)
		planned := s.startStreams(6, 200, "planned")
		time.Sleep(inFlightDelay)
		s.processes["entry-0"].signal(syscall.SIGTERM)
		results = planned()
		expectComplete(results)
		for _, r := range results {
			Expect(r.Reconnects).To(BeZero())
		}
		Eventually(s.processes["entry-0"].ended, maxWait).Should(BeClosed())
	})
	It("keeps every answer complete while every VM is replaced in turn under load", func() {
		stop := load()
		for _, name := range []string{"model-0", "model-1", "model-2", "model-3"} {
			s.processes[name].signal(syscall.SIGTERM)
			Eventually(s.processes[name].ended, maxWait).Should(BeClosed())
			s.restart(name, "agent")
			Eventually(func() string { return s.memberState(0, name) }, maxWait, "50ms").Should(Equal("live"))
		}
		for _, name := range []string{"entry-0", "entry-1"} {
			s.processes[name].kill()
			s.restart(name, "router")
			time.Sleep(inFlightDelay)
		}
		expectComplete(stop())
	})
})

var _ = Describe("orders", func() {
	for _, fencing := range []declared.Fencing{declared.FencingChecked, declared.FencingIgnored} {
		It("roll out a new version without mixing versions in an answer, to upstreams with fencing "+string(fencing), func() {
			s := newSite(siteOptions{routers: 2, engines: 3, cadence: 10 * time.Millisecond, fencing: fencing})
			wait := s.startStreams(6, 300, "before")
			time.Sleep(inFlightDelay)
			s.apply(s.config("2"))
			expectComplete(wait())
			s.awaitVersion("2")
			ctx, cancel := context.WithTimeout(context.Background(), maxWait)
			defer cancel()
			r := s.client("growers", 0).Stream(ctx, caller.Request{ID: "after", Model: model, Version: "2", Prompt: "after", MaxTokens: 50})
			Expect(r.Complete()).To(BeTrue(), "%v", r.Err)
		})
	}
	It("come from the next lease holder when the holder is paused, and those of the old holder are refused", func() {
		s := newSite(siteOptions{routers: 2, engines: 2, cadence: 10 * time.Millisecond})
		fences := func() []uint64 {
			var out []uint64
			for i := range 2 {
				for _, o := range getJSON[[]struct {
					Fence uint64 `json:"fence"`
				}](s, fmt.Sprintf("engine-%d", i), "/standin/orders") {
					out = append(out, o.Fence)
				}
			}
			return out
		}
		s.apply(s.config("2"))
		s.awaitVersion("2")
		old := fences()[0]
		holder := 0
		if strings.Contains(s.processes["entry-1"].log.String(), "EV6001") {
			holder = 1
		}
		s.processes[fmt.Sprintf("entry-%d", holder)].signal(syscall.SIGSTOP)
		out, code := s.ctl("apply", s.writeConfig(s.config("3")))
		Expect(code).To(BeZero(), out)
		Eventually(fences, 2*maxWait, "200ms").Should(ContainElement(BeNumerically(">", old)))
		s.processes[fmt.Sprintf("entry-%d", holder)].signal(syscall.SIGCONT)
		s.awaitVersion("3")
		for i := range 2 {
			last := uint64(0)
			for _, o := range getJSON[[]struct {
				Fence uint64 `json:"fence"`
			}](s, fmt.Sprintf("engine-%d", i), "/standin/orders") {
				Expect(o.Fence).To(BeNumerically(">=", last))
				last = o.Fence
			}
		}
	})
})
