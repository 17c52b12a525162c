package placement

import "time"

const (
	// slowThreshold is the slowness from which prompts are moved off an engine. A slowdown by noisy neighbours that lasts
	// longer than a moment stays below it, and processing a prompt twice is expensive.
	slowThreshold = 2
	// stallFactor (times the predicted time) and stallMargin add up to the time after which a first event is no longer
	// expected.
	stallFactor = 3
	stallMargin = time.Second
	// moveMargin is the factor on the predicted time at another engine; half of the prompts take over 1.3 times as long as
	// predicted.
	moveMargin = 1.3
)

// PendingPrompt is a prompt whose first event has not arrived yet.
type PendingPrompt struct {
	// Elapsed is the time since the prompt was placed, Predicted the time to its first event as predicted then.
	Elapsed   time.Duration
	Predicted time.Duration
	// Slowness is the current slowness of its engine.
	Slowness float64
	// TimeLeft is the time until the first event is late.
	TimeLeft time.Duration
}

// IsSuspected reports whether the engine has stalled or is known to be slow; otherwise the prompt is not moved.
func (p PendingPrompt) IsSuspected() bool { return p.stalled() || p.Slowness >= slowThreshold }

func (p PendingPrompt) stalled() bool { return p.Elapsed >= stallFactor*p.Predicted+stallMargin }

// ShouldMove reports whether the prompt should be restarted at another engine whose predicted time to the first event is
// given. It should if this engine has stalled, or is so slow that only the other one can still be on time.
func (p PendingPrompt) ShouldMove(other time.Duration) bool {
	if p.stalled() {
		return true
	}
	if !p.IsSuspected() {
		return false
	}
	here := time.Duration(p.Slowness*float64(p.Predicted)) - p.Elapsed
	there := time.Duration(moveMargin * float64(other))
	return here > p.TimeLeft && here > there && there < p.TimeLeft
}
