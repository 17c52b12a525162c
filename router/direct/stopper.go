package direct

import (
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// lastWork is the time before the process ends in which no work is taken on: a call takes up to two seconds.
const lastWork = 2500 * time.Millisecond

// stopper follows a planned stop.
type stopper struct {
	clock  clockwork.Clock
	began  atomic.Pointer[time.Time]
	active atomic.Int64
	// longWork is the time from the stop's begin in which long work is still taken on.
	longWork time.Duration
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

// closing tells that long work would not end before the process does.
func (s *stopper) closing() bool {
	began := s.began.Load()
	return began != nil && s.clock.Since(*began) > s.longWork
}

// full tells that no further work is taken on, so that what was taken on ends before the process does.
func (s *stopper) full() bool {
	began := s.began.Load()
	return began != nil && s.clock.Since(*began) > time.Duration(s.limit.Load())-lastWork
}

// since is the time since the stop's begin.
func (s *stopper) since() time.Duration { return s.clock.Since(*s.began.Load()) }
