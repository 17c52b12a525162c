package rollout

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// warmUp is the time since an upstream was first seen during which its slow answers are no evidence, since its caches are cold.
const warmUp = 2 * time.Second

// assessTime is the least time between two tests after bad answers. One takes 0.2 ms with 8 routes and 40 upstreams, and a router may have a
// tenth of a core.
const assessTime = 50 * time.Millisecond

// Request is a request that is sent to an upstream.
type Request struct {
	Route    Route
	Version  Version
	Upstream ids.VM
	Domain   ids.FailureDomain
	// UpstreamAge is the time since the upstream was registered, or since this router first saw it.
	UpstreamAge time.Duration
	// Retry means that the request was sent before, to whichever upstream. It counts as exposure, but not as another request of the service.
	Retry bool
	// Untimed means that the time until the answer says nothing, as of a stream.
	Untimed bool
}

// Sent is a request that was sent, until its answer is recorded.
type Sent struct {
	request Request
	class   Class
	rollout orderKey
	at      time.Time
	// counted means that the answer has been counted.
	counted bool
}

// Outcome is what a request came to.
type Outcome struct {
	// Failed means a signed 5xx other than 503, or an answer that broke off. Answers that say nothing about the version, such as refusals, a
	// connection that could not be opened or a caller that went away, are discarded instead.
	Failed bool
	// Duration is compared among the answers of a route. It is zero if the answer has none that can be compared. For a stream it is the
	// time for each event, or until the first.
	Duration time.Duration
}

// RecordRequest records a request that is sent now.
func (t *Tracker) RecordRequest(r Request, now time.Time) *Sent {
	s := &Sent{request: r, class: t.policy.class(r.Version), rollout: t.rollout, at: now}
	c := Counts{Sent: 1}
	if !r.Retry {
		c.Requests = 1
	}
	t.counts.addOwn(s.key(), c, t.Elapsed(now))
	if s.class != ClassOther && !r.Untimed {
		t.counts.pending[s] = true
	}
	return s
}

func (s *Sent) key() cellKey {
	return cellKey{s.request.Route, s.class, s.request.Domain, s.request.Upstream}
}

// RecordAnswer records the answer to a request.
func (t *Tracker) RecordAnswer(s *Sent, o Outcome, now time.Time) {
	if !t.close(s) {
		return
	}
	limit, known := t.counts.slowLimit(s.request.Route)
	slow := known && o.Duration > limit && s.request.UpstreamAge >= warmUp
	if s.class == ClassOld && !o.Failed && o.Duration > 0 {
		t.counts.addDuration(s.request.Route, o.Duration)
	}
	if s.class == ClassNew && !o.Failed && !known && o.Duration > 0 {
		// Without answers of the old versions to compare with, a slow answer cannot be told from a sound one.
		return
	}
	t.count(s, o.Failed || slow, now)
}

// Discard ends a request whose answer says nothing about the version.
func (t *Tracker) Discard(s *Sent, _ time.Time) { t.close(s) }

// close reports whether the answer of a request is still to be counted.
func (t *Tracker) close(s *Sent) bool {
	delete(t.counts.pending, s)
	return !s.counted && s.rollout == t.rollout && s.class != ClassOther
}

func (t *Tracker) count(s *Sent, bad bool, now time.Time) {
	s.counted = true
	c := Counts{Answers: 1}
	if bad {
		c.Bad = 1
	}
	t.counts.addOwn(s.key(), c, t.Elapsed(now))
	if bad && s.class == ClassNew && now.Sub(t.assessedAt) >= assessTime {
		t.assess(now)
	}
}

// countOverdue counts requests that have run for longer than a slow answer takes, so that a version is judged before its answers arrive. Those
// to the old versions are counted as early, so that a fault that slows both down is seen in both at the same time.
func (t *Tracker) countOverdue(now time.Time) {
	for s := range t.counts.pending {
		limit, known := t.counts.slowLimit(s.request.Route)
		if known && s.request.UpstreamAge >= warmUp && now.Sub(s.at) > limit {
			delete(t.counts.pending, s)
			t.count(s, true, now)
		}
	}
}
