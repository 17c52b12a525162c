// Package generation decides how one answer is generated, witnessed, resumed and revealed.
//
// The machine is pure: it takes an event and the time, and returns commands. A token is accepted only from the current
// attempt and only at the next index; it is revealed only when the witness holds it. A lost attempt is followed by a
// new one from the exact prefix; a lost witness by the next one, which gets the whole journal first.
//
// # Usage
//
//	m := generation.New(opts)
//	for _, c := range m.Start(now) { carryOut(c) }
//	for _, c := range m.Handle(now, event) { carryOut(c) }
package generation

import (
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
)

// Options configure a machine. A journal with tokens or an attempt above zero is continued.
type Options struct {
	Journal    journal.Journal
	Owner      ids.Owner
	Witnesses  []ids.VM
	Timeouts   Timeouts
	MaxResumes int
	// MoreWitnesses returns candidates anew when the list is used up; nil returns none.
	MoreWitnesses func() []ids.VM
	// ExpectedTokenGap is the usual time between tokens of the answer's model, or zero when it is not known.
	ExpectedTokenGap time.Duration
	// MayMove grants one move away from a slow upstream; nil never does.
	MayMove func() bool
}

// Machine is the state of one answer. It is not safe for concurrent use.
type Machine struct {
	opts     Options
	key      ids.RequestKey
	prompt   journal.Prompt
	bodyHash uint64

	attempt    ids.Attempt
	running    bool
	started    bool
	mayHaveRun bool
	tokens     []string
	lastWord   time.Time
	progress   time.Time
	revealedAt time.Time
	retryAt    time.Time
	pace       pace

	witness       int
	witnessOpened bool
	inFlight      bool
	appends       uint64
	witnessed     uint32
	revealed      uint32

	finishReason string
	finalSent    bool
	done         bool
	resumesLeft  int
	callerGone   bool
	callerLeftAt time.Time

	preemptions int

	// Resumed counts the attempts after the first, Late the words of older attempts that were dropped.
	Resumed    int
	LateEvents int
}

// maxPreemptions is the number of times that one answer gives its slot to short work.
const maxPreemptions = 2

// retryPause is the time between two tries to place an attempt.
const retryPause = 50 * time.Millisecond

// New returns a machine for the journal.
func New(o Options) *Machine {
	return &Machine{
		opts: o, key: o.Journal.Key, prompt: o.Journal.Prompt, bodyHash: o.Journal.BodyHash,
		attempt: o.Journal.Attempt, tokens: o.Journal.Tokens, finishReason: o.Journal.FinishReason,
		resumesLeft: o.MaxResumes,
	}
}

// Tokens returns all accepted tokens, revealed or not.
func (m *Machine) Tokens() []string { return m.tokens }

// Revealed returns the number of tokens that the caller may see.
func (m *Machine) Revealed() uint32 { return m.revealed }

// Attempt returns the current attempt.
func (m *Machine) Attempt() ids.Attempt { return m.attempt }

// Done tells whether the machine has ended.
func (m *Machine) Done() bool { return m.done }

// Witness returns the current witness, or the empty id when none is left.
func (m *Machine) Witness() ids.VM {
	if m.witness >= len(m.opts.Witnesses) {
		return ""
	}
	return m.opts.Witnesses[m.witness]
}

// Start returns the first commands: the journal goes to the witness. The attempt begins when the witness has it, so
// that an answer refused for want of a witness truly did not run.
func (m *Machine) Start(now time.Time) []Command {
	m.progress = now
	m.started = m.finishReason != ""
	m.pace.learn(m.opts.ExpectedTokenGap)
	m.mayHaveRun = m.attempt > 0
	if m.attempt == 0 {
		m.attempt = 1
	}
	return m.appendNext(nil)
}

// Handle takes one event.
func (m *Machine) Handle(now time.Time, e Event) []Command {
	if m.done {
		return nil
	}
	switch e := e.(type) {
	case TokensArrived:
		return m.tokensArrived(now, e)
	case AttemptAlive:
		m.alive(now, e.Attempt)
	case AttemptFinished:
		return m.attemptFinished(now, e)
	case AttemptFailed:
		return m.attemptFailed(now, e)
	case WitnessAnswered:
		return m.witnessAnswered(now, e)
	case WitnessLost:
		return m.witnessLost(now, e)
	case CallerDisconnected:
		m.callerGone = true
		m.callerLeftAt = now
	case CallerReconnected:
		m.callerGone = false
	case Tick:
		return m.tick(now)
	}
	return nil
}

func (m *Machine) begin(now time.Time, cmds []Command, afterLoss bool) []Command {
	m.running = true
	m.lastWord = now
	m.pace.begin()
	return append(cmds, StartAttempt{m.attempt, uint32(len(m.tokens)), afterLoss, m.preemptions < maxPreemptions})
}

