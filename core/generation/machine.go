// Package generation implements the state machine of one answer: its attempts on upstreams, the replication of its
// journal to a witness, and the release of its tokens to the caller.
//
// The machine does no I/O: it maps an event and the current time to commands. A token is accepted only from the current
// attempt and only at the next index, and is revealed only after the witness has stored it. A lost attempt is replaced
// by one that continues exactly the accepted tokens. A lost witness is replaced by the next candidate, which first
// receives the whole journal.
//
// # Usage
//
//	m := generation.New(opts)
//	for _, c := range m.Start(now) { execute(c) }
//	for _, c := range m.Handle(now, event) { execute(c) }
package generation

import (
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
)

// Options configure a machine. A journal that has tokens or an attempt above zero is continued.
type Options struct {
	Journal journal.Journal
	Owner   ids.Owner
	// Witnesses are the candidates, in order of preference.
	Witnesses []ids.VM
	Timeouts  Timeouts
	// MaxResumes is the largest number of attempts that may replace a lost one.
	MaxResumes int
	// MoreWitnesses returns new candidates after all of Witnesses have failed. It may be nil.
	MoreWitnesses func() []ids.VM
	// ExpectedTokenGap is the usual time between tokens of the answer's model, or zero if unknown.
	ExpectedTokenGap time.Duration
	// MayMove permits one move away from a slow upstream if it returns true. If nil, the answer never moves.
	MayMove func() bool
}

// Machine is the state machine of one answer. It is not safe for concurrent use.
type Machine struct {
	opts     Options
	key      ids.RequestKey
	prompt   journal.Prompt
	bodyHash uint64

	attempt ids.Attempt
	running bool
	// started is set once an attempt has started here, or if the journal was finished from the start.
	started bool
	// mayHaveRun is set once work may have run; from then on no fault may claim that it did not.
	mayHaveRun  bool
	tokens      []string
	lastEventAt time.Time
	// progressAt is when the answer was started or last got closer to its end.
	progressAt time.Time
	// witnessedAt is when a witness last accepted an append.
	witnessedAt time.Time
	// retryAt is when the next attempt starts after one that did not run, or zero.
	retryAt time.Time
	cadence cadence

	witnessIndex int
	// witnessOpened is set once the current witness has the journal.
	witnessOpened bool
	inFlight      bool
	appendNumber  uint64
	// witnessed is the number of tokens that the current witness has stored, revealed that of the tokens released to the caller.
	witnessed uint32
	revealed  uint32

	finishReason string
	// finalSent is set once the finish reason was sent to the current witness.
	finalSent    bool
	done         bool
	resumesLeft  int
	callerGone   bool
	callerLeftAt time.Time

	preemptions int

	// Resumed is the number of attempts that replaced a lost one.
	Resumed int
	// LateEvents is the number of dropped events of earlier attempts.
	LateEvents int
}

// New returns a machine that generates or continues o.Journal.
func New(o Options) *Machine {
	return &Machine{
		opts: o, key: o.Journal.Key, prompt: o.Journal.Prompt, bodyHash: o.Journal.BodyHash,
		attempt: o.Journal.Attempt, tokens: o.Journal.Tokens, finishReason: o.Journal.FinishReason,
		resumesLeft: o.MaxResumes,
	}
}

// Tokens returns all accepted tokens, including those not yet revealed.
func (m *Machine) Tokens() []string { return m.tokens }

// Revealed returns the number of tokens released to the caller.
func (m *Machine) Revealed() uint32 { return m.revealed }

// Attempt returns the current attempt.
func (m *Machine) Attempt() ids.Attempt { return m.attempt }

// Done reports whether the answer has completed or failed.
func (m *Machine) Done() bool { return m.done }

// Witness returns the current witness, or the empty ID if no candidate is left.
func (m *Machine) Witness() ids.VM {
	if m.witnessIndex >= len(m.opts.Witnesses) {
		return ""
	}
	return m.opts.Witnesses[m.witnessIndex]
}

