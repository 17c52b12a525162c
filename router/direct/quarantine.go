package direct

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/quarantine"
	"bilberrylug.dev/core/sse"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
	"bilberrylug.dev/router/upstream"
)

// quarantineError ends a generation a part of whose prompt is quarantined.
type quarantineError struct{ verdict quarantine.Verdict }

// Error returns the part and the evidence against it.
func (e *quarantineError) Error() string {
	return fmt.Sprintf("prompt part %s is quarantined after %d crashes of upstreams", e.verdict.Part, e.verdict.Crashes)
}

// fault returns the refusal, which tells the caller when the part is tried again.
func (e *quarantineError) fault() error {
	f := fault.New(fault.PromptQuarantined, "%s", e.Error())
	f.Kind.RetryAfter = e.verdict.Remaining
	return f
}

// checkQuarantine returns a [quarantineError] if the generation must not be sent to an upstream.
func (s *stream) checkQuarantine() error {
	now := s.clock.Now()
	v := locked(&s.state.mu, func() quarantine.Verdict { return s.quarantine.Check(s.req.ID, s.parts, now) })
	if !v.Allowed {
		return &quarantineError{v}
	}
	s.checkedAt = now
	if v.Trial {
		s.log.Write(event.QuarantineTrial, append([]any{"request", s.req.ID}, v.LogFields()...)...)
	}
	return nil
}

// quarantineInputs returns how long ago the prompt was checked and how many recent crashes count against its parts.
func (s *stream) quarantineInputs() (checkedAgo time.Duration, suspects int) {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	now := s.clock.Now()
	return now.Sub(s.checkedAt), s.quarantine.Suspects(s.parts, now)
}

// checkRunning returns a [quarantineError] if a run that has not proved its prompt sound should be ended before it crashes its
// upstream. A run that helps to tell which of several parts is to blame goes on.
func (s *stream) checkRunning(r *run) error {
	if r.stall.events >= quarantine.SoundEvents {
		return nil
	}
	v := locked(&s.state.mu, func() quarantine.Verdict { return s.quarantine.Check(s.req.ID, s.parts, s.clock.Now()) })
	if v.Allowed || v.Discriminates {
		return nil
	}
	return &quarantineError{v}
}

// endTrial ends the trials that the request holds.
func (s *stream) endTrial() {
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.quarantine.EndTrial(s.req.ID)
}

// recordSound records that a run has outlived its first events.
func (s *stream) recordSound() {
	s.applyQuarantine(locked(&s.state.mu, func() []quarantine.Change { return s.quarantine.RecordSound(s.parts, s.clock.Now()) }))
}

// recordCrash records that an upstream that answers no probe has ended before or as it began the answer, which is evidence against the
// parts of the prompt: an upstream that crashes on its first event may take the header with it. Sound requests that waited there are
// lost in the same way; their parts are cleared by the next sound run, and explained by the part that all such losses have in common.
func (s *stream) recordCrash(r *run, err error) {
	if len(s.parts) == 0 {
		return
	}
	if reason := notEvidence(r, err); reason != "" {
		s.recordLoss(r)
		s.logLossNotCounted(r, err, reason)
		return
	}
	s.log.Write(event.PromptSuspected, "request", s.req.ID, "upstream", r.upstream.ID, "started", r.upstream.Started,
		"parts", s.parts, "events", r.stall.events, "error", err.Error())
	s.metrics.Counter("prompt_crashes", "service", string(s.service.Name)).Inc(1)
	changes := locked(&s.state.mu, func() []quarantine.Change {
		return s.quarantine.RecordCrash(quarantine.Crash{
			Request: s.req.ID, Parts: s.parts, Upstream: r.upstream.ID, Started: r.upstream.Started, At: s.clock.Now(),
		})
	})
	s.applyQuarantine(changes)
	s.broadcastSoon()
	if len(changes) > 0 {
		s.saveQuarantineSoon()
	}
}

