package sse

import (
	"errors"
	"fmt"
	"slices"
)

// ErrFaulty ends a run whose events show that it lacks a part of the stream, or has damaged one. The other errors of this file wrap it.
var ErrFaulty = errors.New("the run is faulty")

var (
	errRepeated   = fmt.Errorf("%w: an event comes again", ErrFaulty)
	errMissing    = fmt.Errorf("%w: events are missing", ErrFaulty)
	errDamaged    = fmt.Errorf("%w: an event has lines that no event has", ErrFaulty)
	errUnnumbered = fmt.Errorf("%w: it goes on with an event without an ID", ErrFaulty)
	errEndsEarly  = fmt.Errorf("%w: it ends before an event that the stream has", ErrFaulty)
)

// maxHeldBytes bounds the events that are held back.
const maxHeldBytes = 256 << 10

// Sequence decides which events of a stream are passed on while several runs deliver them, each from the last event on that was passed
// on. It passes on events at once that have the usual form and the next ID. Others wait for the event that follows, whose ID tells
// whether they are events of their own. A run that contradicts itself or the runs before it is faulty; what it has held back is dropped.
type Sequence struct {
	conventions *Conventions
	// last is the ID of the last event that was passed on or that the receiver already had, if numbered is set.
	last     uint64
	numbered bool
	// consecutive is set once the IDs have turned out to be consecutive, or to begin as consecutive ones do.
	consecutive bool
	// begun is set once an event was passed on.
	begun bool
	// unresumable is set once events were passed on whose place no ID tells.
	unresumable bool
	// incomplete is set while a run is known to have lost an event after the last one.
	incomplete bool
	// claimed was last claimed by the run at claimant.
	claimed  claim
	claimant string
	run      sequenceRun
	// ready holds the events that the last call has returned.
	ready []Event
}

// sequenceRun is the state of the current run.
type sequenceRun struct {
	source string
	final  bool
	// lastID is the last ID that the run has sent, if hasID is set.
	lastID uint64
	hasID  bool
	// progressed is set once an event of the run was passed on.
	progressed bool
	held       []Event
	heldBytes  int
}

// NewSequence returns the order of a stream. Resumes is set if the receiver has the events up to lastID.
func NewSequence(c *Conventions, lastID uint64, resumes bool) *Sequence {
	return &Sequence{conventions: c, last: lastID, numbered: resumes}
}

// LastID returns the ID of the last event that the receiver has, and false if it has none with an ID.
func (q *Sequence) LastID() (uint64, bool) { return q.last, q.numbered }

// Resumable reports whether another run may go on behind the events that were passed on.
func (q *Sequence) Resumable() bool { return !q.unresumable }

// Begin begins a run at a source. Final is set if no other run may follow, so that nothing is held back.
func (q *Sequence) Begin(source string, final bool) {
	q.run = sequenceRun{source: source, final: final}
}

// Progressed reports whether the current run has added an event.
func (q *Sequence) Progressed() bool { return q.run.progressed || q.run.holdsEvent() }

func (r *sequenceRun) holdsEvent() bool {
	return slices.ContainsFunc(r.held, func(e Event) bool { return !e.Trailing })
}

// Interrupt ends the current run, which was broken off. WithinEvent is set if it has sent a part of an event after those that it added.
func (q *Sequence) Interrupt(withinEvent bool) {
	q.incomplete = q.incomplete || withinEvent || q.run.holdsEvent()
	q.run.held, q.run.heldBytes = nil, 0
}

// End ends the current run at the end of its answer, and returns the events that were held back, or an error if that is not the end of
// the stream.
func (q *Sequence) End() ([]Event, error) {
	if q.run.hasID && q.numbered && q.run.lastID < q.last || q.incomplete && !q.Progressed() {
		return nil, errEndsEarly
	}
	return q.release(), nil
}

// Add adds an event of the current run, and returns the events that may be passed on. Their bytes are valid until the next event is
// read. An error means that the run is faulty.
func (q *Sequence) Add(e Event) ([]Event, error) {
	known, err := q.checkID(e)
	if known || err != nil {
		return nil, err
	}
	if err := q.checkForm(e); err != nil {
		return nil, err
	}
	if err := q.checkPlace(e); err != nil {
		q.incomplete = q.incomplete || e.HasID
		return nil, err
	}
	if e.HasID && e.Form == 0 || q.unresumable || q.run.final && !e.Trailing {
		return q.release(e), nil
	}
	q.hold(e)
	if q.withoutIDs() || q.run.heldBytes > maxHeldBytes {
		q.unresumable = true
		return q.release(), nil
	}
	return nil, nil
}

