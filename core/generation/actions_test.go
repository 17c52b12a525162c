package generation_test

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"bilberrylug.dev/core/generation"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
)

// The actions of the simulation. Each draws one of the possible steps, so that messages are reordered, duplicated and lost.

func (s *simulation) engineGenerates(t *rapid.T) {
	if len(s.runs) == 0 {
		t.Skip("no run has started")
	}
	r := rapid.SampledFrom(s.runs).Draw(t, "run")
	if r.dead {
		t.Skip("the engine has crashed")
	}
	if len(r.tokens) >= answerTokens {
		s.messages = append(s.messages, message{r.router, generation.AttemptFinished{Attempt: r.attempt, Total: uint32(len(r.tokens)), Reason: "stop"}})
		return
	}
	r.generate()
	at := len(r.tokens) - 1
	s.messages = append(s.messages, message{r.router, generation.TokensArrived{Attempt: r.attempt, First: uint32(at), Tokens: r.tokens[at:]}})
}

func (s *simulation) engineCrashes(t *rapid.T) {
	if len(s.runs) == 0 {
		t.Skip("no run has started")
	}
	r := rapid.SampledFrom(s.runs).Draw(t, "run")
	r.dead = true
	s.messages = append(s.messages, message{r.router, generation.AttemptFailed{Attempt: r.attempt, Code: "upstream_lost"}})
}

func (s *simulation) unorderedEventArrives(t *rapid.T) {
	if len(s.messages) == 0 {
		t.Skip("no event is in transit")
	}
	i := rapid.IntRange(0, len(s.messages)-1).Draw(t, "event")
	m := s.messages[i]
	if rapid.IntRange(0, 9).Draw(t, "repeated") > 0 {
		s.messages = slices.Delete(s.messages, i, i+1)
	}
	s.handle(m.router, m.event)
}

func (s *simulation) firstEventArrives(t *rapid.T) {
	if len(s.messages) == 0 {
		t.Skip("no event is in transit")
	}
	m := s.messages[0]
	s.messages = s.messages[1:]
	s.handle(m.router, m.event)
}

func (s *simulation) appendArrives(t *rapid.T) {
	if len(s.appends) == 0 {
		t.Skip("no append is in transit")
	}
	i := rapid.IntRange(0, len(s.appends)-1).Draw(t, "append")
	a := s.appends[i]
	if rapid.IntRange(0, 9).Draw(t, "repeated") > 0 {
		s.appends = slices.Delete(s.appends, i, i+1)
	}
	length, refusal := s.witnesses[a.Witness].Append(s.now, a.Entry)
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		s.handle(a.router, generation.WitnessLost{Append: a.Number})
		return
	}
	s.handle(a.router, generation.WitnessAnswered{Append: a.Number, Length: length, Final: a.Entry.FinishReason != "", Refusal: refusal})
}

// storeRestarts restarts a witness, which loses all its journals.
func (s *simulation) storeRestarts(t *rapid.T) {
	s.witnesses[rapid.SampledFrom(s.names).Draw(t, "witness")] = newStore()
}

func (s *simulation) routersTick(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	for i := range s.owners {
		s.handle(i, generation.Tick{})
	}
}

// callerReconnects connects the caller to another router. The old one has crashed, or is paused and still considers itself
// the owner of the answer.
func (s *simulation) callerReconnects(t *rapid.T) {
	if s.complete || s.attached < 0 || len(s.owners) > 6 {
		t.Skip("the caller stays connected")
	}
	s.owners[s.attached].dead = rapid.Bool().Draw(t, "router is dead")
	s.claim()
}

func (s *simulation) claim() {
	id := ids.Owner(fmt.Sprint(len(s.owners)))
	c := journal.Claim{Key: testKey, Owner: id, MinLength: uint32(len(s.seen)), Digest: journal.DigestOf(s.seen), HasDigest: true}
	order := slices.Clone(s.names)
	if at := slices.Index(order, s.witness); at > 0 {
		order[0], order[at] = order[at], order[0]
	}
	for i, name := range order {
		if j, found := s.witnesses[name].Claim(s.now, c); found {
			order[0], order[i] = order[i], order[0]
			s.refused = false
			s.start(j, order)
			return
		}
	}
	if len(s.seen) > 0 {
		s.refused = true
		s.attached = -1
		return
	}
	s.start(journal.Journal{Key: testKey}, s.names)
}

// settle stops injecting faults and runs the simulation until the answer ends.
func (s *simulation) settle() {
	for range 4000 {
		if s.complete || s.refused || s.attached < 0 {
			return
		}
		s.settleStep()
	}
	s.t.Fatalf("the answer does not end: %d tokens received", len(s.seen))
}

func (s *simulation) settleStep() {
	for len(s.appends) > 0 {
		a := s.appends[0]
		s.appends = s.appends[1:]
		length, refusal := s.witnesses[a.Witness].Append(s.now, a.Entry)
		s.handle(a.router, generation.WitnessAnswered{Append: a.Number, Length: length, Final: a.Entry.FinishReason != "", Refusal: refusal})
	}
	for len(s.messages) > 0 {
		m := s.messages[0]
		s.messages = s.messages[1:]
		s.handle(m.router, m.event)
	}
	for _, r := range s.runs {
		if r.dead || r.router != s.attached {
			continue
		}
		if len(r.tokens) >= answerTokens {
			s.messages = append(s.messages, message{r.router, generation.AttemptFinished{Attempt: r.attempt, Total: answerTokens, Reason: "stop"}})
			continue
		}
		r.generate()
		at := len(r.tokens) - 1
		s.messages = append(s.messages, message{r.router, generation.TokensArrived{Attempt: r.attempt, First: uint32(at), Tokens: r.tokens[at:]}})
	}
	s.now = s.now.Add(50 * time.Millisecond)
	for i := range s.owners {
		s.handle(i, generation.Tick{})
	}
}
