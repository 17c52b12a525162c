package direct

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/quarantine"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/sse"
	"bilberrylug.dev/router/upstream"
)

// sendAndForward sends the request to the run's upstream and forwards its events until the run ends.
func (s *stream) sendAndForward(conn connection, r *run) error {
	stop := context.AfterFunc(s.ctx, conn.Close)
	defer stop()
	conn.SetStallFunc(func(idle time.Duration) (time.Duration, error) { return s.checkStall(r, idle) })
	mayHaveRunBefore := s.mayHaveRun
	s.mayHaveRun = true
	r.sentAt = s.boot.Now()
	a := relay.Attempt{Upstream: r.upstream.ID, Workspace: s.workspace, Priority: s.priority, TimeLeft: s.remaining()}
	a.LastEventID, a.Resumes = s.order.LastID()
	if r.resumeFrom != nil {
		a.ContinueFrom = r.resumeFrom.ref
	}
	if r.backup != nil {
		a.BackupTo = r.backup.Address
	}
	//nolint:bodyclose // The connection owns the body: Release or Close ends it.
	resp, err := conn.Do(s.ctx, s.outgoing(a))
	if err != nil {
		return cause(s.ctx, err)
	}
	reply := s.dialect.Reply(resp)
	if unattributed(reply, conn) {
		return errUnattributed
	}
	s.recordStatements(r.upstream, reply, r.sentAt)
	if reply.NotRun {
		s.mayHaveRun = mayHaveRunBefore
		return s.handleRefusal(conn, resp, reply, r)
	}
	if resp.StatusCode != http.StatusOK {
		return s.handleFailedAnswer(conn, resp, reply)
	}
	if !reply.Signed {
		return errors.New("the answer is not signed")
	}
	return s.forwardEvents(resp, r)
}

// handleRefusal reads the response of an upstream that has not run the request, and returns the reason.
func (s *stream) handleRefusal(conn connection, resp *http.Response, reply relay.Reply, r *run) error {
	if err := s.discard(resp.Body); err != nil {
		conn.Close()
	}
	if reply.Misdirected {
		s.updateID(r.upstream, reply.Upstream, r.sentAt)
		return errAddressReused
	}
	return errNotRun
}

// handleFailedAnswer handles an answer with a status other than 200. One below 500 is forwarded at once if the caller has
// been sent nothing yet; any other one is stored, and forwarded if no later run succeeds.
func (s *stream) handleFailedAnswer(conn connection, resp *http.Response, reply relay.Reply) error {
	body, err := s.readAnswer(resp.Body)
	if fault.CodeOf(err) == fault.ReplyTooLarge {
		return err
	}
	if err != nil || !reply.Signed {
		return cause(s.ctx, errTruncated)
	}
	failed := &answer{resp, body}
	if resp.StatusCode < http.StatusInternalServerError && !s.headerSent {
		s.forward(failed)
		return nil
	}
	s.failedAnswer = failed
	return errors.New("the upstream failed the request with status " + resp.Status)
}

// forwardEvents forwards the events of a run, in order and each at most once.
func (s *stream) forwardEvents(resp *http.Response, r *run) error {
	reader := sse.NewReader(resp.Body, s.limits.MaxEventBytes)
	s.order.Begin(string(r.upstream.ID), !s.mayResume())
	for {
		e, err := s.nextEvent(reader)
		if errors.Is(err, io.EOF) {
			return s.endRun(resp, r)
		}
		if err != nil {
			return err
		}
		ready, err := s.order.Add(e)
		if err != nil {
			s.order.Interrupt(false)
			return err
		}
		s.observe(r)
		for _, e := range ready {
			if err := s.forwardEvent(resp, e); err != nil {
				return err
			}
		}
		r.stall.resumeReading(s.clock.Now())
		s.checkPace(r)
	}
}

// mayResume reports whether another run may follow the current one.
func (s *stream) mayResume() bool { return s.route.Retryable() && s.runs() < s.route.MaxAttempts }

// endRun ends a run at the end of its answer.
func (s *stream) endRun(resp *http.Response, r *run) error {
	if err := s.checkEnd(resp, r); err != nil {
		return err
	}
	rest, err := s.order.End()
	if err != nil {
		return err
	}
	for _, e := range rest {
		if err := s.forwardEvent(resp, e); err != nil {
			return err
		}
	}
	// An answer without events does not show that its upstream has begun to write.
	if !upstream.CloseDelimited(resp) && s.order.Progressed() {
		s.recordSound()
	}
	return s.complete(resp)
}

