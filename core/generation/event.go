package generation

import (
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
)

// Event is an input of the machine.
type Event interface{ isEvent() }

// TokensArrived reports tokens received from an attempt; First is the index of the first one.
type TokensArrived struct {
	Attempt ids.Attempt
	First   uint32
	Tokens  []string
}

// AttemptAlive reports that the agent of an attempt still sees its upstream working.
type AttemptAlive struct{ Attempt ids.Attempt }

// AttemptFinished reports that an attempt completed the answer, which has Total tokens including the prefix. Reason is the
// finish reason.
type AttemptFinished struct {
	Attempt ids.Attempt
	Total   uint32
	Reason  string
}

// AttemptFailed reports that an attempt ended without completing the answer.
type AttemptFailed struct {
	Attempt ids.Attempt
	Code    fault.Code
	Detail  string
}

// WitnessAnswered reports a witness's reply to the append with number Append. Length is the length of the witness's
// journal in tokens. Final is set if the append contained the finish reason.
type WitnessAnswered struct {
	Append  uint64
	Length  uint32
	Final   bool
	Refusal journal.Refusal
}

// WitnessLost reports that the witness did not reply to the append with number Append.
type WitnessLost struct{ Append uint64 }

// CallerDisconnected reports that the caller has disconnected.
type CallerDisconnected struct{}

// CallerReconnected reports that a caller has reconnected.
type CallerReconnected struct{}

// Tick makes the machine check its timeouts.
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

// Timeouts are the time limits of a machine.
type Timeouts struct {
	// MaxIdle is the longest time without a new token or AttemptAlive from the attempt's agent.
	MaxIdle time.Duration
	// MaxTokenGap is the upper limit of the time to wait for the next token.
	MaxTokenGap time.Duration
	// GapFactor times the mean time between tokens is the time to wait for the next one, within MinTokenGap and MaxTokenGap.
	GapFactor int
	// MinTokenGap is the lower limit of the time to wait for the next token.
	MinTokenGap time.Duration
	// CallerGrace is how long an answer goes on after its caller has disconnected.
	CallerGrace time.Duration
	// NoProgress is how long an answer may go without a new token or a witness before it fails.
	NoProgress time.Duration
	// MaxDelay is the delay beyond the allowed time per token after which the answer moves to another upstream.
	MaxDelay time.Duration
}
