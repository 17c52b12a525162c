// Package answer runs the generation of answers and makes their tokens available to callers as they are recorded.
//
// # Usage
//
//	a, detach, err := registry.Start(journal, witnesses)
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

// tickInterval is how often an answer checks its timeouts.
const tickInterval = 200 * time.Millisecond

// eventBuffer is the number of events that may be queued before their senders block.
const eventBuffer = 64

// State is the part of an answer that callers may see. Tokens holds only tokens that a witness has recorded; Resumed is the
// number of attempts that replaced a lost one.
type State struct {
	Tokens       []string
	Witness      ids.VM
	Attempt      ids.Attempt
	FinishReason string
	Fault        error
	Resumed      int
}

// Ended reports whether the answer is complete or has failed.
func (s State) Ended() bool { return s.FinishReason != "" || s.Fault != nil }

// Answer is one answer in progress. It is safe for concurrent use.
type Answer struct {
	key      ids.RequestKey
	prompt   journal.Prompt
	bodyHash uint64
	agents   *agent.Client
	clock    clockwork.Clock
	log      *event.Log
	metrics  *metric.Registry
	events   chan generation.Event
	group    *group.Group

	// The following fields are used only by the goroutine of run.
	machine     *generation.Machine
	stopAttempt context.CancelFunc
	// lossAt is when the last attempt was lost. It is zero once the answer has progressed since.
	lossAt time.Time

	mu       sync.Mutex
	upstream ids.VM
	state    State
	changed  chan struct{}
	callers  int
}

// Prompt returns the prompt from which the answer is generated.
func (a *Answer) Prompt() journal.Prompt { return a.prompt }

// BodyHash returns the hash of the request's body.
func (a *Answer) BodyHash() uint64 { return a.bodyHash }

// State returns the current state.
func (a *Answer) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state
}

// Wait blocks until more than seen tokens are available, the answer has ended, or ctx is done. It returns the state at
// that time.
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

// Attach registers a caller. An answer without callers is cancelled after [Options.CallerGrace]. The returned function
// removes the caller again and may be called more than once.
func (a *Answer) Attach() func() {
	a.addCallers(1)
	var once sync.Once
	return func() { once.Do(func() { a.addCallers(-1) }) }
}

func (a *Answer) addCallers(n int) {
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

// report queues an event for run. Events that arrive after the answer has ended are dropped.
func (a *Answer) report(e generation.Event) {
	select {
	case a.events <- e:
	case <-a.group.Context().Done():
	}
}

// publish changes the state and wakes every Wait.
func (a *Answer) publish(change func(s *State)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.state)
	close(a.changed)
	a.changed = make(chan struct{})
}

// run passes events to the state machine and executes the commands that it returns, until the answer ends.
func (a *Answer) run(ctx context.Context) {
	ticker := a.clock.NewTicker(tickInterval)
	defer ticker.Stop()
	a.execute(ctx, a.machine.Start(a.clock.Now()))
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
		a.execute(ctx, a.machine.Handle(a.clock.Now(), e))
	}
}

func (a *Answer) execute(ctx context.Context, cmds []generation.Command) {
	for _, c := range cmds {
		switch c := c.(type) {
		case generation.StartAttempt:
			a.startAttempt(ctx, c)
		case generation.CancelAttempt:
			a.cancelAttempt()
		case generation.Append:
			a.agents.Append(c, a.report)
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
		Key: a.key, Attempt: c.Attempt, Prompt: a.prompt, Prefix: a.machine.Tokens()[:c.Prefix:c.Prefix], OnPlaced: a.recordPlacement,
		Preemptible: c.Preemptible,
	}
	if c.AfterLoss {
		a.lossAt = a.clock.Now()
		attempt.Avoid = a.upstreamsToAvoid()
	}
	a.group.Go(func(context.Context) { a.agents.Generate(ctx, attempt, a.report) })
}

func (a *Answer) recordPlacement(vm ids.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.upstream = vm
}

func (a *Answer) upstreamsToAvoid() []ids.VM {
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

// reveal makes the first tokens of the answer, up to the given number, visible to callers.
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
