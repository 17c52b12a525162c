package direct

import (
	"errors"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/sse"
)

// kvCopy is a copy of a generation's KV cache on another upstream.
type kvCopy struct {
	host fleet.Upstream
	ref  relay.Copy
	// source is the upstream that made the copy by a call, if ordered is set.
	source  fleet.Upstream
	ordered bool
}

// run is one attempt at the generation on one upstream.
type run struct {
	upstream fleet.Upstream
	// resumeFrom is the copy of the KV cache from which the run resumes, or nil.
	resumeFrom *kvCopy
	// backup is the upstream that receives a copy of the KV cache during the run, or nil.
	backup      *fleet.Upstream
	reservation *placement.Reservation
	// predicted is the predicted time to the first event.
	predicted time.Duration
	// slowness is the upstream's slowness factor at the time of placement.
	slowness float64
	placedAt time.Time
	stall    stallDetector
	// answering is set once the upstream has begun its answer.
	answering bool
	// lastID is the ID of the last event that the upstream sent, if hasID is set.
	lastID uint64
	hasID  bool
	// paceCheckedAt and paceCheckedEvents are the time and the number of events at the last check of the output rate.
	paceCheckedAt     time.Time
	paceCheckedEvents int
}

// observeID returns an error if an event's ID does not follow those of the run's earlier events.
func (r *run) observeID(e sse.Event) error {
	if !e.HasID {
		return nil
	}
	if r.hasID && e.ID <= r.lastID {
		return errRepeats
	}
	r.lastID, r.hasID = e.ID, true
	return nil
}

// errRepeats ends a run whose upstream sends an event again, which is no progress.
var errRepeats = errors.New("the upstream repeats an event")

var errNoUpstream = errors.New("no upstream is available")

// runOnce places the generation on an upstream and runs it there. A nil error means that the caller has the final answer.
func (s *stream) runOnce() error {
	if err := s.checkQuarantine(); err != nil {
		return err
	}
	r, err := s.place()
	if err != nil {
		return err
	}
	defer s.release(r)
	conn, err := s.connect(s.ctx, r.upstream)
	if err != nil {
		s.logAttemptEnd(r.upstream.ID, err, "events", s.delivered, "last_event", s.lastEventID, "sent", false)
		s.refusals++
		s.tried[r.upstream.ID] = true
		s.avoidDomain(r.upstream.Domain)
		if r.resumeFrom != nil {
			s.resumeCopy = r.resumeFrom
		}
		return err
	}
	s.dropResumeCopy()
	s.countAttempt()
	r.stall.resumeReading(s.clock.Now())
	s.logAttempt(r.upstream.ID, "domain", r.upstream.Domain, "predicted", r.predicted.String(),
		"continues_copy", r.resumeFrom != nil, "copy_at", r.backupID(), "last_event", s.lastEventID, "reused", conn.Reused())
	c := newCopier(s, r)
	s.setRun(conn, c)
	deliveredBefore := s.delivered
	err = s.sendAndForward(conn, r)
	s.setRun(nil, nil)
	c.stop()
	s.logAttemptEnd(r.upstream.ID, err, "events", s.delivered, "last_event", s.lastEventID)
	if err == nil {
		conn.Release()
		c.end(false)
		return nil
	}
	conn.Close()
	if s.callerLost(err) {
		c.end(false)
		return err
	}
	s.handleFailedRun(r, err)
	s.countRefusal(err)
	// An upstream starts copying after it has processed the prompt, so events mean that a copy exists.
	s.resumeCopy = c.end(s.delivered > deliveredBefore)
	return err
}

// handleFailedRun updates the upstream's state after a failed run, and excludes it from the next runs unless it may be
// retried.
func (s *stream) handleFailedRun(r *run, err error) {
	if r.stall.events > 0 {
		s.state.mu.Lock()
		s.fleet.RecordAnswer(r.upstream.ID, r.stall.lastEventAt)
		s.state.mu.Unlock()
	}
	switch {
	case s.callerLost(err), errors.As(err, new(*quarantineError)):
	case errors.Is(err, errNotRun), errors.Is(err, errHung), errors.Is(err, errUpstreamSlow):
		s.tried[r.upstream.ID] = true
	case errors.Is(err, errAddressReused):
		// The other upstreams of the failure domain may have restarted too.
		s.tried[r.upstream.ID] = true
		s.avoidDomain(r.upstream.Domain)
	case errors.Is(err, errUnreachable):
		s.abandon(r, err)
	case errors.Is(err, sse.ErrTooLong), errors.Is(err, errRepeats), fault.CodeOf(err) == fault.ReplyTooLarge:
		s.tried[r.upstream.ID] = true
		s.recordFailure(r)
	case s.failedAlive[r.upstream.ID]:
		s.abandon(r, err)
	case !s.prober.alive(r.upstream):
		s.abandon(r, err)
		s.recordCrash(r, err)
	default:
		// The upstream answers probes and has the prompt in its KV cache, so it may be chosen once more.
		s.failedAlive[r.upstream.ID] = true
		s.recordFailure(r)
	}
}

