package direct

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/event"
)

const (
	// delayInterval is the interval between two measurements.
	delayInterval = 50 * time.Millisecond
	// delayWeight is the weight of a measurement in the moving average. A delay that lasts for a second has an effect, a short
	// one does not.
	delayWeight = 0.1
	// delayHigh is the delay from which the router reports that it is not ready, delayLow the one from which it is ready again.
	// An event of a stream may take 120 ms and incurs the delay twice.
	delayHigh = 30 * time.Millisecond
	delayLow  = 10 * time.Millisecond
)

// schedDelayMeter measures the scheduling delay of the process. A router on a VM that is slow or short of CPU serves callers
// worse than the other routers would.
type schedDelayMeter struct {
	clock clockwork.Clock
	log   *event.Log
	mean  time.Duration
	// high is set while the delay is too high for further callers.
	high atomic.Bool
}

// run measures the delay until ctx is done.
func (m *schedDelayMeter) run(ctx context.Context) {
	for {
		due := m.clock.Now().Add(delayInterval)
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(delayInterval):
		}
		m.observe(m.clock.Since(due))
	}
}

// observe adds one measurement and logs when the delay becomes high or low.
func (m *schedDelayMeter) observe(delay time.Duration) {
	m.mean += time.Duration(delayWeight * float64(max(0, delay)-m.mean))
	switch {
	case m.mean >= delayHigh && !m.high.Load():
		m.high.Store(true)
		m.log.Write(event.SchedulingDelayed, "lag", m.mean.String())
	case m.mean <= delayLow && m.high.Load():
		m.high.Store(false)
		m.log.Write(event.SchedulingRecovered, "lag", m.mean.String())
	}
}
