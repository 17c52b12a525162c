package direct

import (
	"context"
	"errors"
	"time"

	"bilberrylug.dev/core/boottime"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/ratelimit"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/rollout"
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
	// sentAt is when the request was sent to the upstream.
	sentAt boottime.Instant
	// delay is how long the upstream does not take the run yet, charge the charge to its limit.
	delay  time.Duration
	charge ratelimit.Charge
	stall  stallDetector
	// sent is the run as it is counted for a rollout, nil if the settings have none. judged is set once its answer was counted.
	sent   *rollout.Sent
	judged bool
	// firstEventAt is when the first event arrived.
	firstEventAt time.Time
	// paceCheckedAt and paceCheckedEvents are the time and the number of events at the last check of the output rate.
	paceCheckedAt     time.Time
	paceCheckedEvents int
}

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
	if err := s.awaitLimit(r.upstream, r.delay, r.charge); err != nil {
		s.refusals++
		return err
	}
	conn, err := s.connect(s.ctx, r.upstream)
	if err != nil {
		s.logAttemptEnd(r.upstream.ID, err, "events", s.delivered, "last_event", s.lastEventID(), "sent", false)
		s.refusals++
		s.tried[r.upstream.ID] = true
		s.avoidDomain(r.upstream.Domain)
		if r.resumeFrom != nil {
			s.resumeCopy = r.resumeFrom
		}
		return err
	}
	// The wait for the limit and the connection may have been long.
	if err := s.checkQuarantine(); err != nil {
		s.pool.Put(conn)
		return err
	}
	s.dropResumeCopy()
	s.countAttempt()
	r.sent = s.recordSent(r.upstream, true)
	if r.backup != nil {
		s.recordCopyHost(*r.backup)
	}
	r.stall.resumeReading(s.clock.Now())
	checkedAgo, suspects := s.quarantineInputs()
	s.logAttempt(r.upstream.ID, "domain", r.upstream.Domain, "predicted", r.predicted.String(),
		"continues_copy", r.resumeFrom != nil, "copy_at", r.backupID(), "last_event", s.lastEventID(), "reused", conn.Reused(),
		"prompt_checked_ago", checkedAgo.String(), "prompt_crashes", suspects)
	c := newCopier(s, r)
	s.setRun(conn, c)
	deliveredBefore, failedBefore := s.delivered, s.failedAnswer
	err = s.sendAndForward(conn, r)
	s.recordRunEnd(r, err, failedBefore)
	s.setRun(nil, nil)
	c.stop()
	s.logAttemptEnd(r.upstream.ID, err, "events", s.delivered, "last_event", s.lastEventID())
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
		s.fleet.RecordAnswer(r.upstream, r.sentAt, r.stall.lastEventAt)
		s.state.mu.Unlock()
	}
	s.paceFailedRun(r, err)
	switch {
	case s.callerLost(err), errors.As(err, new(*quarantineError)):
	case errors.Is(err, errNotRun), errors.Is(err, errHung), errors.Is(err, errUpstreamSlow), errors.Is(err, errOldVersion):
		s.tried[r.upstream.ID] = true
	case errors.Is(err, errAddressReused):
		// The other upstreams of the failure domain may have restarted too.
		s.tried[r.upstream.ID] = true
		s.avoidDomain(r.upstream.Domain)
	case errors.Is(err, errUnreachable):
		s.abandon(r, err)
	case errors.Is(err, sse.ErrTooLong), errors.Is(err, sse.ErrFaulty), fault.CodeOf(err) == fault.ReplyTooLarge:
		s.tried[r.upstream.ID] = true
		s.recordFailure(r)
	case s.failedAlive[r.upstream.ID]:
		s.abandon(r, err)
	case !s.prober.alive(r.upstream):
		s.abandon(r, err)
		s.recordCrash(r, err)
	default:
		if len(s.parts) > 0 && notEvidence(r, err) == "" {
			s.prober.group.Go(func(ctx context.Context) { s.recordIfReplaced(ctx, r, err) })
		}
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
