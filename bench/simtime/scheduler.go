// Package simtime runs events in simulated time, in one goroutine and in a reproducible order.
//
// # Usage
//
//	s := simtime.New()
//	s.After(time.Second, func() { ... })
//	s.Run(10 * time.Second)
package simtime

import (
	"container/heap"
	"time"
)

// Scheduler runs events in the order of simulated time.
type Scheduler struct {
	start  time.Time
	now    time.Time
	events eventQueue
	seq    int
}

// New returns a scheduler without events.
func New() *Scheduler {
	start := time.Unix(0, 0)
	return &Scheduler{start: start, now: start}
}

// Now returns the simulated time.
func (s *Scheduler) Now() time.Time { return s.now }

// Elapsed returns the simulated time since the start.
func (s *Scheduler) Elapsed() time.Duration { return s.now.Sub(s.start) }

// After adds an event that runs after a delay.
func (s *Scheduler) After(delay time.Duration, run func()) { s.At(s.now.Add(delay), run) }

// At adds an event that runs at a time, or now if that has passed.
func (s *Scheduler) At(at time.Time, run func()) {
	if at.Before(s.now) {
		at = s.now
	}
	s.seq++
	heap.Push(&s.events, scheduledEvent{at, s.seq, run})
}

// Run runs all events up to the given time since the start.
func (s *Scheduler) Run(until time.Duration) {
	end := s.start.Add(until)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next, _ := heap.Pop(&s.events).(scheduledEvent)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// RunAll runs all events.
func (s *Scheduler) RunAll() {
	for len(s.events) > 0 {
		next, _ := heap.Pop(&s.events).(scheduledEvent)
		s.now = next.at
		next.run()
	}
}