// checkID reports whether the receiver has the event already. The error is that of an ID which does not increase.
func (q *Sequence) checkID(e Event) (known bool, err error) {
	if !e.HasID {
		return false, nil
	}
	if q.run.hasID && e.ID <= q.run.lastID {
		return false, errRepeated
	}
	q.run.lastID, q.run.hasID = e.ID, true
	return q.numbered && e.ID <= q.last, nil
}

// checkForm checks whether a suspect event is whole.
func (q *Sequence) checkForm(e Event) error {
	suspect := e.Form & Suspect
	if suspect == 0 || q.agreed(claim{kind: hasForm, after: q.last, form: suspect}) || q.run.final && e.Form&Broken == 0 {
		return nil
	}
	q.incomplete = q.incomplete || !e.Trailing
	return errDamaged
}

// checkPlace checks whether an event follows those before it.
func (q *Sequence) checkPlace(e Event) error {
	previous, known := q.previousID()
	switch {
	case e.Trailing:
		return nil
	case !e.HasID:
		// A run that goes on in a numbered stream begins with the next ID.
		if q.begun && q.numbered && !q.Progressed() {
			return errUnnumbered
		}
		return nil
	case known:
		if e.ID != previous+1 && !q.skips(previous, e.ID) {
			return errMissing
		}
	case e.ID == firstID:
		q.conventions.begunAsUsual()
	case !q.unresumable && !q.mayBegin(e.ID):
		return errMissing
	}
	return nil
}

// mayBegin reports whether the stream begins with an unusual ID. In a last run this is so unless other streams of the service have begun
// as usual.
func (q *Sequence) mayBegin(id uint64) bool {
	if q.run.final && !q.conventions.beginAsUsual() {
		return true
	}
	return q.agreed(claim{kind: begins, id: id})
}

// skips reports whether the stream has no event between two IDs that differ by more than one. In a last run, which nothing can be
// compared with, this is so unless the IDs have been consecutive before.
func (q *Sequence) skips(previous, id uint64) bool {
	if q.run.final && !q.consecutive {
		return true
	}
	return q.agreed(claim{kind: follows, after: previous, id: id})
}

// previousID returns the ID of the last event that was passed on or held back.
func (q *Sequence) previousID() (uint64, bool) {
	for _, e := range slices.Backward(q.run.held) {
		if e.HasID {
			return e.ID, true
		}
	}
	return q.last, q.numbered
}

// agreed reports whether the streams of the service are known to be as the current run claims, or another run has claimed the same.
func (q *Sequence) agreed(c claim) bool {
	if q.conventions.allows(c) {
		return true
	}
	if q.claimed == c && q.claimant != q.run.source {
		q.conventions.learn(c)
		return true
	}
	q.claimed, q.claimant = c, q.run.source
	return false
}

// withoutIDs reports whether the stream seems to have no IDs at all.
func (q *Sequence) withoutIDs() bool {
	return !q.numbered && len(q.run.held) > 1 && !slices.ContainsFunc(q.run.held, func(e Event) bool { return e.HasID || e.Trailing })
}

// hold holds an event back.
func (q *Sequence) hold(e Event) {
	e.Raw = slices.Clone(e.Raw)
	q.run.held = append(q.run.held, e)
	q.run.heldBytes += len(e.Raw)
}

// release passes on what was held back, and further events.
func (q *Sequence) release(more ...Event) []Event {
	q.ready = append(append(q.ready[:0], q.run.held...), more...)
	q.run.held, q.run.heldBytes = nil, 0
	for _, e := range q.ready {
		if e.Trailing {
			continue
		}
		if e.HasID {
			q.consecutive = q.consecutive || q.numbered && e.ID == q.last+1 || !q.numbered && e.ID == firstID
			q.last, q.numbered = e.ID, true
		}
		q.begun, q.run.progressed, q.incomplete = true, true, false
		q.claimed = claim{}
	}
	return q.ready
}
