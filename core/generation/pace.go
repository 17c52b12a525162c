package generation

import "time"

const (
	// paceWeight is the share of a new sample in the running mean of the time between tokens, as a divisor.
	paceWeight = 8
	// paceSamples is the number of tokens after which the running mean can be relied on.
	paceSamples = 8
	// allowance is the factor on the usual time between tokens that counts as normal.
	allowance = 3
)

// pace follows the time between the tokens of an answer, and tells dead engines from slow ones.
type pace struct {
	last    time.Time
	mean    time.Duration
	best    time.Duration
	samples int
	// debt is the time by which the current attempt is behind its allowance.
	debt time.Duration
}

// begin starts a new attempt; what was learned of the answer's usual pace is kept.
func (p *pace) begin() {
	p.last = time.Time{}
	p.samples = 0
	p.mean = 0
	p.debt = 0
}

// note takes the arrival of n tokens.
func (p *pace) note(now time.Time, n int) {
	if p.last.IsZero() {
		p.last = now
		return
	}
	gap := now.Sub(p.last)
	p.last = now
	p.debt = max(0, p.debt+gap-p.allowed()*time.Duration(n))
	sample := gap / time.Duration(n)
	if p.samples == 0 {
		p.mean = sample
	}
	p.mean += (sample - p.mean) / paceWeight
	p.samples += n
	if p.samples >= paceSamples {
		p.learn(p.mean)
	}
}

// learn lowers the pace to be met: the best that the answer has had, or its model's usual one.
func (p *pace) learn(cadence time.Duration) {
	if cadence > 0 && (p.best == 0 || cadence < p.best) {
		p.best = cadence
	}
}

// allowed is the time that one token may take; while no pace is known, everything is.
func (p *pace) allowed() time.Duration {
	if p.best == 0 {
		return time.Hour
	}
	return p.best * allowance
}

// behind returns how far the attempt is behind, the token that is awaited now included.
func (p *pace) behind(now time.Time) time.Duration {
	if p.last.IsZero() {
		return 0
	}
	return max(0, p.debt+now.Sub(p.last)-p.allowed())
}

// silent tells whether the awaited token is so late that the engine counts as dead.
func (p *pace) silent(now time.Time, t Timeouts) bool {
	if p.last.IsZero() {
		return false
	}
	gap := min(max(p.mean*time.Duration(t.GapFactor), t.MinTokenGap), t.MaxTokenGap)
	return now.Sub(p.last) > gap
}
