package placement

import "time"

// tokenTimeWeight is the weight of one generation in the running mean; the load of the engines changes within some
// generations.
const tokenTimeWeight = 0.1

// TokenTime is the running mean of the time per output token over all engines. The zero value holds no measurement.
type TokenTime struct{ mean time.Duration }

// Record records the time that a number of output tokens took.
func (t *TokenTime) Record(taken time.Duration, tokens int) {
	if tokens <= 0 {
		return
	}
	perToken := taken / time.Duration(tokens)
	if t.mean == 0 {
		t.mean = perToken
		return
	}
	t.mean += time.Duration(tokenTimeWeight * float64(perToken-t.mean))
}

// Ratio returns the time that a number of output tokens took relative to the mean, or zero without measurements.
func (t *TokenTime) Ratio(taken time.Duration, tokens int) float64 {
	if t.mean == 0 || tokens <= 0 {
		return 0
	}
	return float64(taken) / float64(t.mean*time.Duration(tokens))
}

// GenerationTime predicts the duration of a generation that is placed now: prefill, then decoding.
func (t *TokenTime) GenerationTime(m EngineModel, req Request) time.Duration {
	perToken := t.mean
	if perToken == 0 {
		perToken = m.UsualTokenTime()
	}
	return m.TimeToFirstEvent(Work{}, req.Prompt, 1) + time.Duration(req.Output)*perToken
}

// UsualTokenTime returns the time per output token of an engine in usual use.
func (m EngineModel) UsualTokenTime() time.Duration {
	return m.Step + time.Duration(m.Slots/assumedLoadDivisor)*m.StepPerRun
}

// assumedLoadDivisor gives the share of an engine's slots that is assumed to be in use without measurements: one in this
// many.
const assumedLoadDivisor = 8
