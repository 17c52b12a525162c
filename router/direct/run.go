package direct

import (
	"errors"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/relay"
)

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
	ticket    *placement.Reservation
	predicted time.Duration
	// slowness is that of the upstream when the run was placed.
	slowness float64
	began    time.Time
	silence  silence
	// paceFrom and paceAt are the time and the number of events at the last look at the run's pace.
	paceFrom time.Time
	paceAt   int
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
		s.refusals++
		s.tried[r.at.ID] = true
		s.avoid(r.at.Domain)
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
		conn.Release()
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
		s.fleet.RecordAnswer(r.at.ID, r.silence.lastEvent)
		s.world.mu.Unlock()
	}
	switch {
	case s.callerGone(), errors.Is(err, errCallerLost):
	case errors.Is(err, errNotRun), errors.Is(err, errHung), errors.Is(err, errSlow):
		s.tried[r.at.ID] = true
	case errors.Is(err, errMoved):
		// Its neighbours may have started anew with it.
		s.tried[r.at.ID] = true
		s.avoid(r.at.Domain)
	case errors.Is(err, errDead):
		s.leave(r, err)
	case s.failedAt[r.at.ID] || !s.probes.alive(r.at):
		s.leave(r, err)
	default:
		// The upstream lives and keeps the prompt, so it may be chosen once more.
		s.failedAt[r.at.ID] = true
		s.noteFailure(r)
	}
}

// noteFailure notes an upstream that failed a run before its first event though it lives.
func (s *stream) noteFailure(r *run) {
	if r.silence.events > 0 {
		return
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	if s.picker.RecordFailure(r.at.ID, s.clock.Now()) {
		s.log.Write(event.UpstreamSlow, "upstream", r.at.ID, "request", s.req.ID, "sign", "failed a prompt")
	}
}

// leave keeps the next runs and copies away from an upstream and its failure domain.
func (s *stream) leave(r *run, err error) {
	s.tried[r.at.ID] = true
	s.avoid(r.at.Domain)
	if !s.failedAt[r.at.ID] {
		s.lost(r.at, err.Error())
	}
}

// place chooses the upstream of the next run and the one that keeps the copy of its memory.
func (s *stream) place() (*run, error) {
	now := s.clock.Now()
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	list, byID := s.hosts(s.tried, now)
	r := &run{began: now}
	need := s.need
	if c := s.copied; c != nil {
		if u, known := s.fleet.Get(c.at.ID); known && u.Started == c.at.Started && u.Available() {
			r.at = u
			r.from = c.name
			need = placement.Request{Context: need.Prompt, Output: need.Output}
		}
		s.copied = nil
	}
	if r.from.None() {
		need.CachedAt = s.homeOf(s.req.Prompt.Name)
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
	r.slowness = s.picker.Slowness(r.at.ID, now)
	r.ticket = s.picker.Reserve(r.at.ID, need, r.copyID())
	s.placedPrompt(s.req.Prompt.Name, r.at.ID)
	s.nudge()
	if s.running[r.at.ID] == nil {
		s.running[r.at.ID] = map[*stream]bool{}
	}
	s.running[r.at.ID][s] = true
	return r, nil
}

// avoid has further runs and copies placed in other failure domains, while there are any.
func (s *stream) avoid(d ids.FailureDomain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostIn[d] = true
}

// hosts returns the candidates for runs and copies. The caller holds the world's lock.
func (s *stream) hosts(tried map[ids.VM]bool, now time.Time) ([]placement.Candidate, map[ids.VM]fleet.Upstream) {
	list, byID := s.candidates(tried, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range list {
		list[i].Suspect = list[i].Suspect || s.lostIn[list[i].Domain]
	}
	return list, byID
}

// copyHost chooses the upstream that keeps the copy of a run's memory. The caller holds the world's lock.
func (s *stream) copyHost(r *run, list []placement.Candidate, byID map[ids.VM]fleet.Upstream, now time.Time) (fleet.Upstream, bool) {
	if s.service.Engine == nil || !s.service.Engine.Backups || !s.route.Resumable {
		return fleet.Upstream{}, false
	}
	c, ok := s.picker.PickCopy(list, placement.Candidate{ID: r.at.ID, Domain: r.at.Domain}, s.need, s.model, now)
	return byID[c.ID], ok
}

func (s *stream) unplace(r *run) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	r.ticket.Release()
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
		s.conn.CheckStall()
	}
}
