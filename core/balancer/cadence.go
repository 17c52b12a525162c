package balancer

import (
	"math"
	"time"
)

// cadenceHalfLife is the time in which a measured time between tokens loses half of its weight while no token comes.
const cadenceHalfLife = 2 * time.Second

// minCadence is the time between tokens below which a measure counts as forgotten.
const minCadence = time.Millisecond

// DecayedCadence returns what a measured time between tokens counts for after an idle time. Without the fading, an
// upstream that was slow once would get no work, and so could never show that it has recovered; forgetting at once
// would send it a burst of work while it is still slow.
func DecayedCadence(measured, idle time.Duration) time.Duration {
	if idle <= cadenceHalfLife {
		return measured
	}
	faded := time.Duration(float64(measured) * math.Exp2(1-float64(idle)/float64(cadenceHalfLife)))
	if faded < minCadence {
		return 0
	}
	return faded
}
