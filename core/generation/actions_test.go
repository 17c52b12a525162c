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

// The actions of the world. Each picks one of what is possible, so that words cross, repeat and get lost.

func (w *world) engineWorks(t *rapid.T) {
	if len(w.runs) == 0 {
		t.Skip("no run has begun")
	}
	r := rapid.SampledFrom(w.runs).Draw(t, "run")
	if r.dead {
		t.Skip("the engine is dead")
	}
	if len(r.tokens) >= answerTokens {
		w.words = append(w.words, message{r.router, generation.AttemptFinished{Attempt: r.attempt, Total: uint32(len(r.tokens)), Reason: "stop"}})
		return
	}
	r.produce()
	at := len(r.tokens) - 1
	w.words = append(w.words, message{r.router, generation.TokensArrived{Attempt: r.attempt, First: uint32(at), Tokens: r.tokens[at:]}})
}

func (w *world) engineDies(t *rapid.T) {
	if len(w.runs) == 0 {
		t.Skip("no run has begun")
	}
	r := rapid.SampledFrom(w.runs).Draw(t, "run")
	r.dead = true
	w.words = append(w.words, message{r.router, generation.AttemptFailed{Attempt: r.attempt, Code: "upstream_lost"}})
}

func (w *world) wordArrives(t *rapid.T) {
	if len(w.words) == 0 {
		t.Skip("no word is on its way")
	}
	i := rapid.IntRange(0, len(w.words)-1).Draw(t, "word")
	m := w.words[i]
	if rapid.IntRange(0, 9).Draw(t, "repeated") > 0 {
		w.words = slices.Delete(w.words, i, i+1)
	}
	w.handle(m.router, m.event)
}

func (w *world) firstWordArrives(t *rapid.T) {
	if len(w.words) == 0 {
		t.Skip("no word is on its way")
	}
	m := w.words[0]
	w.words = w.words[1:]
	w.handle(m.router, m.event)
}

func (w *world) appendArrives(t *rapid.T) {
	if len(w.appends) == 0 {
		t.Skip("no append is on its way")
	}
	i := rapid.IntRange(0, len(w.appends)-1).Draw(t, "append")
	a := w.appends[i]
	if rapid.IntRange(0, 9).Draw(t, "repeated") > 0 {
		w.appends = slices.Delete(w.appends, i, i+1)
	}
	length, refusal := w.witnesses[a.Witness].Append(w.now, a.Entry)
	if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
		w.handle(a.router, generation.WitnessLost{Append: a.Number})
		return
	}
	w.handle(a.router, generation.WitnessAnswered{Append: a.Number, Length: length, Final: a.Entry.FinishReason != "", Refusal: refusal})
}

func (w *world) witnessRestarts(t *rapid.T) {
	w.witnesses[rapid.SampledFrom(w.names).Draw(t, "witness")] = newStore()
}

func (w *world) timePasses(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
	for i := range w.holders {
		w.handle(i, generation.Tick{})
	}
}

// callerMoves brings the caller to another router. The old one is dead, or paused and believes that it holds the answer.
func (w *world) callerMoves(t *rapid.T) {
	if w.complete || w.attached < 0 || len(w.holders) > 6 {
		t.Skip("the caller has no reason to move")
	}
	w.holders[w.attached].dead = rapid.Bool().Draw(t, "router is dead")
	w.claim()
}

func (w *world) claim() {
	id := ids.Owner(fmt.Sprint(len(w.holders)))
	c := journal.Claim{Key: worldKey, Owner: id, MinLength: uint32(len(w.seen)), Digest: journal.DigestOf(w.seen), HasDigest: true}
	order := slices.Clone(w.names)
	if at := slices.Index(order, w.witness); at > 0 {
		order[0], order[at] = order[at], order[0]
	}
	for i, name := range order {
		if j, found := w.witnesses[name].Claim(w.now, c); found {
			order[0], order[i] = order[i], order[0]
			w.refused = false
			w.start(j, order)
			return
		}
	}
	if len(w.seen) > 0 {
		w.refused = true
		w.attached = -1
		return
	}
	w.start(journal.Journal{Key: worldKey}, w.names)
}

// settle ends all faults and lets everything run to its end.
func (w *world) settle() {
	for range 4000 {
		if w.complete || w.refused || w.attached < 0 {
			return
		}
		w.settleStep()
	}
	w.t.Fatalf("the answer does not end: %d tokens seen", len(w.seen))
}

func (w *world) settleStep() {
	for len(w.appends) > 0 {
		a := w.appends[0]
		w.appends = w.appends[1:]
		length, refusal := w.witnesses[a.Witness].Append(w.now, a.Entry)
		w.handle(a.router, generation.WitnessAnswered{Append: a.Number, Length: length, Final: a.Entry.FinishReason != "", Refusal: refusal})
	}
	for len(w.words) > 0 {
		m := w.words[0]
		w.words = w.words[1:]
		w.handle(m.router, m.event)
	}
	for _, r := range w.runs {
		if r.dead || r.router != w.attached {
			continue
		}
		if len(r.tokens) >= answerTokens {
			w.words = append(w.words, message{r.router, generation.AttemptFinished{Attempt: r.attempt, Total: answerTokens, Reason: "stop"}})
			continue
		}
		r.produce()
		at := len(r.tokens) - 1
		w.words = append(w.words, message{r.router, generation.TokensArrived{Attempt: r.attempt, First: uint32(at), Tokens: r.tokens[at:]}})
	}
	w.now = w.now.Add(50 * time.Millisecond)
	for i := range w.holders {
		w.handle(i, generation.Tick{})
	}
}
