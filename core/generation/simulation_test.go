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

// answerTokens is the length of the simulated answer.
const answerTokens = 4

var testKey = ids.RequestKey{Workspace: "growers", Request: "lot-7"}

// run is one attempt on an engine. Each token encodes the digest of its prefix and the run, so that two runs never
// generate equal tokens and any misplaced token is detected.
type run struct {
	router  int
	attempt ids.Attempt
	tokens  []string
	first   int
	dead    bool
}

func (r *run) generate() {
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

// owner is a router that considers itself the owner of the answer.
type owner struct {
	machine *generation.Machine
	dead    bool
	failed  bool
	ended   bool
}

// simulation holds the routers, three witnesses, engines, one caller, and the messages in transit between them.
type simulation struct {
	t         *rapid.T
	now       time.Time
	owners    []*owner
	witnesses map[ids.VM]*journal.Store
	names     []ids.VM
	runs      []*run
	messages  []message
	appends   []appendMessage

	// State of the caller: the router that it is connected to, or -1; the tokens that it has received; and the witness that
	// stored them.
	attached int
	seen     []string
	witness  ids.VM
	complete bool
	refused  bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, now: time.Unix(0, 0), names: []ids.VM{"w1", "w2", "w3"}, witnesses: make(map[ids.VM]*journal.Store)}
	for _, n := range s.names {
		s.witnesses[n] = newStore()
	}
	s.start(journal.Journal{Key: testKey}, s.names)
	return s
}

func newStore() *journal.Store {
	return journal.NewStore(journal.Limits{MaxBytes: 1 << 20, RetentionUnfinished: time.Hour, RetentionFinished: time.Hour})
}

func (s *simulation) start(j journal.Journal, witnesses []ids.VM) {
	id := len(s.owners)
	m := generation.New(generation.Options{
		Journal: j, Owner: ids.Owner(fmt.Sprint(id)), Witnesses: witnesses, MaxResumes: 50,
		Timeouts: generation.Timeouts{MaxIdle: time.Second, MaxTokenGap: 2 * time.Second, MinTokenGap: time.Second, GapFactor: 40, CallerGrace: 10 * time.Second, NoProgress: time.Hour},
	})
	s.owners = append(s.owners, &owner{machine: m})
	s.attached = id
	s.execute(id, m.Start(s.now))
}

func (s *simulation) handle(router int, e generation.Event) {
	o := s.owners[router]
	if !o.dead {
		s.execute(router, o.machine.Handle(s.now, e))
	}
}

func (s *simulation) execute(router int, cmds []generation.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case generation.StartAttempt:
			prefix := s.owners[router].machine.Tokens()[:c.Prefix]
			s.runs = append(s.runs, &run{router: router, attempt: c.Attempt, tokens: slices.Clone(prefix), first: int(c.Prefix)})
		case generation.Append:
			s.appends = append(s.appends, appendMessage{router, c})
		case generation.Reveal:
			s.reveal(router, c)
		case generation.Complete:
			s.owners[router].ended = true
			s.completed(router)
		case generation.Fail:
			s.owners[router].failed = true
			s.refused = s.refused || router == s.attached
		case generation.CancelAttempt:
		}
	}
}

// reveal checks that the tokens revealed to the caller extend those it has already received.
func (s *simulation) reveal(router int, c generation.Reveal) {
	if router != s.attached {
		return
	}
	m := s.owners[router].machine
	tokens := m.Tokens()[:c.To]
	if len(tokens) < len(s.seen) {
		return
	}
	if !slices.Equal(tokens[:len(s.seen)], s.seen) {
		s.t.Fatalf("the caller received %v and is now shown %v", s.seen, tokens)
	}
	s.seen = slices.Clone(tokens)
	s.witness = m.Witness()
	s.checkSequence()
}

// checkSequence fails if a token was not generated from exactly the tokens before it.
func (s *simulation) checkSequence() {
	for i, token := range s.seen {
		want := fmt.Sprintf("%x/", journal.DigestOf(s.seen[:i]))
		if !strings.HasPrefix(token, want) {
			s.t.Fatalf("token %d of %v does not continue the tokens before it", i, s.seen)
		}
	}
}

func (s *simulation) completed(router int) {
	if router != s.attached {
		return
	}
	s.complete = true
	if len(s.seen) != answerTokens {
		s.t.Fatalf("the answer ended after %d of %d tokens", len(s.seen), answerTokens)
	}
}
