package direct

import (
	"errors"
	"maps"
	"time"

	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
)

const (
	// minStallTimeout and maxStallTimeout bound the idle time after which an upstream is probed. Within the shortest pause
	// that routes allow between events, they leave time for the probe and the first event of the next run.
	minStallTimeout = 90 * time.Millisecond
	maxStallTimeout = 220 * time.Millisecond
	// stallPauses is the idle time, as a multiple of the mean pause between events, after which an upstream is probed.
	stallPauses = 4
	// suspectStallTimeout is the idle time after which an upstream in a suspected failure domain is probed.
	suspectStallTimeout = 40 * time.Millisecond
	// reprobeInterval is the interval between probes of a stalled upstream.
	reprobeInterval = 250 * time.Millisecond
	// confirmInterval is the pause before a second probe confirms a loss.
	confirmInterval = 60 * time.Millisecond
	// firstEventTimeout is the idle time before the first event after which an upstream is probed. Processing a prompt takes
	// longer than the pauses between events.
	firstEventTimeout = 350 * time.Millisecond
	// hungTimeout is the idle time in the middle of a stream after which a run is abandoned although the VM answers probes.
	hungTimeout = 2500 * time.Millisecond
	// pauseWeight is the weight of a new pause in the moving average.
	pauseWeight = 0.2
)

var (
	errUnreachable = errors.New("the upstream does not answer a probe")
	errHung        = errors.New("the upstream answers probes but sends no events")
)

// stallDetector measures the pauses between the events of a run.
type stallDetector struct {
	lastEventAt time.Time
	meanPause   time.Duration
	events      int
	// readingSince is when the run was last waited for. The time in which an event is sent to the caller is not the upstream's.
	readingSince time.Time
	// unansweredProbes counts consecutive unanswered probes.
	unansweredProbes int
	// probedAt is when the upstream was last probed because of its idle time.
	probedAt time.Time
}

// observe records an event.
func (d *stallDetector) observe(now time.Time) {
	if d.events > 0 {
		pause := now.Sub(d.lastEventAt)
		if d.meanPause == 0 {
			d.meanPause = pause
		}
		d.meanPause += time.Duration(pauseWeight * float64(pause-d.meanPause))
	}
	d.events++
	d.lastEventAt = now
}

// resumeReading records that the last event has been sent to the caller.
func (d *stallDetector) resumeReading(now time.Time) { d.readingSince = now }

// idle returns the time since the last whole event. Bytes that are no event do not count as progress.
func (d *stallDetector) idle(now time.Time) time.Duration {
	if d.lastEventAt.After(d.readingSince) {
		return now.Sub(d.lastEventAt)
	}
	return now.Sub(d.readingSince)
}

// timeout returns the idle time after which the upstream is probed. DomainSuspected is set if its failure domain is
// suspected.
func (d *stallDetector) timeout(domainSuspected bool) time.Duration {
	if domainSuspected {
		return suspectStallTimeout
	}
	if d.events == 0 {
		return firstEventTimeout
	}
	if d.events == 1 {
		return maxStallTimeout
	}
	return min(maxStallTimeout, max(minStallTimeout, stallPauses*d.meanPause))
}

// checkStall is called before the upstream of a run is read from, and while it sends nothing for the given time. It returns
// the time until the next check, or the error that ends the run.
func (s *stream) checkStall(r *run, silent time.Duration) (time.Duration, error) {
	now := s.clock.Now()
	domainSuspected := false
	lost := locked(&s.state.mu, func() bool {
		domainSuspected = s.fleet.DomainSuspected(r.upstream.Domain, now)
		return s.fleet.IsLost(r.upstream.ID, r.upstream.Started)
	})
	timeout := r.stall.timeout(domainSuspected)
	idle := r.stall.idle(now)
	// The dial that found the upstream lost may have failed at the router's own VM while events arrive.
	if lost && idle >= timeout && s.mayReplaceRun(r) {
		return 0, errUnreachable
	}
	if !s.route.Retryable() {
		return reprobeInterval, nil
	}
	if err := s.checkRunning(r); err != nil {
		return 0, err
	}
	if s.mustMove(r) && s.mayReplaceRun(r) {
		s.leftOld = true
		return 0, errOldVersion
	}
	if r.stall.events == 0 {
		if err := s.checkFirstEvent(r); err != nil {
			return 0, err
		}
	}
	if idle < timeout {
		return timeout - idle, nil
	}
	if silent < timeout && now.Sub(r.stall.probedAt) < reprobeInterval {
		return reprobeInterval, nil
	}
	r.stall.probedAt = now
	if !s.prober.alive(r.upstream) {
		r.stall.unansweredProbes++
		// Before the first event there is time for a second probe, and processing the prompt elsewhere is expensive.
		if r.stall.events == 0 && !domainSuspected && r.stall.unansweredProbes <= 1 {
			return confirmInterval, nil
		}
		if s.mayReplaceRun(r) {
			return 0, errUnreachable
		}
		return reprobeInterval, nil
	}
	r.stall.unansweredProbes = 0
	if after, hangs := s.hungAfter(r); hangs && idle >= after && s.mayReplaceRun(r) {
		return 0, errHung
	}
	return reprobeInterval, nil
}

// hungAfter returns the time without a whole event after which a run is abandoned although its VM answers probes. It returns
// false for the first run before its first event, which [stream.checkFirstEvent] decides on.
func (s *stream) hungAfter(r *run) (time.Duration, bool) {
	if r.stall.events > 0 {
		return hungTimeout, true
	}
	return hungTimeout + stallPauses*r.predicted, s.delivered > 0
}

// mayReplaceRun reports whether another run may take over from the current one, and charges that run to the retry budget. A run that
// cannot be replaced is not ended on suspicion: its upstream may still complete the answer.
func (s *stream) mayReplaceRun(r *run) bool {
	if !s.mayResume() || !s.order.Resumable() || !s.headerSent && s.refusals >= maxRefusals {
		return false
	}
	return s.replacementAnswers(r) && s.chargeRetry()
}

// maxReplacementProbes bounds the upstreams that are probed before a run is ended on suspicion.
const maxReplacementProbes = 2

// replacementAnswers reports whether an upstream to which the generation could move answers a probe. If none does, the router itself
// may be unable to open connections. The connection of the probe is pooled for the next run.
func (s *stream) replacementAnswers(r *run) bool {
	excluded := maps.Clone(s.tried)
	excluded[r.upstream.ID] = true
	for range maxReplacementProbes {
		u, ok := s.pickReplacement(excluded)
		if !ok {
			return false
		}
		if s.prober.alive(u) {
			return true
		}
		excluded[u.ID] = true
	}
	return false
}

// pickReplacement picks the upstream to which the generation would move.
func (s *stream) pickReplacement(excluded map[ids.VM]bool) (fleet.Upstream, bool) {
	now := s.clock.Now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	list := s.runCandidates(excluded, "", now)
	c, _, ok := s.picker.Pick(list.candidates, s.placementReq, s.model, now)
	return list.get(c.ID), ok && list.delay == 0
}
