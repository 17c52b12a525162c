package direct

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/shutdown"
)

// stopper follows a planned stop.
type stopper struct {
	clock  clockwork.Clock
	began  atomic.Pointer[time.Time]
	active atomic.Int64
	// limit is the time that a planned stop may take, in nanoseconds.
	limit atomic.Int64
}

func (s *stopper) enter() { s.active.Add(1) }
func (s *stopper) leave() { s.active.Add(-1) }

// begin starts the planned stop.
func (s *stopper) begin() {
	now := s.clock.Now()
	s.began.Store(&now)
}

// stopping tells that the planned stop has begun.
func (s *stopper) stopping() bool { return s.began.Load() != nil }

// stop returns where the planned stop stands, if there is one.
func (s *stopper) stop() (shutdown.Progress, bool) {
	began := s.began.Load()
	if began == nil {
		return shutdown.Progress{}, false
	}
	since := s.clock.Since(*began)
	return shutdown.Progress{Elapsed: since, Remaining: max(0, time.Duration(s.limit.Load())-stopMargin-since)}, true
}