// recordFailure records that an upstream failed a run before the first event although it answers probes.
func (s *stream) recordFailure(r *run) {
	if r.stall.events > 0 {
		return
	}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	if s.picker.RecordFailure(r.upstream.ID, s.clock.Now()) {
		s.log.Write(event.UpstreamSlow, "upstream", r.upstream.ID, "request", s.req.ID, "sign", "failed before first event")
	}
}

// abandon keeps further runs and copies off an upstream and its failure domain, and marks the upstream as lost unless it has
// failed an earlier run while answering probes.
func (s *stream) abandon(r *run, err error) {
	s.tried[r.upstream.ID] = true
	s.avoidDomain(r.upstream.Domain)
	if !s.failedAlive[r.upstream.ID] {
		s.markLost(r.upstream, err.Error())
	}
}

// place chooses the upstream of the next run and the one that receives the copy of its KV cache.
func (s *stream) place() (*run, error) {
	now := s.clock.Now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	placementReq := s.placementReq
	placementReq.CachedAt = s.promptEngine(s.req.Prompt.Name)
	list := s.runCandidates(s.tried, placementReq.CachedAt, now)
	r := &run{placedAt: now}
	if u, ok := s.resumeHost(list); ok {
		r.upstream = u
		r.resumeFrom, s.resumeCopy = s.resumeCopy, nil
		placementReq = placement.Request{Context: placementReq.Prompt, Output: placementReq.Output}
	} else {
		c, predicted, ok := s.picker.Pick(list.candidates, placementReq, s.model, now)
		if !ok {
			return nil, errNoUpstream
		}
		r.upstream = list.get(c.ID)
		r.predicted = predicted
	}
	if u, ok := s.pickCopyHost(r, list, now); ok {
		r.backup = &u
	}
	r.slowness = s.picker.Slowness(r.upstream.ID, now)
	r.reservation = s.picker.Reserve(r.upstream.ID, placementReq, r.backupID())
	s.recordPrompt(s.req.Prompt.Name, r.upstream.ID)
	s.broadcastSoon()
	if s.running[r.upstream.ID] == nil {
		s.running[r.upstream.ID] = map[*stream]bool{}
	}
	s.running[r.upstream.ID][s] = true
	return r, nil
}

// resumeHost returns the upstream that holds the copy from which the next run resumes, if it may receive the run. The caller must hold
// s.state.mu.
func (s *stream) resumeHost(list candidateList) (fleet.Upstream, bool) {
	c := s.resumeCopy
	if c == nil {
		return fleet.Upstream{}, false
	}
	u, known := s.fleet.Get(c.host.ID)
	usable := known && u.Started == c.host.Started && (u.Available() || list.get(u.ID).ID != "")
	return u, usable
}

// dropResumeCopy frees the copy that was not used for a run that is about to be sent elsewhere.
func (s *stream) dropResumeCopy() {
	s.freeCopyAsync(s.resumeCopy)
	s.resumeCopy = nil
}

// avoidDomain makes further runs and copies prefer other failure domains.
func (s *stream) avoidDomain(d ids.FailureDomain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedDomains[d] = true
}

// runCandidates returns the candidates for runs and copies. The caller must hold s.state.mu.
func (s *stream) runCandidates(tried map[ids.VM]bool, preferred ids.VM, now time.Time) candidateList {
	list := s.candidates(tried, preferred, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, c := range list.candidates {
		list.candidates[i].Suspect = c.Suspect || s.failedDomains[c.Domain]
	}
	return list
}

// pickCopyHost chooses the upstream that receives the copy of a run's KV cache. The caller must hold s.state.mu.
func (s *stream) pickCopyHost(r *run, list candidateList, now time.Time) (fleet.Upstream, bool) {
	if s.service.Engine == nil || !s.service.Engine.Backups || !s.route.Resumable {
		return fleet.Upstream{}, false
	}
	c, ok := s.picker.PickCopy(list.candidates, placement.Candidate{ID: r.upstream.ID, Domain: r.upstream.Domain},
		s.placementReq, s.model, now)
	if !ok {
		return fleet.Upstream{}, false
	}
	return list.get(c.ID), true
}

// release ends a run's reservation and removes the stream from those that run on the upstream.
func (s *stream) release(r *run) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	r.reservation.Release()
	delete(s.running[r.upstream.ID], s)
	if len(s.running[r.upstream.ID]) == 0 {
		delete(s.running, r.upstream.ID)
	}
}

// backupID returns the ID of the upstream that receives the copy, or the empty ID.
func (r *run) backupID() ids.VM {
	if r.backup == nil {
		return ""
	}
	return r.backup.ID
}

// setRun sets the connection and the copier of the current run, which wake and copyLost use.
func (s *stream) setRun(conn connection, c *copier) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	s.copier = c
}

// copyHostLost reports to the copier that an upstream, or its whole failure domain, is unavailable.
func (s *stream) copyHostLost(u fleet.Upstream, wholeDomain bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.copier != nil {
		s.copier.hostLost(u, wholeDomain)
	}
}

// wake makes the stream check its upstream now.
func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.CheckStall()
	}
}
