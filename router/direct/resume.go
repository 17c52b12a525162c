package direct

import (
	"errors"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
)

const (
	// minResumePause and maxResumePause bound the pause before an answer that has begun is resumed although the last attempt was
	// refused or found no upstream. The pause doubles until events arrive again.
	minResumePause = 50 * time.Millisecond
	maxResumePause = 800 * time.Millisecond
)

// checkResume returns nil if a failed generation may be resumed, and its final fault otherwise.
func (s *stream) checkResume(err error) error {
	if q := (*quarantineError)(nil); errors.As(err, &q) {
		return q.fault()
	}
	limited := (*limitedError)(nil)
	switch {
	case s.headerSent:
		return s.awaitResume(err)
	case fault.CodeOf(err) == fault.RouterStopping:
		return err
	case errors.As(err, &limited) && s.remaining() >= minAnswerTime:
		return limited.fault()
	case errors.Is(err, errNoUpstream) && s.remaining() >= minAnswerTime:
		return s.noUpstreamError()
	case s.mayHaveRun:
		return s.checkRetry(err, fault.ResumeExhausted)
	}
	return s.checkRetry(err, fault.QueueFull)
}

// awaitResume returns nil once an answer that has begun may be resumed. Such an answer can no longer be refused, only cut, so it
// waits for as long as its caller does while upstreams are missing or refuse it, or the retry budget is used up. It returns a fault
// if the time or the allowed runs are used up.
func (s *stream) awaitResume(err error) error {
	if !s.mayResume() || !s.order.Resumable() {
		return fault.Wrap(fault.ResumeExhausted, err, "after %d attempts", s.attempts)
	}
	wait := errors.Is(err, errNoUpstream) || errors.As(err, new(*limitedError)) || s.refusals >= maxRefusals
	for s.remaining() >= minAnswerTime && s.ctx.Err() == nil {
		if !wait && s.chargeRetry() {
			return nil
		}
		s.pauseBeforeResume(err)
		wait = false
	}
	return s.deadlineError()
}

// pauseBeforeResume waits until the next attempt to resume, or until the request's context ends.
func (s *stream) pauseBeforeResume(err error) {
	s.resumePause = min(maxResumePause, max(minResumePause, 2*s.resumePause))
	s.log.Write(event.ResumeWaiting, "request", s.req.ID, "reason", err.Error(), "pause", s.resumePause.String(),
		"left", s.remaining().String(), "runs", s.runs(), "max_attempts", s.route.MaxAttempts, "refusals", s.refusals)
	select {
	case <-s.ctx.Done():
	case <-s.clock.After(s.resumePause):
	}
}
