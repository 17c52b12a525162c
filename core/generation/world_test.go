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
	return journal.NewStore(journal.Limits{MaxBytes: 1 << 20, RetentionUnfinished: time.Hour, RetentionFinished: time.Hour})
}

func (w *world) start(j journal.Journal, witnesses []ids.VM) {
	id := len(w.holders)
	m := generation.New(generation.Options{
		Journal: j, Owner: ids.Owner(fmt.Sprint(id)), Witnesses: witnesses, MaxResumes: 50,
		Timeouts: generation.Timeouts{MaxIdle: time.Second, MaxTokenGap: 2 * time.Second, MinTokenGap: time.Second, GapFactor: 40, CallerGrace: 10 * time.Second, NoProgress: time.Hour},
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
