package generation

import "time"

const (
	// meanWeightDivisor is the inverse of a new sample's weight in the running mean of the time between tokens.
	meanWeightDivisor = 8
	// minSamples is the number of tokens from which on the running mean is reliable.
	minSamples = 8
	// allowedFactor times the expected time between tokens still counts as normal speed.
	allowedFactor = 3
)

// cadence tracks the time between the tokens of an answer, to distinguish dead engines from slow ones.
type cadence struct {
	lastTokenAt time.Time
	mean        time.Duration
	expected    time.Duration
	samples     int
	// delay is the accumulated time of the current attempt beyond the allowed time per token.
	delay time.Duration
}

// reset prepares for a new attempt. The expected time between tokens is kept.
func (c *cadence) reset() {
	c.lastTokenAt = time.Time{}
	c.samples = 0
	c.mean = 0
	c.delay = 0
}

// record records the arrival of n tokens.
func (c *cadence) record(now time.Time, n int) {
	if c.lastTokenAt.IsZero() {
		c.lastTokenAt = now
		return
	}
	gap := now.Sub(c.lastTokenAt)
	c.lastTokenAt = now
	c.delay = max(0, c.delay+gap-c.allowed()*time.Duration(n))
	sample := gap / time.Duration(n)
	if c.samples == 0 {
		c.mean = sample
	}
	c.mean += (sample - c.mean) / meanWeightDivisor
	c.samples += n
	if c.samples >= minSamples {
		c.lowerExpected(c.mean)
	}
}

// lowerExpected lowers the expected time between tokens to interval if that is shorter. The expected time is the shortest
// mean that the answer has reached, or the usual one of its model.
func (c *cadence) lowerExpected(interval time.Duration) {
	if interval > 0 && (c.expected == 0 || interval < c.expected) {
		c.expected = interval
	}
}

// allowed returns the time that one token may take. While no cadence is known, an hour stands for no limit.
func (c *cadence) allowed() time.Duration {
	if c.expected == 0 {
		return time.Hour
	}
	return c.expected * allowedFactor
}

// currentDelay returns the delay of the attempt, including that of the token it is waiting for.
func (c *cadence) currentDelay(now time.Time) time.Duration {
	if c.lastTokenAt.IsZero() {
		return 0
	}
	return max(0, c.delay+now.Sub(c.lastTokenAt)-c.allowed())
}

// stalled reports whether the next token is so late that the engine is considered dead.
func (c *cadence) stalled(now time.Time, t Timeouts) bool {
	if c.lastTokenAt.IsZero() {
		return false
	}
	gap := min(max(c.mean*time.Duration(t.GapFactor), t.MinTokenGap), t.MaxTokenGap)
	return now.Sub(c.lastTokenAt) > gap
}
