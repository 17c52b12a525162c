package quarantine

import (
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

// A batch of requests with a part crashes many upstreams at one moment, and so does the loss of a power supply that their runs have
// nothing to do with. What follows tells the two apart: upstreams that survive such a loss, or that take over its runs, soon prove the part
// sound, and a loss also takes upstreams on which the part does not run.
const (
	// settleTime is how long after an incident runs of the part on other upstreams may prove it sound.
	settleTime = 2 * time.Second
	// settledContrastRuns is the number of runs without the part that must be sound since then: otherwise nothing runs at all.
	settledContrastRuns = 2
	// maxSettleTime is how long these runs may be waited for.
	maxSettleTime = 15 * time.Second
)

// batchWeight returns the weight of the incidents if each of the upstreams that have crashed together counts, or zero if it does not
// follow from the evidence that the part is to blame.
func (s *suspicion) batchWeight(e *evidence, now time.Time) int {
	if s.everSound() {
		return 0
	}
	weight := 0
	var since time.Time
	for _, i := range group(s.crashes, nil, incidentTime) {
		if i.upstreams > 1 && now.Sub(i.firstAt) >= settleTime && 2*e.lostWithout(s, i.firstAt) <= i.upstreams {
			weight += i.upstreams
			since = i.firstAt
			continue
		}
		weight++
	}
	if since.IsZero() || e.soundRunsWithout(s.part, since) < settledContrastRuns {
		return 0
	}
	return weight
}

// lostWithout returns the number of upstreams that were lost around a time under other parts only.
func (e *evidence) lostWithout(s *suspicion, at time.Time) int {
	lost := map[incarnation]bool{}
	add := func(key incarnation, lostAt time.Time) {
		_, blamed := s.crashes[key]
		if d := lostAt.Sub(at); !blamed && d >= -incidentTime && d <= 2*incidentTime {
			lost[key] = true
		}
	}
	for _, c := range e.crashes {
		add(incarnation{c.Upstream, c.Started}, c.At)
	}
	for key, lostAt := range e.losses {
		add(key, lostAt)
	}
	return len(lost)
}

// RecordLoss records that an upstream was lost under a run that had proved its prompt sound. Unlike a crash it is no evidence against
// any part, but tells that more upstreams were lost than those that ran a part.
func (q *Quarantine) RecordLoss(upstream ids.VM, started int64, now time.Time) {
	q.evidence.addLoss(incarnation{upstream, started}, now)
}

// addLoss adds a loss.
func (e *evidence) addLoss(key incarnation, at time.Time) {
	if e.losses == nil {
		e.losses = map[incarnation]time.Time{}
	}
	for k, lostAt := range e.losses {
		if at.Sub(lostAt) >= evidenceLifetime {
			delete(e.losses, k)
		}
	}
	if _, known := e.losses[key]; !known && len(e.losses) < maxCrashes {
		e.losses[key] = at
	}
}

// Settle returns the decisions that follow from the time that has passed since crashes. It is called several times a second.
func (q *Quarantine) Settle(now time.Time) []Change {
	settled := slices.ContainsFunc(q.evidence.crashes, func(c Crash) bool {
		age := now.Sub(c.At)
		return age >= settleTime && age < maxSettleTime && !q.explained(c)
	})
	if !settled {
		return nil
	}
	return q.assess(now)
}

// explained reports whether a part of a crash has a breaker that stands.
func (q *Quarantine) explained(c Crash) bool {
	for b := range q.breakersOf(c.Parts) {
		if b.active() {
			return true
		}
	}
	return false
}
