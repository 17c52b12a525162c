package generation

import (
	"time"

	"bilberrylug.dev/core/fault"
)

// maxPreemptions limits how often short requests may preempt one answer.
const maxPreemptions = 2

// retryDelay is the time between two attempts to find an upstream.
const retryDelay = 50 * time.Millisecond

func (m *Machine) attemptFailed(now time.Time, e AttemptFailed) []Command {
	if e.Attempt != m.attempt || !m.running {
		m.LateEvents++
		return nil
	}
	kind := fault.KindOf(e.Code)
	if kind.Claim == fault.NotRun && (kind.Retryable || mayBecomeAvailable(e.Code)) {
		return m.retryLater(now, e)
	}
	if !kind.Retryable {
		return m.fail(e.Code, e.Detail, nil)
	}
	if e.Code == fault.Preempted {
		m.preemptions++
		m.mayHaveRun = true
		m.attempt++
		return m.startAttempt(now, nil, false)
	}
	return m.replaceAttempt(now, e.Code, e.Detail)
}

// mayBecomeAvailable reports whether an upstream may be found later although none accepted the attempt now.
func mayBecomeAvailable(c fault.Code) bool {
	return c == fault.NoUpstream || c == fault.DeadlineExceeded
}

// retryLater schedules another attempt after retryDelay; it is called only if the failed attempt did not run. An answer
// that never ran fails at once, one in progress only after Timeouts.NoProgress.
func (m *Machine) retryLater(now time.Time, e AttemptFailed) []Command {
	if !m.mayHaveRun {
		return m.fail(e.Code, e.Detail, nil)
	}
	if now.Sub(m.progressAt) > m.opts.Timeouts.NoProgress {
		return m.fail(fault.ResumeExhausted, e.Detail, nil)
	}
	m.running = false
	m.retryAt = now.Add(retryDelay)
	return nil
}

// replaceAttempt cancels the current attempt and starts a new one, or fails the answer if no resume is left.
func (m *Machine) replaceAttempt(now time.Time, code fault.Code, detail string) []Command {
	cmds := []Command{CancelAttempt{m.attempt}}
	m.running = false
	m.mayHaveRun = true
	if m.resumesLeft == 0 {
		return m.fail(fault.ResumeExhausted, string(code)+": "+detail, cmds)
	}
	m.resumesLeft--
	m.Resumed++
	m.attempt++
	return m.startAttempt(now, cmds, true)
}

// fail ends the answer. If work may have run, a code that claims otherwise is replaced by resume_exhausted.
func (m *Machine) fail(code fault.Code, detail string, cmds []Command) []Command {
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
