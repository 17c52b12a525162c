package direct

import (
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/boottime"
)

// bootClock is a boot clock of a machine that is not suspended unless suspended is set.
type bootClock struct {
	clock     clockwork.Clock
	startedAt time.Time
	suspended time.Duration
}

func newBootClock(clock clockwork.Clock) *bootClock {
	return &bootClock{clock: clock, startedAt: clock.Now().Add(-time.Minute)}
}

// Now returns the time since the machine was started.
func (c *bootClock) Now() boottime.Instant {
	return boottime.Instant(c.clock.Since(c.startedAt) + c.suspended)
}
