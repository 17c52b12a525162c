package direct

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bilberrylug.dev/core/events"
	"bilberrylug.dev/core/relay"
)

// follow sends the generation and passes its events on until it ends.
func (s *stream) follow(conn connection, r *run) error {
	stop := context.AfterFunc(s.ctx, conn.Close)
	defer stop()
	conn.SetStallFunc(func(quiet time.Duration) (time.Duration, error) { return s.quiet(r, quiet) })
	before := s.mayHaveRun
	s.mayHaveRun = true
	a := relay.Attempt{
		Upstream: r.at.ID, Workspace: s.ws, Deadline: s.left(), ContinueFrom: r.from, LastEvent: s.last, Resumes: s.resumes,
	}
	if r.backup != nil {
		a.BackupTo = r.backup.Address
	}
	//nolint:bodyclose // The connection owns the body: Done or Close ends it.
	resp, err := conn.Do(s.ctx, s.outgoing(a))
	if err != nil {
		return cause(s.ctx, err)
	}
	reply := s.dialect.Reply(resp)
	if reply.NotRun {
		s.mayHaveRun = before
		return s.notRun(conn, resp, reply, r)
	}
	if resp.StatusCode != http.StatusOK {
		return s.upstreamFailed(conn, resp, reply)
	}
	if !reply.Signed {
		return errors.New("the answer is not signed")
	}
	return s.passEvents(resp, r)
}

func (s *stream) notRun(conn connection, resp *http.Response, reply relay.Reply, r *run) error {
	_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		conn.Close()
	}
	if reply.OtherUpstream {
		s.adopt(r.at, reply.Upstream)
		return errMoved
	}
	return errNotRun
}

// upstreamFailed keeps an upstream's own failure, which is passed on if nothing better comes.
func (s *stream) upstreamFailed(conn connection, resp *http.Response, reply relay.Reply) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil || !reply.Signed {
		return cause(s.ctx, errTruncated)
	}
	failed := &answer{resp, body}
	if resp.StatusCode < http.StatusInternalServerError && !s.started {
		s.pass(failed)
		return nil
	}
	s.failed = failed
	return errors.New("the upstream failed it with status " + resp.Status)
}

// passEvents passes the events of a run on, each at most once and in order.
func (s *stream) passEvents(resp *http.Response, r *run) error {
	reader := events.NewReader(resp.Body)
	for first := true; ; first = false {
		e, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return s.complete(resp)
		}
		if err != nil {
			return cause(s.ctx, err)
		}
		if first {
			s.firstEvent(r)
		}
		r.silence.event(s.clock.Now())
		if err := s.passEvent(resp, e); err != nil {
			return err
		}
		s.notePace(r)
	}
}

var errCallerLost = errors.New("the caller's connection is lost")

// passEvent passes one event on unless the caller has it already.
func (s *stream) passEvent(resp *http.Response, e events.Event) error {
	if e.Numbered && s.resumes && e.ID <= s.last {
		return nil
	}
	if e.Numbered && s.delivered > 0 && e.ID != s.last+1 {
		return errors.New("events are missing")
	}
	s.start(resp)
	if _, err := s.w.Write(e.Raw); err != nil {
		return fmt.Errorf("%w: %w", errCallerLost, err)
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return fmt.Errorf("%w: %w", errCallerLost, err)
	}
	now := s.clock.Now()
	if s.delivered == 0 {
		s.firstAfter = now.Sub(s.began)
	} else {
		s.pause = max(s.pause, now.Sub(s.lastAt))
	}
	s.lastAt = now
	s.delivered++
	if e.Numbered {
		s.last = e.ID
		s.resumes = true
	}
	return nil
}

// start sends the header of the first run to the caller.
func (s *stream) start(resp *http.Response) {
	if s.started {
		return
	}
	s.started = true
	s.copyHeader(resp)
	s.w.WriteHeader(http.StatusOK)
}

// complete ends an answer that the upstream has ended well.
func (s *stream) complete(resp *http.Response) error {
	s.start(resp)
	s.measurePace()
	s.logEnd(http.StatusOK, "events", s.delivered, "first_event", s.firstAfter.String(), "longest_pause", s.pause.String())
	s.metrics.Histogram("longest_pause_ms", "service", string(s.service.Name)).Update(s.pause.Milliseconds())
	return nil
}

// measurePace notes the pace of an output that came from one upstream.
func (s *stream) measurePace() {
	e := s.service.Engine
	if e == nil || s.attempts != 1 {
		return
	}
	taken := s.lastAt.Sub(s.began) - s.firstAfter
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.pace.Record(taken, (s.delivered-1)*e.EventTokens)
}

func (s *stream) firstEvent(r *run) {
	now := s.clock.Now()
	taken := now.Sub(r.began)
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.fleet.RecordAnswer(r.at.ID, now)
	r.ticket.PrefillDone()
	s.nudge()
	if r.from.None() {
		s.picker.RecordFirstEvent(r.at.ID, taken, r.predicted, now)
	}
	if s.delivered == 0 {
		s.metrics.Histogram("first_event_ms", "service", string(s.service.Name), "workspace", string(s.ws)).
			Update(now.Sub(s.began).Milliseconds())
	} else {
		s.metrics.Histogram("resume_ms", "service", string(s.service.Name)).Update(taken.Milliseconds())
	}
}
