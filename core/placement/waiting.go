package placement

import "time"

const (
	// slowSign is the slowness from which an engine's prompts are moved: neighbours slow an engine by less for more than a
	// moment, and a prompt that is read twice is costly.
	slowSign = 2
	// hungFactor and hungTime are added up for the time after which a first event is no longer expected.
	hungFactor = 3
	hungTime   = time.Second
	// moveMargin is left beyond what another engine is expected to take; half of the prompts take over 1.3 times as long.
	moveMargin = 1.3
)

// PendingPrompt is a prompt whose first event has not come yet.
type PendingPrompt struct {
	// Elapsed is the time since it was placed, Predicted the time that was predicted then.
	Elapsed   time.Duration
	Predicted time.Duration
	// Slowness is that of its engine at present.
	Slowness float64
	// TimeLeft is the time until a first event is no longer on time.
	TimeLeft time.Duration
}

// IsSuspected tells whether the engine hangs or is known to be slow, without which the prompt stays.
func (w PendingPrompt) IsSuspected() bool { return w.hangs() || w.Slowness >= slowSign }

func (w PendingPrompt) hangs() bool { return w.Elapsed >= hungFactor*w.Predicted+hungTime }

// ShouldMove tells whether the prompt is better begun at another engine, which is expected to read it within the given time: when
// this one hangs, or is known to be so slow that only the other may be on time.
func (w PendingPrompt) ShouldMove(other time.Duration) bool {
	if w.hangs() {
		return true
	}
	if !w.IsSuspected() {
		return false
	}
	here := time.Duration(w.Slowness*float64(w.Predicted)) - w.Elapsed
	there := time.Duration(moveMargin * float64(other))
	return here > w.TimeLeft && here > there && there < w.TimeLeft
}
