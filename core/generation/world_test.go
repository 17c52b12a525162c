package generation_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"bilberrylug.dev/core/generation"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
)

// answerTokens is the length of the answer in the world.
const answerTokens = 4

var worldKey = ids.RequestKey{Workspace: "growers", Request: "lot-7"}

// run is one attempt on an engine. Its tokens depend on the exact prefix and on the run itself, so that two runs never
// agree by chance and any token out of place shows.
type run struct {
	router  int
	attempt ids.Attempt
	tokens  []string
	first   int
	dead    bool
}

func (r *run) produce() {
	r.tokens = append(r.tokens, fmt.Sprintf("%x/%d.%d", journal.DigestOf(r.tokens), r.router, r.attempt))
}

type message struct {
	router int
	event  generation.Event
}

type appendMessage struct {
	router int
	generation.Append
}

// holder is a router that believes it holds the answer.
type holder struct {
	machine *generation.Machine
	dead    bool
	failed  bool
	ended   bool
}

// world is two routers, three witnesses, engines and a caller, with everything on its way between them.
type world struct {
	t         *rapid.T
	now       time.Time
	holders   []*holder
	witnesses map[ids.VM]*journal.Store
	names     []ids.VM
	runs      []*run
	words     []message
	appends   []appendMessage

	// The caller.
	attached int
	seen     []string
	witness  ids.VM
	complete bool
	refused  bool
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(0, 0), names: []ids.VM{"w1", "w2", "w3"}, witnesses: make(map[ids.VM]*journal.Store)}
	for _, n := range w.names {
		w.witnesses[n] = newStore()
	}
	w.start(journal.Journal{Key: worldKey}, w.names)
	return w
}

func newStore() *journal.Store {
	return journal.NewStore(journal.Limits{MaxBytes: 1 << 20, Idle: time.Hour, RetentionFinished: time.Hour})
}

func (w *world) start(j journal.Journal, witnesses []ids.VM) {
	id := len(w.holders)
	m := generation.New(generation.Options{
		Journal: j, Owner: ids.Owner(fmt.Sprint(id)), Witnesses: witnesses, Resumes: 50,
		Timeouts: generation.Timeouts{Silence: time.Second, TokenGap: 2 * time.Second, MinTokenGap: time.Second, GapFactor: 40, CallerGrace: 10 * time.Second, NoProgress: time.Hour},
	})
	w.holders = append(w.holders, &holder{machine: m})
	w.attached = id
	w.carryOut(id, m.Start(w.now))
}

func (w *world) handle(router int, e generation.Event) {
	h := w.holders[router]
	if !h.dead {
		w.carryOut(router, h.machine.Handle(w.now, e))
	}
}

func (w *world) carryOut(router int, cmds []generation.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case generation.StartAttempt:
			prefix := w.holders[router].machine.Tokens()[:c.Prefix]
			w.runs = append(w.runs, &run{router: router, attempt: c.Attempt, tokens: slices.Clone(prefix), first: int(c.Prefix)})
		case generation.Append:
			w.appends = append(w.appends, appendMessage{router, c})
		case generation.Reveal:
			w.reveal(router, c)
		case generation.Complete:
			w.holders[router].ended = true
			w.completed(router)
		case generation.Fail:
			w.holders[router].failed = true
			w.refused = w.refused || router == w.attached
		case generation.CancelAttempt:
		}
	}
}

// reveal checks that the caller's view only ever grows, by tokens that fit exactly.
func (w *world) reveal(router int, c generation.Reveal) {
	if router != w.attached {
		return
	}
	m := w.holders[router].machine
	tokens := m.Tokens()[:c.To]
	if len(tokens) < len(w.seen) {
		return
	}
	if !slices.Equal(tokens[:len(w.seen)], w.seen) {
		w.t.Fatalf("the caller saw %v and is shown %v", w.seen, tokens)
	}
	w.seen = slices.Clone(tokens)
	w.witness = m.Witness()
	w.checkChain()
}

// checkChain finds a token that was not generated from exactly what stands before it.
func (w *world) checkChain() {
	for i, token := range w.seen {
		want := fmt.Sprintf("%x/", journal.DigestOf(w.seen[:i]))
		if !strings.HasPrefix(token, want) {
			w.t.Fatalf("token %d of %v does not continue the tokens before it", i, w.seen)
		}
	}
}

func (w *world) completed(router int) {
	if router != w.attached {
		return
	}
	w.complete = true
	if len(w.seen) != answerTokens {
		w.t.Fatalf("the answer ended after %d of %d tokens", len(w.seen), answerTokens)
	}
}

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
