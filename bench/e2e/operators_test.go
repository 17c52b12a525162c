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

// noNewWork is the target's time after which a leaving upstream gets no new work.
const noNewWork = 3 * time.Second

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

	It("is accepted from exactly one of several racing operators for each revision, and the others are told whose", func() {
		codes := make(chan int, 6)
		outs := make(chan string, 6)
		path := s.write(s.config("1") + "  - {name: lots, key_hash: \"" + declared.HashKey("lots.k") + "\", services: [lug-pool], requests_per_second: 1, max_running: 1}\n")
		for range 6 {
			go func() {
				out, code := s.ctl("apply", "--base", "1", path)
				codes <- code
				outs <- out
			}()
		}
		won := 0
		for range 6 {
			if code := <-codes; code == 0 {
				won++
			} else {
				Expect(code).To(Equal(4))
			}
			if out := <-outs; strings.Contains(out, "BL1501") {
				Expect(out).To(ContainSubstring("revision 2"))
				Expect(out).To(ContainSubstring("test"))
			}
		}
		Expect(won).To(Equal(1))
		Eventually(revisions, patience, "50ms").Should(Equal([]int{2, 2, 2}))
	})

	It("is accepted once when the answer of the write is lost, and changes nothing when the file is broken", func() {
		s.put("platform", "/standin/faults", kv.Faults{LoseAnswers: 1})
		s.apply(s.config("1"))
		Eventually(revisions, patience, "50ms").Should(Equal([]int{2, 2, 2}))
		_, code := s.ctl("apply", s.write("services: [{name: x, kind: none}]\n"))
		Expect(code).To(Equal(3))
		out, _ := s.ctl("history")
		Expect(strings.Count(out, "\n")).To(Equal(2))
	})

	It("stays in force over an outage, during which a new process learns it from its peers, and never reverts", func() {
		s.apply(s.config("1"))
		s.put("platform", "/standin/faults", kv.Faults{Outage: true})
		s.processes["entry-2"].kill()
		s.processes["model-2"].kill()
		s.restart("entry-2", "router")
		s.restart("model-2", "agent")
		Eventually(revisions, patience, "50ms").Should(Equal([]int{2, 2, 2}))
		Eventually(func() bool {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			return s.client("growers", 2).Stream(ctx, caller.Request{ID: fmt.Sprint(time.Now().UnixNano()), Model: model, Version: "1", Prompt: "p", MaxTokens: 20}).Complete()
		}, patience, "200ms").Should(BeTrue())
		s.processes["entry-1"].signal(syscall.SIGSTOP)
		s.put("platform", "/standin/faults", kv.Faults{})
		out, code := s.ctl("apply", s.write(s.config("1")))
		Expect(code).To(BeZero(), out)
		time.Sleep(time.Second)
		s.processes["entry-1"].signal(syscall.SIGCONT)
		Eventually(revisions, patience, "50ms").Should(Equal([]int{3, 3, 3}))
	})
})

