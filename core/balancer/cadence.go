package balancer

import (
	"math"
	"time"
)

// cadenceHalfLife is the half-life of a measured cadence while no token is generated.
const cadenceHalfLife = 2 * time.Second

// minCadence is the cadence below which a decayed measurement is dropped.
const minCadence = time.Millisecond

// DecayedCadence returns a measured cadence (time between tokens) decayed over an idle time, or zero once it has decayed
// fully. Without the decay, an upstream that was slow once would get no work and could never show that it has recovered;
// dropping the measurement at once would send it a burst of work while it is still slow.
func DecayedCadence(measured, idle time.Duration) time.Duration {
	if idle <= cadenceHalfLife {
		return measured
	}
	decayed := time.Duration(float64(measured) * math.Exp2(1-float64(idle)/float64(cadenceHalfLife)))
	if decayed < minCadence {
		return 0
	}
	return decayed
}
