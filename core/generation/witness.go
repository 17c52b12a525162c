package generation

import (
	"slices"
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/journal"
)

// appendNext sends the witness the tokens that it lacks. Only one append is in flight at a time, so that tokens arriving
// meanwhile are sent as one batch.
func (m *Machine) appendNext(cmds []Command) []Command {
	if m.inFlight || m.done {
		return cmds
	}
	if m.Witness() == "" {
		return cmds
	}
	length := uint32(len(m.tokens))
	final := m.finishReason != "" && !m.finalSent
	if m.witnessOpened && m.witnessed == length && !final {
		return cmds
	}
	e := journal.Entry{Key: m.key, Attempt: m.attempt, Owner: m.opts.Owner}
	if m.witnessOpened {
		e.First = m.witnessed
		e.Tokens = slices.Clone(m.tokens[m.witnessed:])
	} else {
		e.Open = &journal.Open{Prompt: m.prompt, BodyHash: m.bodyHash, Tokens: slices.Clone(m.tokens)}
		e.First = length
	}
	e.FinishReason = m.finishReason
	m.finalSent = e.FinishReason != ""
	m.inFlight = true
	m.appendNumber++
	return append(cmds, Append{m.appendNumber, m.Witness(), e})
}

func (m *Machine) witnessAnswered(now time.Time, e WitnessAnswered) []Command {
	if e.Append != m.appendNumber || !m.inFlight {
		return nil
	}
	m.inFlight = false
	switch e.Refusal {
	case journal.Accepted:
		return m.witnessAccepted(now, e)
	case journal.Superseded:
		return m.fail(fault.Superseded, "claimed by another router", nil)
	case journal.Unknown, journal.Gap:
		m.witnessOpened = false
		m.finalSent = false
		return m.appendNext(nil)
	case journal.Full, journal.Diverged:
		return m.nextWitness(now)
	}
	return m.nextWitness(now)
}

func (m *Machine) witnessAccepted(now time.Time, e WitnessAnswered) []Command {
	m.witnessOpened = true
	m.witnessedAt = now
	m.witnessed = max(m.witnessed, min(e.Length, uint32(len(m.tokens))))
	var cmds []Command
	if m.witnessed > m.revealed {
		m.revealed = m.witnessed
		cmds = append(cmds, Reveal{m.revealed})
	}
	if e.Final {
		m.done = true
		return append(cmds, Complete{m.finishReason})
	}
	if !m.started {
		m.started = true
		cmds = m.startAttempt(now, cmds, false)
	}
	return m.appendNext(cmds)
}

func (m *Machine) witnessLost(now time.Time, e WitnessLost) []Command {
	if e.Append != m.appendNumber || !m.inFlight {
		return nil
	}
	m.inFlight = false
	return m.nextWitness(now)
}

// nextWitness sends the whole journal to the next candidate. Tokens already revealed stay revealed.
func (m *Machine) nextWitness(now time.Time) []Command {
	m.witnessIndex++
	m.witnessOpened = false
	m.finalSent = false
	m.witnessed = 0
	if m.Witness() == "" {
		return m.refreshWitnesses(now)
	}
	return m.appendNext(nil)
}

// refreshWitnesses gets new candidates after all have been lost, as happens in a rolling replacement of VMs. An
// answer that has not started fails; one in progress keeps trying until Timeouts.NoProgress.
func (m *Machine) refreshWitnesses(now time.Time) []Command {
	if m.opts.MoreWitnesses != nil && m.started {
		m.opts.Witnesses = m.opts.MoreWitnesses()
		m.witnessIndex = 0
	}
	if m.Witness() != "" {
		return m.appendNext(nil)
	}
	if !m.started || m.opts.MoreWitnesses == nil || now.Sub(m.witnessedAt) > m.opts.Timeouts.NoProgress {
		return m.fail(fault.NoWitness, "no witness is left", nil)
	}
	return nil
}
