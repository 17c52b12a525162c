package direct

import (
	"errors"
	"maps"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/placement"
)

const (
	// maxMoves bounds how often a prompt leaves an engine that lives: each costs its reading.
	maxMoves = 2
	// paceEvents is the number of events between two looks at a run's pace, paceTime the shortest time that is measured:
	// neighbours slow an engine for some hundred milliseconds.
	paceEvents = 8
	paceTime   = 2 * time.Second
	// slowPace is the pace against the usual at which an engine counts as slow.
	slowPace = 3
)

var errSlow = errors.New("the upstream is much slower than others")

// awaitFirst decides whether a run whose first event has not come goes on; the error is that with which it ends.
func (s *stream) awaitFirst(r *run) error {
	if s.delivered > 0 || !r.from.None() {
		return nil
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	now := s.clock.Now()
	w := placement.PendingPrompt{
		Elapsed: now.Sub(r.began), Predicted: max(r.predicted, s.model.TimeToFirstEvent(placement.Work{}, s.need.Prompt, 1)),
		Slowness: s.picker.Slowness(r.at.ID, now) / r.slowness, TimeLeft: s.began.Add(s.route.TargetLatency).Sub(now),
	}
	if !w.IsSuspected() {
		return nil
	}
	tried := maps.Clone(s.tried)
	tried[r.at.ID] = true
	list, _ := s.hosts(tried, now)
	other, first, ok := s.picker.Pick(list, s.need, s.model, now)
	if !ok || other.Suspect || tried[other.ID] {
		return nil
	}
	if !w.ShouldMove(first) || !s.mayMove(now) {
		return nil
	}
	s.noteSlow(r, "first event is overdue", float64(w.Elapsed)/float64(w.Predicted), now)
	return errSlow
}

// notePace looks at the pace of a run, and notes an engine that is slow. What is measured while prompts are read beside it says
// nothing.
func (s *stream) notePace(r *run) {
	e := s.service.Engine
	if e == nil || r.silence.events%paceEvents != 0 {
		return
	}
	now := s.clock.Now()
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	if s.picker.WorkAt(r.at.ID, now).PendingPrefill > 0 || r.paceFrom.IsZero() {
		r.paceFrom, r.paceAt = now, r.silence.events
		return
	}
	taken, events := now.Sub(r.paceFrom), r.silence.events-r.paceAt
	if taken < paceTime {
		return
	}
	r.paceFrom, r.paceAt = now, r.silence.events
	if ratio := s.pace.Ratio(taken, events*e.EventTokens); ratio >= slowPace {
		s.noteSlow(r, "pace of a run", ratio, now)
	}
}

// noteSlow notes a sign of a slow engine. The caller holds the world's lock.
func (s *stream) noteSlow(r *run, sign string, ratio float64, now time.Time) {
	if s.picker.RecordSlowness(r.at.ID, ratio, now) {
		s.log.Write(event.UpstreamSlow, "upstream", r.at.ID, "request", s.req.ID, "sign", sign, "slowness", ratio)
	}
}

// mayMove tells whether the prompt may leave an engine that lives. The caller holds the world's lock.
func (s *stream) mayMove(now time.Time) bool {
	if s.moves >= maxMoves || !s.route.Retryable() || s.attempts-s.refusals >= s.route.MaxAttempts {
		return false
	}
	s.granted = s.budget.AllowRetry(s.service.Name, now, s.picker.Routers)
	if s.granted {
		s.moves++
	}
	return s.granted
}
