package direct

import (
	"errors"
	"maps"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/placement"
)

const (
	// maxPromptMoves bounds how often a prompt is moved away from a running engine. Each move repeats the prefill.
	maxPromptMoves = 2
	// paceCheckEvents is the number of events between two checks of a run's output rate, minPaceTime the shortest time over
	// which it is measured: noisy neighbours slow an engine for a few hundred milliseconds.
	paceCheckEvents = 8
	minPaceTime     = 2 * time.Second
	// slowPaceRatio is the ratio of a run's time per event to the mean, from which its engine counts as slow.
	slowPaceRatio = 3
)

var errUpstreamSlow = errors.New("the upstream is much slower than others")

// checkFirstEvent returns errUpstreamSlow if a run without a first event should be moved to another engine, and nil
// otherwise.
func (s *stream) checkFirstEvent(r *run) error {
	if s.delivered > 0 || r.resumeFrom != nil {
		return nil
	}
	alt, overdue, ok := s.fasterUpstream(r)
	if !ok || !s.prober.alive(alt) {
		return nil
	}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	now := s.clock.Now()
	if !s.mayMove(now) {
		return nil
	}
	s.recordSlow(r, "first event overdue", overdue, now)
	return errUpstreamSlow
}

// fasterUpstream returns the engine on which the first event of a run is expected much sooner, if there is one, and how many times the
// predicted time has passed.
func (s *stream) fasterUpstream(r *run) (alt fleet.Upstream, overdue float64, ok bool) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	now := s.clock.Now()
	p := placement.PendingPrompt{
		Elapsed:   now.Sub(r.placedAt),
		Predicted: max(r.predicted, s.model.TimeToFirstEvent(placement.Work{}, s.placementReq.Prompt, 1)),
		Slowness:  s.picker.Slowness(r.upstream.ID, now) / r.slowness,
		TimeLeft:  s.arrivedAt.Add(s.route.TargetLatency).Sub(now),
	}
	if !p.IsSuspected() || s.promptMoves >= maxPromptMoves {
		return fleet.Upstream{}, 0, false
	}
	tried := maps.Clone(s.tried)
	tried[r.upstream.ID] = true
	list := s.runCandidates(tried, "", now)
	c, predicted, ok := s.picker.Pick(list.candidates, s.placementReq, s.model, now)
	if !ok || list.delay > 0 || c.Suspect || tried[c.ID] || !p.ShouldMove(predicted) {
		return fleet.Upstream{}, 0, false
	}
	return list.get(c.ID), float64(p.Elapsed) / float64(p.Predicted), true
}

// checkPace checks the output rate of a run and records a slow engine. Measurements taken while the engine also processes
// prompts are discarded.
func (s *stream) checkPace(r *run) {
	e := s.service.Engine
	if e == nil || r.stall.events%paceCheckEvents != 0 {
		return
	}
	now := s.clock.Now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if s.picker.WorkAt(r.upstream.ID, now).PendingPrefill > 0 || r.paceCheckedAt.IsZero() {
		r.paceCheckedAt, r.paceCheckedEvents = now, r.stall.events
		return
	}
	elapsed, events := now.Sub(r.paceCheckedAt), r.stall.events-r.paceCheckedEvents
	if elapsed < minPaceTime {
		return
	}
	r.paceCheckedAt, r.paceCheckedEvents = now, r.stall.events
	if ratio := s.tokenTime.Ratio(elapsed, events*e.EventTokens); ratio >= slowPaceRatio {
		s.recordSlow(r, "low output rate", ratio, now)
	}
}

// recordSlow records an observation of a slow engine. The caller must hold s.state.mu.
func (s *stream) recordSlow(r *run, reason string, ratio float64, now time.Time) {
	if s.picker.RecordSlowness(r.upstream.ID, ratio, now) {
		s.log.Write(event.UpstreamSlow, "upstream", r.upstream.ID, "request", s.req.ID, "sign", reason, "slowness", ratio)
	}
}

// mayMove reports whether the prompt may be moved away from a running engine, and charges the move to the retry budget. The
// caller must hold s.state.mu.
func (s *stream) mayMove(now time.Time) bool {
	if s.promptMoves >= maxPromptMoves || !s.route.Retryable() || s.runs() >= s.route.MaxAttempts {
		return false
	}
	if !s.budget.AllowRetry(s.service.Name, now, s.picker.Routers) {
		s.chargedAt = time.Time{}
		return false
	}
	s.chargedAt = now
	s.promptMoves++
	return true
}
