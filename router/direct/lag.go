package direct

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/event"
)

const (
	// lagTick is the pause between two measures of the process's lag.
	lagTick = 50 * time.Millisecond
	// lagWeight is the weight of a measure in the running mean: a second of lag counts, a moment does not.
	lagWeight = 0.1
	// lagHigh is the lag from which a router is better given no further callers, lagLow that below which it serves well again.
	// The events of a stream pass through it twice within the 120 ms that they may take.
	lagHigh = 30 * time.Millisecond
	lagLow  = 10 * time.Millisecond
)

// lagMeter measures how late the process gets its turn: a VM that is slow, or whose processor is taken up, serves others'
// callers worse than other routers would.
type lagMeter struct {
	clock clockwork.Clock
	log   *event.Log
	usual time.Duration
	high  atomic.Bool
}

// run measures until the context ends.
func (m *lagMeter) run(ctx context.Context) {
	for {
		due := m.clock.Now().Add(lagTick)
		select {
		case <-ctx.Done():
			return
		case <-m.clock.After(lagTick):
		}
		m.note(m.clock.Since(due))
	}
}

// note takes one measure.
func (m *lagMeter) note(late time.Duration) {
	m.usual += time.Duration(lagWeight * float64(max(0, late)-m.usual))
	switch {
	case m.usual >= lagHigh && !m.high.Load():
		m.high.Store(true)
		m.log.Write(event.Slowed, "lag", m.usual.String())
	case m.usual <= lagLow && m.high.Load():
		m.high.Store(false)
		m.log.Write(event.Quickened, "lag", m.usual.String())
	}
}
