package direct

import (
	"errors"
	"time"
)

const (
	// minSilence and maxSilence bound the silence after which an upstream is probed. The shortest allowed pause between
	// events leaves room for the probe and for the first event of the next run.
	minSilence = 90 * time.Millisecond
	maxSilence = 220 * time.Millisecond
	// silenceEvents is the number of usual pauses after which silence is looked at.
	silenceEvents = 4
	// suspectSilence is the silence that is looked at when other upstreams of the failure domain were lost.
	suspectSilence = 40 * time.Millisecond
	// probeAgain is the pause between the probes of one silent upstream.
	probeAgain = 250 * time.Millisecond
	// confirmAgain is the pause before a second probe.
	confirmAgain = 60 * time.Millisecond
	// firstSilence is the silence before the first event after which an upstream is probed: reading a prompt takes longer.
	firstSilence = 350 * time.Millisecond
	// hungSilence is the silence in the middle of a stream after which a run is given up though the VM answers.
	hungSilence = 2500 * time.Millisecond
	// cadenceWeight is the weight of a pause in the running mean.
	cadenceWeight = 0.2
)

var (
	errDead = errors.New("the upstream does not answer a probe")
	errHung = errors.New("the upstream answers but sends no events")
)

// silence follows the pauses between the events of a run.
type silence struct {
	lastEvent time.Time
	usual     time.Duration
	events    int
	// unanswered counts the probes in a row without an answer.
	unanswered int
}

// event notes an event.
func (q *silence) event(now time.Time) {
	if q.events > 0 {
		pause := now.Sub(q.lastEvent)
		if q.usual == 0 {
			q.usual = pause
		}
		q.usual += time.Duration(cadenceWeight * float64(pause-q.usual))
	}
	q.events++
	q.lastEvent = now
}

// limit is the silence after which the upstream is probed.
func (q *silence) limit(suspect bool) time.Duration {
	if suspect {
		return suspectSilence
	}
	if q.events == 0 {
		return firstSilence
	}
	if q.events == 1 {
		return maxSilence
	}
	return min(maxSilence, max(minSilence, silenceEvents*q.usual))
}

// quiet is asked while nothing comes from the upstream of a run.
func (s *stream) quiet(r *run, quiet time.Duration) (time.Duration, error) {
	s.world.mu.Lock()
	u, known := s.fleet.Get(r.at.ID)
	dead := known && u.Started == r.at.Started && !u.LostAt().IsZero()
	suspect := s.fleet.DomainSuspected(r.at.Domain, s.clock.Now())
	s.world.mu.Unlock()
	if dead && quiet > 0 {
		return 0, errDead
	}
	if !s.route.Retryable() {
		return probeAgain, nil
	}
	if r.silence.events == 0 {
		if err := s.awaitFirst(r); err != nil {
			return 0, err
		}
	}
	limit := r.silence.limit(suspect)
	if quiet < limit {
		return limit - quiet, nil
	}
	if !s.probes.alive(r.at) {
		r.silence.unanswered++
		// Before the first event there is time for a second probe, and a prompt that is read elsewhere is costly.
		if r.silence.events > 0 || suspect || r.silence.unanswered > 1 {
			return 0, errDead
		}
		return confirmAgain, nil
	}
	r.silence.unanswered = 0
	if r.silence.events > 0 && quiet >= hungSilence {
		return 0, errHung
	}
	return probeAgain, nil
}
