package placing

import "time"

// tokenTimeWeight is the weight of one generation in the running mean; the load of the engines changes within some
// generations.
const tokenTimeWeight = 0.1

// Pace is the running mean of the time per output token over all engines. The zero value holds no measurement.
type Pace struct{ mean time.Duration }

// Measured records the time that a number of output tokens took.
func (p *Pace) Measured(taken time.Duration, tokens int) {
	if tokens <= 0 {
		return
	}
	perToken := taken / time.Duration(tokens)
	if p.mean == 0 {
		p.mean = perToken
		return
	}
	p.mean += time.Duration(tokenTimeWeight * float64(perToken-p.mean))
}

// Ratio returns the time that a number of output tokens took relative to the mean, or zero without measurements.
func (p *Pace) Ratio(taken time.Duration, tokens int) float64 {
	if p.mean == 0 || tokens <= 0 {
		return 0
	}
	return float64(taken) / float64(p.mean*time.Duration(tokens))
}

// Expected predicts the duration of a generation that is placed now: prefill, then decoding.
func (p *Pace) Expected(m Model, n Need) time.Duration {
	perToken := p.mean
	if perToken == 0 {
		perToken = m.Step + time.Duration(m.Slots/assumedLoadDivisor)*m.StepPerRun
	}
	return m.FirstEvent(Work{}, n.Prompt, 1) + time.Duration(n.Output)*perToken
}

// assumedLoadDivisor gives the share of an engine's slots that is assumed to be in use without measurements: one in this
// many.
const assumedLoadDivisor = 8
