package direct

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/shutdown"
)

// shutdownTracker tracks the progress of a graceful shutdown and the number of active requests.
type shutdownTracker struct {
	clock   clockwork.Clock
	beganAt atomic.Pointer[time.Time]
	// begun is closed when the graceful shutdown begins.
	makeBegun, closeBegun sync.Once
	begun                 chan struct{}
	// closing is set once no further requests are accepted.
	closing atomic.Bool
	// cutting is set once the requests that are left are ended because the time for the shutdown is over.
	cutting atomic.Bool
	active  atomic.Int64
	// limit bounds a graceful shutdown, in nanoseconds.
	limit atomic.Int64
}

func (s *shutdownTracker) add()  { s.active.Add(1) }
func (s *shutdownTracker) done() { s.active.Add(-1) }

// begin starts the graceful shutdown.
func (s *shutdownTracker) begin() {
	now := s.clock.Now()
	s.beganAt.Store(&now)
	s.started()
	s.closeBegun.Do(func() { close(s.begun) })
}

// started returns a channel that is closed when the graceful shutdown begins.
func (s *shutdownTracker) started() <-chan struct{} {
	s.makeBegun.Do(func() { s.begun = make(chan struct{}) })
	return s.begun
}

// close makes the router refuse all further requests.
func (s *shutdownTracker) close() { s.closing.Store(true) }

// stopping reports whether the graceful shutdown has begun.
func (s *shutdownTracker) stopping() bool { return s.beganAt.Load() != nil }

// status returns the progress of the graceful shutdown, and whether it has begun. Remaining excludes shutdownMargin.
func (s *shutdownTracker) status() (shutdown.Progress, bool) {
	beganAt := s.beganAt.Load()
	if beganAt == nil {
		return shutdown.Progress{}, false
	}
	elapsed := s.clock.Since(*beganAt)
	return shutdown.Progress{Elapsed: elapsed, Remaining: max(0, time.Duration(s.limit.Load())-shutdownMargin-elapsed)}, true
}
