package direct

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/rollout"
)

// paceEvents is the number of events of a run after which its answer is judged.
const paceEvents = 8

// recordSent records an attempt that is sent to an upstream now. It returns nil if the settings have no rollouts.
func (x *exchange) recordSent(u fleet.Upstream, untimed bool) *rollout.Sent {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.rolloutOf(x.service.Name)
	if s == nil {
		return nil
	}
	x.metrics.Counter("requests_by_version", "service", string(x.service.Name), "version", u.Version).Inc(1)
	return s.RecordRequest(x.rolloutRequest(u, x.attempts > 1, untimed), x.clock.Now())
}

func (x *exchange) rolloutRequest(u fleet.Upstream, retry, untimed bool) rollout.Request {
	return rollout.Request{
		Route: rollout.Route(x.route.Name), Version: rollout.Version(u.Version), Upstream: u.ID, Domain: u.Domain,
		UpstreamAge: x.clock.Since(u.SeenAt()), Retry: retry, Untimed: untimed,
	}
}

// recordAnswered records what an attempt came to. An attempt that says nothing about the version is discarded.
func (x *exchange) recordAnswered(sent *rollout.Sent, u fleet.Upstream, o rollout.Outcome, counts bool) {
	if sent == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.rolloutOf(x.service.Name)
	if !counts {
		s.Discard(sent, x.clock.Now())
		return
	}
	if o.Failed {
		x.metrics.Counter("failures_by_version", "service", string(x.service.Name), "version", u.Version).Inc(1)
	}
	s.RecordAnswer(sent, o, x.clock.Now())
	x.checkVerdict(s)
}

// saysNothing reports whether the end of an attempt is no evidence about the upstream's version: it has not run the request, or the
// router or the caller has ended the attempt.
func saysNothing(err error) bool {
	return errors.Is(err, errNotRun) || errors.Is(err, errAddressReused) || errors.Is(err, errUnattributed) || errors.Is(err, context.Canceled) ||
		errors.Is(err, errOldVersion) || fault.CodeOf(err) == fault.ReplyTooLarge || errors.As(err, new(*quarantineError))
}

// callOutcome returns what an attempt at a call says about the upstream's version, and false if it says nothing.
func (x *exchange) callOutcome(a *answer, err error, took time.Duration) (rollout.Outcome, bool) {
	switch {
	case x.callerGone() || saysNothing(err):
		return rollout.Outcome{}, false
	case err == nil:
		status := a.resp.StatusCode
		return rollout.Outcome{Failed: status >= http.StatusInternalServerError, Duration: took}, status != http.StatusServiceUnavailable
	case errors.Is(err, errAttemptTimeout), errors.Is(err, context.DeadlineExceeded):
		return rollout.Outcome{Duration: took}, true
	}
	return rollout.Outcome{Failed: true}, true
}

// recordRunEnd records what a run came to. A run that is broken off after it was judged counts once more: it is a failure that its first
// events did not show.
func (s *stream) recordRunEnd(r *run, err error, failedBefore *answer) {
	if r.sent == nil {
		return
	}
	turnedAway := s.failedAnswer != failedBefore && s.failedAnswer.resp.StatusCode == http.StatusServiceUnavailable
	switch {
	case err == nil, errors.Is(err, errUpstreamSlow):
		s.recordPace(r)
	case s.callerLost(err), saysNothing(err), turnedAway, errors.Is(err, context.DeadlineExceeded) && r.stall.events > 0:
		s.recordAnswered(r.sent, r.upstream, rollout.Outcome{}, false)
	case errors.Is(err, context.DeadlineExceeded):
		s.recordPace(r)
	default:
		if r.judged {
			r.sent = locked(&s.state.mu, func() *rollout.Sent {
				return s.rolloutOf(s.service.Name).RecordRequest(s.rolloutRequest(r.upstream, true, true), s.clock.Now())
			})
		}
		s.recordAnswered(r.sent, r.upstream, rollout.Outcome{Failed: true}, true)
	}
}

// recordPace judges the answer of a run by its first events, once.
func (s *stream) recordPace(r *run) {
	if r.sent == nil || r.judged {
		return
	}
	r.judged = true
	s.recordAnswered(r.sent, r.upstream, rollout.Outcome{Duration: s.rolloutPace(r)}, true)
}

// minPace is the least pace. Runs that are faster than predicted count as equal: a new upstream with little work may only meet the prediction
// while the old ones, with much work, do better than it.
const minPace = 0.5

// rolloutPace returns the time that a run takes relative to what is expected, as a part of a second: the greater one of the time to the first
// event, relative to the prediction without the upstream's own slowness, and the time between events, relative to that of an engine in
// usual use. The ratios make requests of different sizes comparable. They do not use measured means, which change with the versions.
func (s *stream) rolloutPace(r *run) time.Duration {
	ratio := minPace
	if r.resumeFrom == nil {
		first := r.firstEventAt
		if first.IsZero() {
			first = s.clock.Now()
		}
		unloaded := s.model.TimeToFirstEvent(placement.Work{}, s.placementReq.Prompt, 1)
		expected := max(time.Duration(float64(r.predicted)/max(1, r.slowness)), unloaded, time.Millisecond)
		ratio = max(ratio, float64(first.Sub(r.placedAt))/float64(expected))
	}
	if e := s.service.Engine; e != nil && r.stall.events > 1 {
		expected := s.model.UsualTokenTime() * time.Duration((r.stall.events-1)*e.EventTokens)
		ratio = max(ratio, float64(r.stall.lastEventAt.Sub(r.firstEventAt))/float64(expected))
	}
	return time.Duration(ratio * float64(time.Second))
}

// recordCopyHost counts a copy of the KV cache as a request to its upstream, which it is as far as the version's exposure goes.
func (s *stream) recordCopyHost(u fleet.Upstream) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if r := s.rolloutOf(s.service.Name); r != nil {
		now := s.clock.Now()
		r.Discard(r.RecordRequest(s.rolloutRequest(u, true, true), now), now)
	}
}