// nextEvent reads the next event of a run. The error is io.EOF at the end of the run's answer.
func (s *stream) nextEvent(reader *sse.Reader) (sse.Event, error) {
	e, err := reader.Next()
	if err == nil || errors.Is(err, io.EOF) {
		return e, err
	}
	s.order.Interrupt(reader.WithinEvent())
	return e, cause(s.ctx, err)
}

// checkEnd returns an error if the end of an answer without a length does not show that the upstream has sent all that it had.
func (s *stream) checkEnd(resp *http.Response, r *run) error {
	progressed := s.order.Progressed()
	_, numbered := s.order.LastID()
	switch {
	case !upstream.CloseDelimited(resp):
		return nil
	case !progressed && !numbered:
		return errTruncated
	case s.prober.alive(r.upstream):
		return nil
	case !progressed || s.mayReplaceRun(r):
		// The connections of a crashed process are closed as those of one that has sent everything.
		s.order.Interrupt(false)
		return errTruncated
	}
	return nil
}

// observe records an event of a run.
func (s *stream) observe(r *run) {
	if r.stall.events == 0 {
		r.firstEventAt = s.clock.Now()
		s.recordFirstEvent(r)
	}
	r.stall.observe(s.clock.Now())
	if r.stall.events == paceEvents {
		s.recordPace(r)
	}
	if r.stall.events == quarantine.SoundEvents {
		s.recordSound()
	}
}

var errCallerLost = errors.New("the connection to the caller is lost")

// forwardEvent forwards one event.
func (s *stream) forwardEvent(resp *http.Response, e sse.Event) error {
	s.sendHeader(resp)
	if err := s.write(e.Raw); err != nil {
		return fmt.Errorf("%w: %w", errCallerLost, err)
	}
	now := s.clock.Now()
	if s.delivered == 0 {
		s.timeToFirstEvent = now.Sub(s.arrivedAt)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.resumePause = 0
	s.delivered++
	return nil
}

// write writes an event to the caller.
func (s *stream) write(raw []byte) error {
	d := s.deliver(len(raw))
	err := d.write(raw)
	if err == nil {
		err = http.NewResponseController(s.w).Flush()
	}
	if d.end() && err == nil {
		err = errUnread
	}
	return err
}

// errUnread ends a stream whose caller has not read for long while there was no memory for others.
var errUnread = errors.New("the caller does not read")

// sendHeader sends the response header to the caller unless an earlier run has sent it.
func (s *stream) sendHeader(resp *http.Response) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	s.copyHeader(resp)
	s.w.WriteHeader(http.StatusOK)
}

// complete records a generation that the upstream has completed.
func (s *stream) complete(resp *http.Response) error {
	s.sendHeader(resp)
	s.recordTokenTime()
	s.logEnd(http.StatusOK, "events", s.delivered, "first_event", s.timeToFirstEvent.String(),
		"longest_pause", s.longestPause.String())
	s.metrics.Histogram("longest_pause_ms", "service", string(s.service.Name)).Update(s.longestPause.Milliseconds())
	return nil
}

// recordTokenTime updates the mean time per output token with a generation that ran at one upstream only.
func (s *stream) recordTokenTime() {
	e := s.service.Engine
	if e == nil || s.attempts != 1 {
		return
	}
	decodeTime := s.lastEventAt.Sub(s.arrivedAt) - s.timeToFirstEvent
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.tokenTime.Record(decodeTime, (s.delivered-1)*e.EventTokens)
}

// recordFirstEvent updates predictions and metrics with the time to the run's first event.
func (s *stream) recordFirstEvent(r *run) {
	now := s.clock.Now()
	elapsed := now.Sub(r.placedAt)
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.fleet.RecordAnswer(r.upstream, r.sentAt, now)
	r.reservation.PrefillDone()
	s.broadcastSoon()
	if r.resumeFrom == nil {
		s.picker.RecordFirstEvent(r.upstream.ID, elapsed, r.predicted, now)
	}
	s.paceFirstEvent(r, elapsed, now)
	if s.delivered == 0 {
		s.metrics.Histogram("first_event_ms", "service", string(s.service.Name), "workspace", string(s.workspace)).
			Update(now.Sub(s.arrivedAt).Milliseconds())
	} else {
		s.metrics.Histogram("resume_ms", "service", string(s.service.Name)).Update(elapsed.Milliseconds())
	}
}
