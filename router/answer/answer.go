// Package answer drives the generation of answers and shows them to their callers.
//
// # Usage
//
//	a := registry.Start(key, prompt, bodyHash)
//	detach := a.Attach()
//	defer detach()
//	state := a.Wait(ctx, seen)
package answer

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/generation"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
	"bilberrylug.dev/core/metric"
	"bilberrylug.dev/router/agent"
)

// tickInterval is how often an answer looks for silence.
const tickInterval = 200 * time.Millisecond

// eventBuffer lets the sources of events run ahead of the driver a little.
const eventBuffer = 64

// State is what a caller may see of an answer.
type State struct {
	Tokens       []string
	Witness      ids.VM
	Attempt      ids.Attempt
	FinishReason string
	Fault        error
	Resumed      int
}

// Ended tells whether nothing more will come.
func (s State) Ended() bool { return s.FinishReason != "" || s.Fault != nil }

// Answer is one answer under way. It is safe for concurrent use.
type Answer struct {
	key     ids.RequestKey
	prompt  journal.Prompt
	body    uint64
	links   *agent.Client
	clock   clockwork.Clock
	log     *event.Log
	metrics *metric.Registry
	events  chan generation.Event
	group   *group.Group

	// Fields of the driver's goroutine.
	machine     *generation.Machine
	stopAttempt context.CancelFunc
	lossAt      time.Time

	mu       sync.Mutex
	upstream ids.VM
	state    State
	changed  chan struct{}
	callers  int
}

// Prompt returns what the answer is generated from.
func (a *Answer) Prompt() journal.Prompt { return a.prompt }

// BodyHash returns the hash of the request's body.
func (a *Answer) BodyHash() uint64 { return a.body }

// State returns what may be seen now.
func (a *Answer) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// Wait blocks until more than seen tokens may be seen, until the answer has ended or the context ends.
func (a *Answer) Wait(ctx context.Context, seen int) State {
	for {
		a.mu.Lock()
		state, changed := a.state, a.changed
		a.mu.Unlock()
		if len(state.Tokens) > seen || state.Ended() {
			return state
		}
		select {
		case <-ctx.Done():
			return state
		case <-changed:
		}
	}
}

// Attach counts a caller; without callers the answer ends after a grace. The returned function detaches.
func (a *Answer) Attach() func() {
	a.count(1)
	var once sync.Once
	return func() { once.Do(func() { a.count(-1) }) }
}

func (a *Answer) count(n int) {
	a.mu.Lock()
	a.callers += n
	callers := a.callers
	a.mu.Unlock()
	if callers == 0 {
		a.report(generation.CallerDisconnected{})
		return
	}
	a.report(generation.CallerReconnected{})
}

// report hands an event to the driver; events after the end are dropped.
func (a *Answer) report(e generation.Event) {
	select {
	case a.events <- e:
	case <-a.group.Context().Done():
	}
}

func (a *Answer) publish(change func(s *State)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.state)
	close(a.changed)
	a.changed = make(chan struct{})
}

// run is the driver: it feeds events to the machine and carries out its commands.
func (a *Answer) run(ctx context.Context) {
	ticker := a.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	a.carryOut(ctx, a.machine.Start(a.clock.Now()))
	for !a.machine.Done() {
		var e generation.Event
		select {
		case <-ctx.Done():
			a.publish(func(s *State) { s.Fault = fault.New(fault.Superseded, "claimed again, or the router stops") })
			return
		case e = <-a.events:
		case <-ticker.Chan():
			e = generation.Tick{}
		}
		a.carryOut(ctx, a.machine.Handle(a.clock.Now(), e))
	}
}

func (a *Answer) carryOut(ctx context.Context, cmds []generation.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case generation.StartAttempt:
			a.startAttempt(ctx, c)
		case generation.CancelAttempt:
			a.cancelAttempt()
		case generation.Append:
			a.links.Append(c, a.report)
		case generation.Reveal:
			a.reveal(c.To)
		case generation.Complete:
			a.publish(func(s *State) { s.FinishReason = c.Reason })
		case generation.Fail:
			a.fail(c)
		}
	}
}

func (a *Answer) startAttempt(ctx context.Context, c generation.StartAttempt) {
	a.cancelAttempt()
	ctx, a.stopAttempt = context.WithCancel(ctx)
	attempt := agent.Attempt{
		Key: a.key, Attempt: c.Attempt, Prompt: a.prompt, Prefix: a.machine.Tokens()[:c.Prefix:c.Prefix], OnPlaced: a.placed,
		Preemptible: c.Preemptible,
	}
	if c.AfterLoss {
		a.lossAt = a.clock.Now()
		attempt.Avoid = a.lastUpstream()
	}
	a.group.Go(func(context.Context) { a.links.Generate(ctx, attempt, a.report) })
}

func (a *Answer) placed(vm ids.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.upstream = vm
}

func (a *Answer) lastUpstream() []ids.VM {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.upstream == "" {
		return nil
	}
	return []ids.VM{a.upstream}
}

func (a *Answer) cancelAttempt() {
	if a.stopAttempt != nil {
		a.stopAttempt()
	}
}

func (a *Answer) reveal(to uint32) {
	if !a.lossAt.IsZero() {
		a.metrics.Histogram("resume_ms").Update(a.clock.Since(a.lossAt).Milliseconds())
		a.lossAt = time.Time{}
	}
	tokens := a.machine.Tokens()[:to:to]
	witness, attempt, resumed := a.machine.Witness(), a.machine.Attempt(), a.machine.Resumed
	a.publish(func(s *State) {
		s.Tokens = tokens
		s.Witness = witness
		s.Attempt = attempt
		s.Resumed = resumed
	})
}

func (a *Answer) fail(c generation.Fail) {
	err := fault.New(c.Code, "%s", c.Detail)
	a.log.Write(event.AnswerFailed, "request", a.key.String(), "error", err.Error())
	a.publish(func(s *State) { s.Fault = err })
}
