// Package pace limits the requests in flight at an upstream that has just started or recovered, until it has shown that it carries what
// its peers carry.
//
// Such an upstream has a window: the number of requests that all routers together may have in flight there. The window grows while answers
// come as fast as those of the peers, holds when they slow down, and is halved when the upstream refuses, fails or stalls. It ends once it
// has reached what the peers carry. An upstream without a window is established.
//
// A full window only ranks the upstream behind others. While most upstreams of a service have windows, none is held back.
//
// Routers tell each other of their windows. A router applies such a report only to a window of its own, so that a router that does not know
// that an upstream has started treats it as established.
//
// # Usage
//
//	t := pace.New()
//	change, begun := t.Begin(pace.Start{ID: "engine-7", Started: 17}, pace.Registered, now)
//	t.RecordAnswer(pace.Answer{Start: start, Class: class, Ratio: 1.1}, now)
//	change, decreased := t.RecordTrouble(start, pace.Refused, now)
//	changes := t.Weigh(loads, othersUnseen, rand.Float64, now) // sets Full in loads
//	reports := t.Reports(now)                                  // for the other routers
//	changes = t.Merge("entry-2", reportsOfAnother, now)
package pace

import (
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// initialSize is the least size of a window at its beginning: with one request, a single slow answer would hold the upstream back.
	// initialShare is the part of what the peers carry that it begins with if that is more. An upstream with cold caches that began with a
	// fixed two requests did not reach its share within four seconds in the model of the tests.
	initialSize  = 2
	initialShare = 1.0 / 3
	minSize      = 1
	// decreaseInterval is the least time between two decreases of a window, so that one overload counts once. Answers within it are
	// still those to requests that were sent before the decrease.
	decreaseInterval = 500 * time.Millisecond
	// settleTime is how long other routers must have had an upstream carry what its peers carry, without trouble, until this router takes
	// it for established. It exceeds the time in which several routers that send at once to an empty upstream learn of each other.
	settleTime = 2 * time.Second
	// maxWindows bounds the windows. Beyond it upstreams count as established.
	maxWindows = 4096
)

// Start is one start of an upstream.
type Start struct {
	ID      ids.VM
	Started int64
}

// Cause is the event that begins a window.
type Cause string

// The causes.
const (
	// Registered is the registration of a new start.
	Registered Cause = "registered"
	// Returned is an answer after a loss.
	Returned Cause = "returned"
	// Ejected is an ejection because of failures.
	Ejected Cause = "ejected"
	// Paused is a pause that the upstream has asked for.
	Paused Cause = "paused"
	// Moved is a start at an address that another upstream has used.
	Moved Cause = "moved"
)

// Trouble is a sign that an upstream has more requests than it can serve.
type Trouble string

// The signs of trouble.
const (
	Refused Trouble = "refused"
	// Failed is an answer that fails. A single one does not decrease a window, since some requests fail through no fault of the upstream.
	Failed  Trouble = "failed"
	Stalled Trouble = "stalled"
)

// State is the state of a window after a change.
type State string

// The states.
const (
	Begun       State = "begun"
	Decreased   State = "decreased"
	Established State = "established"
)

// Change is a change of a window's state.
type Change struct {
	Start
	State State
	// Reason is the cause, the trouble, or how the upstream was found to be established.
	Reason string
	// Size and Before are the sizes of the window, Target the requests in flight that the peers carry.
	Size, Before, Target float64
	// Answers is the number of good answers that this router has seen within the window, Age the time since its beginning.
	Answers int
	Age     time.Duration
}

// LogFields returns the change as attributes of a log event.
func (c Change) LogFields() []any {
	return []any{
		"upstream", c.ID, "started", c.Started, "state", string(c.State), "reason", c.Reason, "window", c.Size, "window_before", c.Before,
		"peers_carry", c.Target, "answers", c.Answers, "age", c.Age.String(),
	}
}

// Tracker holds the windows of upstreams, as known to one router. It is not safe for concurrent use.
type Tracker struct {
	windows map[ids.VM]*window
	// ended holds the windows that have ended lately, for the other routers.
	ended  map[ids.VM]endedWindow
	speeds map[Class]*median
}

// New returns a tracker without windows: all upstreams are established.
func New() *Tracker {
	return &Tracker{windows: map[ids.VM]*window{}, ended: map[ids.VM]endedWindow{}, speeds: map[Class]*median{}}
}

// Len returns the number of windows.
func (t *Tracker) Len() int { return len(t.windows) }

// Begin begins the window of an upstream, and reports whether that changes its state. A window of the same start begins anew, except that a
// pause during a window counts as a refusal.
func (t *Tracker) Begin(s Start, cause Cause, now time.Time) (Change, bool) {
	old := t.windows[s.ID]
	if old != nil && old.start == s && cause == Paused {
		return t.RecordTrouble(s, Refused, now)
	}
	if old == nil && len(t.windows) >= maxWindows {
		return Change{}, false
	}
	epoch := 0
	if old != nil && old.start == s {
		epoch = old.epoch + 1
	}
	if e, known := t.ended[s.ID]; known && e.start == s {
		epoch = e.epoch + 1
		delete(t.ended, s.ID)
	}
	w := newWindow(s, epoch, now)
	if cause == Paused || cause == Ejected {
		// The refusal or failure behind the cause is reported as trouble too.
		w.decreasedAt = now
	}
	t.windows[s.ID] = w
	return w.change(Begun, string(cause), initialSize, now), true
}

// Rename carries a window over to the entry of the same start, whose start time was not known before.
func (t *Tracker) Rename(from, to Start) {
	w, known := t.windows[from.ID]
	if !known || w.start != from {
		return
	}
	delete(t.windows, from.ID)
	w.start = to
	t.windows[to.ID] = w
}

// Retain forgets the windows of starts for which current returns false.
func (t *Tracker) Retain(current func(s Start) bool) {
	for id, w := range t.windows {
		if !current(w.start) {
			delete(t.windows, id)
		}
	}
}

// get returns the window of a start, or nil.
func (t *Tracker) get(s Start) *window {
	if w, known := t.windows[s.ID]; known && w.start == s {
		return w
	}
	return nil
}

// end ends a window.
func (t *Tracker) end(w *window, reason string, target float64, now time.Time) Change {
	delete(t.windows, w.start.ID)
	t.ended[w.start.ID] = endedWindow{start: w.start, epoch: w.epoch, at: now}
	c := w.change(Established, reason, w.size(), now)
	c.Target = target
	return c
}
