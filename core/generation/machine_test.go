package generation_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/generation"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
)

var _ = Describe("a simulated answer", func() {
	It("delivers every token once and in order despite crashes, pauses, and reordered or lost messages", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			s := newSimulation(t)
			t.Repeat(map[string]func(*rapid.T){
				"engineGenerates": s.engineGenerates, "engineGeneratesToo": s.engineGenerates, "engineCrashes": s.engineCrashes,
				"unorderedEventArrives": s.unorderedEventArrives, "firstEventArrives": s.firstEventArrives, "firstEventArrivesToo": s.firstEventArrives,
				"appendArrives": s.appendArrives, "appendArrivesToo": s.appendArrives,
				"storeRestarts": s.storeRestarts, "routersTick": s.routersTick, "callerReconnects": s.callerReconnects,
			})
			s.settle()
		})
	})
})

var _ = Describe("a machine", func() {
	var (
		m   *generation.Machine
		now time.Time
	)
	timeouts := generation.Timeouts{
		MaxIdle: time.Second, MaxTokenGap: 2500 * time.Millisecond, MinTokenGap: time.Second, GapFactor: 40,
		CallerGrace: 10 * time.Second, NoProgress: 20 * time.Second, MaxDelay: 1500 * time.Millisecond,
	}
	BeforeEach(func() {
		now = time.Unix(0, 0)
		m = generation.New(generation.Options{
			Journal: journal.Journal{Key: testKey}, Owner: "r1", Witnesses: []ids.VM{"w1", "w2"}, Timeouts: timeouts, MaxResumes: 2,
		})
		m.Start(now)
	})
	opened := generation.WitnessAnswered{Append: 1}
	token := func(a ids.Attempt, at uint32, text string) generation.TokensArrived {
		return generation.TokensArrived{Attempt: a, First: at, Tokens: []string{text}}
	}

	It("starts no attempt before a witness has stored the journal, so that no_witness implies that nothing ran", func() {
		Expect(m.Handle(now, generation.WitnessLost{Append: 1})).To(ContainElement(BeAssignableToTypeOf(generation.Append{})))
		cmds := m.Handle(now, generation.WitnessLost{Append: 2})
		Expect(cmds).To(Equal([]generation.Command{generation.Fail{Code: fault.NoWitness, Detail: "no witness is left"}}))
	})
	It("reveals a token only after the witness has stored it", func() {
		m.Handle(now, opened)
		Expect(m.Handle(now, token(1, 0, "a"))).To(HaveLen(1))
		Expect(m.Revealed()).To(BeZero())
		Expect(m.Handle(now, generation.WitnessAnswered{Append: 2, Length: 1})).To(ContainElement(generation.Reveal{To: 1}))
	})
	It("drops and counts events of an earlier attempt", func() {
		m.Handle(now, opened)
		m.Handle(now, token(1, 0, "a"))
		m.Handle(now, generation.AttemptFailed{Attempt: 1, Code: fault.UpstreamLost})
		m.Handle(now, token(1, 1, "late"))
		Expect(m.Tokens()).To(Equal([]string{"a"}))
		Expect(m.LateEvents).To(Equal(1))
	})
	It("resumes after a second without events, but not while the agent reports the attempt alive", func() {
		m.Handle(now, opened)
		now = now.Add(900 * time.Millisecond)
		m.Handle(now, generation.AttemptAlive{Attempt: 1})
		now = now.Add(900 * time.Millisecond)
		Expect(m.Handle(now, generation.Tick{})).To(BeEmpty())
		now = now.Add(200 * time.Millisecond)
		Expect(m.Handle(now, generation.Tick{})).To(ContainElement(generation.StartAttempt{Attempt: 2, AfterLoss: true, Preemptible: true}))
	})
	It("resumes elsewhere at most 2.5 s after the last token, even while the agent reports the attempt alive", func() {
		m.Handle(now, opened)
		m.Handle(now, token(1, 0, "a"))
		for range 26 {
			now = now.Add(100 * time.Millisecond)
			m.Handle(now, generation.AttemptAlive{Attempt: 1})
		}
		Expect(m.Handle(now, generation.Tick{})).To(ContainElement(generation.StartAttempt{Attempt: 2, Prefix: 1, AfterLoss: true, Preemptible: true}))
	})
	It("fetches new candidates when all witnesses are lost, and reveals nothing meanwhile", func() {
		candidates := []ids.VM{}
		m = generation.New(generation.Options{
			Journal: journal.Journal{Key: testKey}, Owner: "r1", Witnesses: []ids.VM{"w1"}, Timeouts: timeouts, MaxResumes: 2,
			MoreWitnesses: func() []ids.VM { return candidates },
		})
		m.Start(now)
		m.Handle(now, opened)
		m.Handle(now, token(1, 0, "a"))
		Expect(m.Handle(now, generation.WitnessLost{Append: 2})).To(BeEmpty())
		Expect(m.Handle(now, generation.Tick{})).To(BeEmpty())
		Expect(m.Revealed()).To(BeZero())
		candidates = []ids.VM{"w9"}
		cmds := m.Handle(now, generation.Tick{})
		Expect(cmds).To(ConsistOf(HaveField("Witness", ids.VM("w9"))))
		Expect(m.Handle(now, generation.WitnessAnswered{Append: 3, Length: 1})).To(ContainElement(generation.Reveal{To: 1}))
	})
	It("moves an answer away from a slow engine within 2.7 s, and only as often as MayMove allows", func() {
		moves := 1
		m = generation.New(generation.Options{
			Journal: journal.Journal{Key: testKey}, Owner: "r1", Witnesses: []ids.VM{"w1"}, MaxResumes: 9,
			Timeouts: timeouts, MayMove: func() bool { moves--; return moves >= 0 },
		})
		m.Start(now)
		m.Handle(now, opened)
		at := uint32(0)
		sendTokens := func(n int, every time.Duration) []generation.Command {
			for range n {
				now = now.Add(every)
				m.Handle(now, token(m.Attempt(), at, "t"))
				at++
				if cmds := m.Handle(now, generation.Tick{}); len(cmds) > 0 {
					return cmds
				}
			}
			return nil
		}
		Expect(sendTokens(50, 60*time.Millisecond)).To(BeEmpty())
		Expect(sendTokens(50, 150*time.Millisecond)).To(BeEmpty())
		slowSince := now
		Expect(sendTokens(50, 900*time.Millisecond)).To(ContainElement(BeAssignableToTypeOf(generation.StartAttempt{})))
		Expect(now.Sub(slowSince)).To(BeNumerically("<=", 2700*time.Millisecond))
		Expect(sendTokens(50, 900*time.Millisecond)).To(BeEmpty())
	})
	It("is preempted by short requests at most twice, without counting the preempted attempts as lost", func() {
		m.Handle(now, opened)
		m.Handle(now, token(1, 0, "a"))
		for a := ids.Attempt(1); a <= 3; a++ {
			cmds := m.Handle(now, generation.AttemptFailed{Attempt: a, Code: fault.Preempted})
			Expect(cmds).To(ConsistOf(generation.StartAttempt{Attempt: a + 1, Prefix: 1, Preemptible: a < 2}))
		}
		Expect(m.Resumed).To(BeZero())
	})
	It("retries after a queueing deadline if the answer is already in progress", func() {
		m.Handle(now, opened)
		m.Handle(now, token(1, 0, "a"))
		m.Handle(now, generation.AttemptFailed{Attempt: 1, Code: fault.Preempted})
		Expect(m.Handle(now, generation.AttemptFailed{Attempt: 2, Code: fault.DeadlineExceeded})).To(BeEmpty())
		now = now.Add(time.Second)
		Expect(m.Handle(now, generation.Tick{})).To(ContainElement(BeAssignableToTypeOf(generation.StartAttempt{})))
	})
	It("fails with resume_exhausted instead of a not_run fault once work may have run", func() {
		m.Handle(now, opened)
		m.Handle(now, token(1, 0, "a"))
		var last []generation.Command
		for a := ids.Attempt(1); a <= 3; a++ {
			last = m.Handle(now, generation.AttemptFailed{Attempt: a, Code: fault.UpstreamLost})
		}
		Expect(last).To(ContainElement(HaveField("Code", fault.ResumeExhausted)))
	})
	It("cancels the attempt when the caller does not reconnect within CallerGrace", func() {
		m.Handle(now, opened)
		m.Handle(now, generation.CallerDisconnected{})
		now = now.Add(10 * time.Second)
		m.Handle(now, generation.AttemptAlive{Attempt: 1})
		Expect(m.Handle(now, generation.Tick{})).To(ContainElement(generation.CancelAttempt{Attempt: 1}))
		Expect(m.Done()).To(BeTrue())
	})
})
