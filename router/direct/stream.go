package direct

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"bilberrylug.dev/core/events"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placing"
	"bilberrylug.dev/core/relay"
)

// stream is one generation on its way to a caller, over all its runs.
type stream struct {
	*exchange
	model placing.Model
	need  placing.Need
	// last is the last event that was passed on, or that the caller had before.
	last    uint64
	resumes bool
	// delivered counts the events that were passed on.
	delivered int
	// copied is the copy of the generation's memory from which the next run goes on, if there is one.
	copied *memoryCopy
	// lostIn holds the failure domains in which runs of this generation were lost.
	lostIn map[ids.FailureDomain]bool
	// failedAt holds the upstreams that failed a run and live.
	failedAt map[ids.VM]bool
	// pause is the longest pause between events, firstAfter the time to the first one.
	pause      time.Duration
	firstAfter time.Duration
	lastAt     time.Time
	tried      map[ids.VM]bool
	// failed is the last answer by which an upstream failed the request.
	failed *answer

	mu     sync.Mutex
	conn   connection
	copier *copier
}

// memoryCopy is a copy of a generation's memory at another upstream.
type memoryCopy struct {
	at   fleet.Upstream
	name relay.Copy
}

// run is one sending of the generation.
type run struct {
	at   fleet.Upstream
	from relay.Copy
	// backup is the upstream that receives a copy while this run goes on.
	backup    *fleet.Upstream
	ticket    *placing.Ticket
	predicted time.Duration
	began     time.Time
	silence   silence
}

// stream answers a generation: events are passed on as they come, and a lost run goes on elsewhere behind the last event.
func (x *exchange) stream() {
	s := &stream{
		exchange: x, model: x.engineModel(), last: x.req.LastEvent, resumes: x.req.Resumes, tried: map[ids.VM]bool{},
		lostIn: map[ids.FailureDomain]bool{}, failedAt: map[ids.VM]bool{},
		need: placing.Need{Prompt: x.req.Prompt.Tokens, Output: x.req.Prompt.MaxOutput},
	}
	for {
		err := s.try()
		if err == nil {
			return
		}
		if x.callerGone() {
			x.logEnd(0, "outcome", "caller left", "events", s.delivered)
			return
		}
		if final := s.after(err); final != nil {
			s.end(final)
			return
		}
	}
}

func (x *exchange) engineModel() placing.Model {
	m := placing.DefaultModel
	if e := x.service.Engine; e != nil {
		m.MemoryTokens = e.MemoryTokens
		m.Slots = e.Slots
	}
	return m
}

// after decides whether a lost generation goes on; the fault is its end if not.
func (s *stream) after(err error) error {
	if s.left() < hopelessTime {
		if s.mayHaveRun {
			return fault.New(fault.TimedOut, "after %s", s.clock.Since(s.began))
		}
		return fault.New(fault.DeadlineExceeded, "after %s", s.clock.Since(s.began))
	}
	if errors.Is(err, errNoUpstream) {
		return fault.New(fault.NoUpstream, "service %s", s.service.Name)
	}
	if s.mayHaveRun && !s.route.Repeatable() {
		return fault.Wrap(fault.CallOutcomeUnknown, err, "sent once")
	}
	exhausted := fault.ResumeExhausted
	if !s.mayHaveRun {
		exhausted = fault.QueueFull
	}
	if s.refusals >= notRunAttempts || s.attempts-s.refusals >= s.route.MaxAttempts {
		return fault.Wrap(exhausted, err, "after %d attempts", s.attempts)
	}
	if s.attempts > 0 && !s.takeRepeat(s.service.Name) {
		return fault.Wrap(exhausted, err, "no repeat is allowed now")
	}
	return nil
}

// end gives the caller the final word on a generation that does not go on.
func (s *stream) end(final error) {
	switch {
	case s.started:
		f := fault.As(final)
		s.logEnd(http.StatusOK, "outcome", "broken off", "number", f.Kind.Number, "detail", f.Detail, "events", s.delivered)
		s.metrics.Counter("streams_broken").Inc(1)
		// The connection is cut, so that the answer does not look complete.
		panic(http.ErrAbortHandler)
	case s.failed != nil:
		s.pass(s.failed)
	default:
		s.refuse(final)
	}
}

var errNoUpstream = errors.New("no upstream is in use")

// try places and runs the generation once. A nil error means that the caller has a final answer.
func (s *stream) try() error {
	r, err := s.place()
	if err != nil {
		return err
	}
	defer s.unplace(r)
	conn, err := s.connect(s.ctx, r.at)
	if err != nil {
		return err
	}
	s.attempts++
	s.logAttempt(r.at.ID, "domain", r.at.Domain, "predicted", r.predicted.String(), "continues_copy", !r.from.None(),
		"copy_at", r.copyID(), "last_event", s.last, "reused", conn.Reused())
	c := newCopier(s, r)
	s.setRun(conn, c)
	before := s.delivered
	err = s.follow(conn, r)
	s.setRun(nil, nil)
	c.stop()
	s.logAttemptEnd(r.at.ID, err, "events", s.delivered, "last_event", s.last)
	if err == nil {
		conn.Done()
		return nil
	}
	conn.Close()
	s.afterRun(r, err)
	if errors.Is(err, errNotRun) || errors.Is(err, errMoved) {
		s.refusals++
	}
	if s.delivered > before {
		// An upstream makes copies once it has read the prompt.
		s.copied = c.copy()
	}
	return err
}