// Start returns the initial commands, which send the journal to the witness. The first attempt starts only after the
// witness has stored it, so that a no_witness fault guarantees that nothing ran.
func (m *Machine) Start(now time.Time) []Command {
	m.progressAt = now
	m.started = m.finishReason != ""
	m.cadence.lowerExpected(m.opts.ExpectedTokenGap)
	m.mayHaveRun = m.attempt > 0
	if m.attempt == 0 {
		m.attempt = 1
	}
	return m.appendNext(nil)
}

// Handle processes one event. After the machine is done it returns nil.
func (m *Machine) Handle(now time.Time, e Event) []Command {
	if m.done {
		return nil
	}
	switch e := e.(type) {
	case TokensArrived:
		return m.tokensArrived(now, e)
	case AttemptAlive:
		m.attemptAlive(now, e.Attempt)
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

func (m *Machine) startAttempt(now time.Time, cmds []Command, afterLoss bool) []Command {
	m.running = true
	m.lastEventAt = now
	m.cadence.reset()
	return append(cmds, StartAttempt{m.attempt, uint32(len(m.tokens)), afterLoss, m.preemptions < maxPreemptions})
}

func (m *Machine) attemptAlive(now time.Time, a ids.Attempt) {
	if a == m.attempt {
		m.lastEventAt = now
		m.mayHaveRun = true
	}
}

// tokensArrived accepts the next tokens and skips duplicates. A gap means that the stream lost tokens, so the attempt is
// replaced.
func (m *Machine) tokensArrived(now time.Time, e TokensArrived) []Command {
	if e.Attempt != m.attempt || !m.running {
		m.LateEvents++
		return nil
	}
	length := uint32(len(m.tokens))
	if e.First > length {
		return m.replaceAttempt(now, fault.UpstreamLost, "gap in the token stream")
	}
	skip := min(length-e.First, uint32(len(e.Tokens)))
	fresh := e.Tokens[skip:]
	if len(fresh) == 0 {
		return nil
	}
	m.mayHaveRun = true
	m.lastEventAt = now
	m.cadence.record(now, len(fresh))
	m.tokens = append(m.tokens, fresh...)
	m.progressAt = now
	return m.appendNext(nil)
}

func (m *Machine) attemptFinished(now time.Time, e AttemptFinished) []Command {
	if e.Attempt != m.attempt || !m.running {
		m.LateEvents++
		return nil
	}
	if e.Total != uint32(len(m.tokens)) {
		return m.replaceAttempt(now, fault.UpstreamLost, "end does not match the tokens")
	}
	m.running = false
	m.progressAt = now
	m.finishReason = e.Reason
	return m.appendNext(nil)
}

func (m *Machine) tick(now time.Time) []Command {
	if m.callerGone && now.Sub(m.callerLeftAt) >= m.opts.Timeouts.CallerGrace {
		return m.fail(fault.Superseded, "the caller left", nil)
	}
	if m.Witness() == "" {
		return m.refreshWitnesses(now)
	}
	if !m.running && m.finishReason == "" && !m.retryAt.IsZero() && !now.Before(m.retryAt) {
		m.retryAt = time.Time{}
		m.attempt++
		return m.startAttempt(now, nil, true)
	}
	if !m.running {
		return nil
	}
	if now.Sub(m.lastEventAt) > m.opts.Timeouts.MaxIdle {
		return m.replaceAttempt(now, fault.UpstreamLost, "no word from the agent")
	}
	if m.cadence.stalled(now, m.opts.Timeouts) {
		return m.replaceAttempt(now, fault.UpstreamLost, "no token within the engine's own cadence")
	}
	if m.cadence.currentDelay(now) > m.opts.Timeouts.MaxDelay && m.opts.MayMove != nil && m.opts.MayMove() {
		return m.replaceAttempt(now, fault.UpstreamLost, "the engine has become slow")
	}
	return nil
}
