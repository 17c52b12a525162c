package generation

import (
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// TokensArrived reports tokens of an attempt, the first of them at index First.
type TokensArrived struct {
	Attempt ids.Attempt
	First   uint32
	Tokens  []string
}

// AttemptAlive reports that an attempt's agent still sees its upstream work.
type AttemptAlive struct{ Attempt ids.Attempt }

// AttemptFinished reports the end of an attempt at Total tokens.
type AttemptFinished struct {
	Attempt ids.Attempt
	Total   uint32
	Reason  string
}

// AttemptFailed reports that an attempt ended without its answer.
type AttemptFailed struct {
	Attempt ids.Attempt
	Code    fault.Code
	Detail  string
}

// WitnessAnswered reports a witness's answer to the append of that number.
type WitnessAnswered struct {
	Append  uint64
	Length  uint32
	Final   bool
	Refusal journal.Refusal
}

// WitnessLost reports that a witness did not answer the append of that number.
type WitnessLost struct{ Append uint64 }

// CallerDisconnected reports that the caller's connection ended.
type CallerDisconnected struct{}

// CallerReconnected reports that a caller attached again.
type CallerReconnected struct{}

// Tick reports the passing of time.
type Tick struct{}

func (TokensArrived) isEvent()      {}
func (AttemptAlive) isEvent()       {}
func (AttemptFinished) isEvent()    {}
func (AttemptFailed) isEvent()      {}
func (WitnessAnswered) isEvent()    {}
func (WitnessLost) isEvent()        {}
func (CallerDisconnected) isEvent() {}
func (CallerReconnected) isEvent()  {}
func (Tick) isEvent()               {}

// Timeouts bound the waits of a machine.
type Timeouts struct {
	MaxIdle     time.Duration
	MaxTokenGap time.Duration
	GapFactor   int
	MinTokenGap time.Duration
	CallerGrace time.Duration
	NoProgress  time.Duration
	// MaxDelay is the time by which an attempt may fall behind its allowance before the answer moves elsewhere.
	MaxDelay time.Duration
}