// afterRun draws conclusions from a run that did not end well.
func (s *stream) afterRun(r *run, err error) {
	if r.silence.events > 0 {
		s.world.mu.Lock()
		s.fleet.Proved(r.at.ID, r.silence.lastEvent)
		s.world.mu.Unlock()
	}
	switch {
	case s.callerGone():
	case errors.Is(err, errNotRun), errors.Is(err, errMoved), errors.Is(err, errHung):
		s.tried[r.at.ID] = true
	case errors.Is(err, errDead):
		s.leave(r, err)
	case s.failedAt[r.at.ID] || !s.probes.alive(r.at):
		s.leave(r, err)
	default:
		// The upstream lives and keeps the prompt, so it may be chosen once more.
		s.failedAt[r.at.ID] = true
	}
}

// leave keeps the next runs away from an upstream, and from its failure domain for copies.
func (s *stream) leave(r *run, err error) {
	s.tried[r.at.ID] = true
	s.lostIn[r.at.Domain] = true
	if !s.failedAt[r.at.ID] {
		s.lost(r.at, err.Error())
	}
}

// place chooses the upstream of the next run and the one that keeps the copy of its memory.
func (s *stream) place() (*run, error) {
	now := s.clock.Now()
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	list, byID := s.candidates(s.tried, now)
	r := &run{began: now}
	need := s.need
	if c := s.copied; c != nil {
		if u, known := s.fleet.Get(c.at.ID); known && u.Started == c.at.Started && u.InUse() {
			r.at = u
			r.from = c.name
			need = placing.Need{Context: need.Prompt, Output: need.Output}
		}
		s.copied = nil
	}
	if r.from.None() {
		need.Home = s.homeOf(s.req.Prompt.Name)
		c, predicted, ok := s.picker.Pick(list, need, s.model, now)
		if !ok {
			return nil, errNoUpstream
		}
		r.at = byID[c.ID]
		r.predicted = predicted
	}
	if u, ok := s.copyHost(r, list, byID, now); ok {
		r.backup = &u
	}
	r.ticket = s.picker.Place(r.at.ID, need, r.copyID())
	s.placedPrompt(s.req.Prompt.Name, r.at.ID)
	s.nudge()
	if s.running[r.at.ID] == nil {
		s.running[r.at.ID] = map[*stream]bool{}
	}
	s.running[r.at.ID][s] = true
	return r, nil
}

// copyHost chooses the upstream that keeps the copy of a run's memory. The caller holds the world's lock.
func (s *stream) copyHost(r *run, list []placing.Candidate, byID map[ids.VM]fleet.Upstream, now time.Time) (fleet.Upstream, bool) {
	if s.service.Engine == nil || !s.service.Engine.Backups || !s.route.Resumable {
		return fleet.Upstream{}, false
	}
	for i := range list {
		list[i].Suspect = list[i].Suspect || s.lostIn[list[i].Domain]
	}
	c, ok := s.picker.PickCopy(list, placing.Candidate{ID: r.at.ID, Domain: r.at.Domain}, s.need, s.model, now)
	return byID[c.ID], ok
}

func (s *stream) unplace(r *run) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	r.ticket.End()
	delete(s.running[r.at.ID], s)
	if len(s.running[r.at.ID]) == 0 {
		delete(s.running, r.at.ID)
	}
}

func (r *run) copyID() ids.VM {
	if r.backup == nil {
		return ""
	}
	return r.backup.ID
}

func (s *stream) setRun(conn connection, c *copier) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	s.copier = c
}

// copyLost tells that an upstream is out of use that may keep a copy of the generation's memory.
func (s *stream) copyLost(u fleet.Upstream, wholeDomain bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copier != nil {
		s.copier.lost(u, wholeDomain)
	}
}

// wake has the stream look at its upstream now.
func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.Wake()
	}
}

// follow sends the generation and passes its events on until it ends.
func (s *stream) follow(conn connection, r *run) error {
	stop := context.AfterFunc(s.ctx, conn.Close)
	defer stop()
	conn.Watch(func(quiet time.Duration) (time.Duration, error) { return s.quiet(r, quiet) })
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
	}
}

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
		return err
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		return err
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
	s.logEnd(http.StatusOK, "events", s.delivered, "first_event", s.firstAfter.String(), "longest_pause", s.pause.String())
	s.metrics.Histogram("longest_pause_ms", "service", string(s.service.Name)).Update(s.pause.Milliseconds())
	return nil
}

func (s *stream) firstEvent(r *run) {
	now := s.clock.Now()
	taken := now.Sub(r.began)
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.fleet.Proved(r.at.ID, now)
	r.ticket.Read()
	s.nudge()
	if r.from.None() {
		s.picker.Measured(r.at.ID, taken, r.predicted)
	}
	if s.delivered == 0 {
		s.metrics.Histogram("first_event_ms", "service", string(s.service.Name), "workspace", string(s.ws)).
			Update(now.Sub(s.began).Milliseconds())
	} else {
		s.metrics.Histogram("resume_ms", "service", string(s.service.Name)).Update(taken.Milliseconds())
	}
}