func (m *Machine) alive(now time.Time, a ids.Attempt) {
	if a == m.attempt {
		m.lastWord = now
		m.mayHaveRun = true
	}
}

// tokensArrived accepts the tokens that come next. A repeated token is passed over; a gap means that the stream lost
// something, and the attempt is replaced.
func (m *Machine) tokensArrived(now time.Time, e TokensArrived) []Command {
	if e.Attempt != m.attempt || !m.running {
		m.LateEvents++
		return nil
	}
	length := uint32(len(m.tokens))
	if e.First > length {
		return m.lose(now, fault.UpstreamLost, "gap in the token stream")
	}
	skip := min(length-e.First, uint32(len(e.Tokens)))
	fresh := e.Tokens[skip:]
	if len(fresh) == 0 {
		return nil
	}
	m.mayHaveRun = true
	m.lastWord = now
	m.pace.note(now, len(fresh))
	m.tokens = append(m.tokens, fresh...)
	m.progress = now
	return m.appendNext(nil)
}

func (m *Machine) attemptFinished(now time.Time, e AttemptFinished) []Command {
	if e.Attempt != m.attempt || !m.running {
		m.LateEvents++
		return nil
	}
	if e.Total != uint32(len(m.tokens)) {
		return m.lose(now, fault.UpstreamLost, "end does not match the tokens")
	}
	m.running = false
	m.progress = now
	m.finishReason = e.Reason
	return m.appendNext(nil)
}

func (m *Machine) attemptFailed(now time.Time, e AttemptFailed) []Command {
	if e.Attempt != m.attempt || !m.running {
		m.LateEvents++
		return nil
	}
	kind := fault.KindOf(e.Code)
	if kind.Claim == fault.NotRun && (kind.Retryable || mayComeFree(e.Code)) {
		return m.retryPlacement(now, e)
	}
	if !kind.Retryable {
		return m.end(e.Code, e.Detail, nil)
	}
	if e.Code == fault.Preempted {
		m.preemptions++
		m.mayHaveRun = true
		m.attempt++
		return m.begin(now, nil, false)
	}
	return m.lose(now, e.Code, e.Detail)
}

// mayComeFree tells whether a place that could not be had now may be had later.
func mayComeFree(c fault.Code) bool { return c == fault.NoUpstream || c == fault.DeadlineExceeded }

// retryPlacement tries again after a pause, since nothing ran. An answer that never ran is refused at once; one that is
// under way waits for the limit of no progress.
func (m *Machine) retryPlacement(now time.Time, e AttemptFailed) []Command {
	if !m.mayHaveRun {
		return m.end(e.Code, e.Detail, nil)
	}
	if now.Sub(m.progress) > m.opts.Timeouts.NoProgress {
		return m.end(fault.ResumeExhausted, e.Detail, nil)
	}
	m.running = false
	m.retryAt = now.Add(retryPause)
	return nil
}

// lose replaces the current attempt.
func (m *Machine) lose(now time.Time, code fault.Code, detail string) []Command {
	cmds := []Command{CancelAttempt{m.attempt}}
	m.running = false
	m.mayHaveRun = true
	if m.resumesLeft == 0 {
		return m.end(fault.ResumeExhausted, string(code)+": "+detail, cmds)
	}
	m.resumesLeft--
	m.Resumed++
	m.attempt++
	return m.begin(now, cmds, true)
}

func (m *Machine) end(code fault.Code, detail string, cmds []Command) []Command {
	m.done = true
	if m.mayHaveRun && fault.KindOf(code).Claim == fault.NotRun {
		detail = string(code) + ": " + detail
		code = fault.ResumeExhausted
	}
	if m.running {
		cmds = append(cmds, CancelAttempt{m.attempt})
	}
	m.running = false
	return append(cmds, Fail{code, detail})
}

func (m *Machine) tick(now time.Time) []Command {
	if m.callerGone && now.Sub(m.callerLeftAt) >= m.opts.Timeouts.CallerGrace {
		return m.end(fault.Superseded, "the caller left", nil)
	}
	if m.Witness() == "" {
		return m.findWitness(now)
	}
	if !m.running && m.finishReason == "" && !m.retryAt.IsZero() && !now.Before(m.retryAt) {
		m.retryAt = time.Time{}
		m.attempt++
		return m.begin(now, nil, true)
	}
	if !m.running {
		return nil
	}
	if now.Sub(m.lastWord) > m.opts.Timeouts.MaxIdle {
		return m.lose(now, fault.UpstreamLost, "no word from the agent")
	}
	if m.pace.silent(now, m.opts.Timeouts) {
		return m.lose(now, fault.UpstreamLost, "no token within the engine's own cadence")
	}
	if m.pace.behind(now) > m.opts.Timeouts.MaxDelay && m.opts.MayMove != nil && m.opts.MayMove() {
		return m.lose(now, fault.UpstreamLost, "the engine has become slow")
	}
	return nil
}