// recordLoss records that the upstream of a run that had proved its prompt sound was lost.
func (s *stream) recordLoss(r *run) {
	if r.stall.events < quarantine.SoundEvents {
		return
	}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.quarantine.RecordLoss(r.upstream.ID, r.upstream.Started, s.clock.Now())
}

// settleQuarantine takes the decisions that follow from the time that has passed since crashes.
func (st *state) settleQuarantine() {
	changes := locked(&st.mu, func() []quarantine.Change { return st.quarantine.Settle(st.clock.Now()) })
	st.applyQuarantine(changes)
	if len(changes) > 0 {
		st.saveQuarantineSoon()
	}
}

// recordIfReplaced records a crash if the address of an upstream that broke a run off, and answers probes, answers with another ID: the
// upstream has crashed and another process is there already.
func (s *stream) recordIfReplaced(ctx context.Context, r *run, err error) {
	path, ok := s.healthPath(r.upstream)
	if !ok || !locked(&s.state.mu, func() bool { return s.fleet.ClaimCheck(r.upstream.ID, s.clock.Now()) }) {
		s.logLossNotCounted(r, err, "the upstream answers a probe and is not asked for its ID")
		return
	}
	id, sentAt, askErr := s.askID(ctx, r.upstream, path)
	if id == "" || id == r.upstream.ID {
		s.logLossNotCounted(r, err, "the upstream answers a probe and has its ID, or tells none: "+errorText(askErr))
		return
	}
	s.recordCrash(r, err)
	s.updateID(r.upstream, id, sentAt)
}

// notEvidence returns why the loss of an upstream under a run is no evidence against the run's prompt, or nothing if it is.
func notEvidence(r *run, err error) string {
	switch {
	case errors.Is(err, upstream.ErrNotSent), errors.Is(err, upstream.ErrPartlySent):
		return "the request had not been sent"
	case r.stall.events >= quarantine.SoundEvents:
		return "the run had outlived its first events"
	case !brokenOff(err):
		return "the connection was not broken off"
	}
	return ""
}

// logLossNotCounted logs a failed run that is no evidence against its prompt.
func (s *stream) logLossNotCounted(r *run, err error, reason string) {
	s.log.Write(event.LossNotCounted, "request", s.req.ID, "upstream", r.upstream.ID, "started", r.upstream.Started, "reason", reason,
		"events", r.stall.events, "error", err.Error())
}

// brokenOff reports whether an error says that the upstream has closed or reset the connection within an answer.
func brokenOff(err error) bool {
	var network *net.OpError
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, sse.ErrTruncated) || errors.Is(err, errTruncated) || errors.As(err, &network) && !network.Timeout()
}

// quarantineReport returns what the other routers are told.
func (st *state) quarantineReport() *wire.PromptQuarantine {
	st.mu.Lock()
	defer st.mu.Unlock()
	return wireconv.QuarantineToWire(st.quarantine.Report(st.clock.Now()))
}

// mergeQuarantine merges what another router has told.
func (st *state) mergeQuarantine(sender ids.VM, q *wire.PromptQuarantine) {
	report := wireconv.QuarantineFromWire(q)
	st.applyQuarantine(locked(&st.mu, func() []quarantine.Change { return st.quarantine.Merge(sender, report, st.clock.Now()) }))
}

// applyQuarantine logs decisions on parts of prompts, and makes the runs with a part that has just been quarantined check whether they
// should end.
func (st *state) applyQuarantine(changes []quarantine.Change) {
	for _, c := range changes {
		st.log.Write(event.PartQuarantine, c.LogFields()...)
		if c.State != quarantine.Opened {
			continue
		}
		for _, s := range st.runningWith(c.Part) {
			s.wake()
		}
	}
	if len(changes) > 0 {
		st.broadcastSoon()
	}
}

// runningWith returns the running streams whose prompts have a part.
func (st *state) runningWith(p quarantine.Part) []*stream {
	st.mu.Lock()
	defer st.mu.Unlock()
	var out []*stream
	for _, streams := range st.running {
		for s := range streams {
			if quarantine.Includes(s.parts, p) {
				out = append(out, s)
			}
		}
	}
	return out
}
