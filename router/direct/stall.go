package direct

import (
	"errors"
	"time"
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
	// unansweredProbes counts consecutive unanswered probes.
	unansweredProbes int
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

// checkStall is called while no data arrives from the upstream of a run. It returns the time until the next check, or the
// error that ends the run.
func (s *stream) checkStall(r *run, idle time.Duration) (time.Duration, error) {
	s.state.mu.Lock()
	u, known := s.fleet.Get(r.upstream.ID)
	lost := known && u.Started == r.upstream.Started && !u.LostAt().IsZero()
	domainSuspected := s.fleet.DomainSuspected(r.upstream.Domain, s.clock.Now())
	s.state.mu.Unlock()
	if lost && idle > 0 {
		return 0, errUnreachable
	}
	if !s.route.Retryable() {
		return reprobeInterval, nil
	}
	if r.stall.events == 0 {
		if err := s.checkFirstEvent(r); err != nil {
			return 0, err
		}
	}
	timeout := r.stall.timeout(domainSuspected)
	if idle < timeout {
		return timeout - idle, nil
	}
	if !s.prober.alive(r.upstream) {
		r.stall.unansweredProbes++
		// Before the first event there is time for a second probe, and processing the prompt elsewhere is expensive.
		if r.stall.events > 0 || domainSuspected || r.stall.unansweredProbes > 1 {
			return 0, errUnreachable
		}
		return confirmInterval, nil
	}
	r.stall.unansweredProbes = 0
	if r.stall.events > 0 && idle >= hungTimeout {
		return 0, errHung
	}
	return reprobeInterval, nil
}