var _ = Describe("leaving", func() {
	var s *site
	BeforeEach(func() { s = newSite(siteOptions{routers: 2, engines: 4, cadence: 10 * time.Millisecond}) })

	// load keeps answers coming until stop is called, which returns their results.
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
					waits = append(waits, s.streams(2, 120, fmt.Sprintf("load-%d", i)))
				}
			}
		}()
		return func() []caller.Result { stop(); return <-all }
	}
	newWork := func(engine int, from int) int { return len(s.engineRuns(engine)) - from }

	It("gives an upstream no new work after 3 s, by the platform's list, and its running work ends", func() {
		stop := load()
		time.Sleep(underWay)
		s.setVM("model-0", "leaving")
		time.Sleep(noNewWork)
		before := len(s.engineRuns(0))
		time.Sleep(underWay)
		Expect(newWork(0, before)).To(BeZero())
		expectWhole(stop())
	})
	It("gives an upstream no new work after 3 s, by drain, and takes it back by undrain", func() {
		stop := load()
		time.Sleep(underWay)
		out, code := s.ctl("drain", "model-0")
		Expect(code).To(BeZero(), out)
		time.Sleep(noNewWork)
		before := len(s.engineRuns(0))
		time.Sleep(underWay)
		Expect(newWork(0, before)).To(BeZero())
		_, code = s.ctl("undrain", "model-0")
		Expect(code).To(BeZero())
		Eventually(func() int { return newWork(0, before) }, patience, "100ms").Should(BeNumerically(">", 0))
		expectWhole(stop())
	})
	It("cuts nothing when an agent and then a router are stopped in a planned way", func() {
		stop := load()
		time.Sleep(underWay)
		s.processes["model-0"].signal(syscall.SIGTERM)
		Eventually(s.processes["model-0"].ended, patience).Should(BeClosed())
		for _, r := range s.engineRuns(0) {
			Expect(r.Outcome).To(Equal("finished"))
		}
		results := stop()
		expectWhole(results)
		planned := s.streams(6, 200, "planned")
		time.Sleep(underWay)
		s.processes["entry-0"].signal(syscall.SIGTERM)
		results = planned()
		expectWhole(results)
		for _, r := range results {
			Expect(r.Reconnects).To(BeZero())
		}
		Eventually(s.processes["entry-0"].ended, patience).Should(BeClosed())
	})
	It("replaces every VM in turn under load, with every answer whole", func() {
		stop := load()
		for _, name := range []string{"model-0", "model-1", "model-2", "model-3"} {
			s.processes[name].signal(syscall.SIGTERM)
			Eventually(s.processes[name].ended, patience).Should(BeClosed())
			s.restart(name, "agent")
			Eventually(func() string { return s.state(0, name) }, patience, "50ms").Should(Equal("live"))
		}
		for _, name := range []string{"entry-0", "entry-1"} {
			s.processes[name].kill()
			s.restart(name, "router")
			time.Sleep(underWay)
		}
		expectWhole(stop())
	})
})

var _ = Describe("orders", func() {
	for _, fencing := range []declared.Fencing{declared.FencingChecked, declared.FencingIgnored} {
		It("roll a new version through without mixing versions in an answer, upstreams with fencing "+string(fencing), func() {
			s := newSite(siteOptions{routers: 2, engines: 3, cadence: 10 * time.Millisecond, fencing: fencing})
			wait := s.streams(6, 300, "before")
			time.Sleep(underWay)
			s.apply(s.config("2"))
			expectWhole(wait())
			s.awaitHolders("2")
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			r := s.client("growers", 0).Stream(ctx, caller.Request{ID: "after", Model: model, Version: "2", Prompt: "after", MaxTokens: 50})
			Expect(r.Complete()).To(BeTrue(), "%v", r.Err)
		})
	}
	It("come from the next holder when the holder is paused, and the old one's are refused", func() {
		s := newSite(siteOptions{routers: 2, engines: 2, cadence: 10 * time.Millisecond})
		fences := func() []uint64 {
			var out []uint64
			for i := range 2 {
				for _, o := range get[[]struct {
					Fence uint64 `json:"fence"`
				}](s, fmt.Sprintf("engine-%d", i), "/standin/orders") {
					out = append(out, o.Fence)
				}
			}
			return out
		}
		s.apply(s.config("2"))
		s.awaitHolders("2")
		old := fences()[0]
		holder := 0
		if strings.Contains(s.processes["entry-1"].log.String(), "EV6001") {
			holder = 1
		}
		s.processes[fmt.Sprintf("entry-%d", holder)].signal(syscall.SIGSTOP)
		out, code := s.ctl("apply", s.write(s.config("3")))
		Expect(code).To(BeZero(), out)
		Eventually(fences, 2*patience, "200ms").Should(ContainElement(BeNumerically(">", old)))
		s.processes[fmt.Sprintf("entry-%d", holder)].signal(syscall.SIGCONT)
		s.awaitHolders("3")
		for i := range 2 {
			last := uint64(0)
			for _, o := range get[[]struct {
				Fence uint64 `json:"fence"`
			}](s, fmt.Sprintf("engine-%d", i), "/standin/orders") {
				Expect(o.Fence).To(BeNumerically(">=", last))
				last = o.Fence
			}
		}
	})
})
