// Package rollout decides how the requests of a service move to a new version of its upstreams, and whether that version is good.
//
// An operator's [Order] names the version. The leader, one of the routers, writes a [Record] with the phase and the share of requests
// that go to the new version. Every router draws by that share, counts answers of both versions, and tells the others its counts. Each one
// judges the new version from the sums that it knows: a router that finds it bad sends it nothing more and tells the others, and the
// leader writes the verdict.
//
// # Usage
//
//	t := rollout.New(rollout.DefaultSettings(), service, router, started, now)
//	t.SetOrder(&order, now); t.SetRecord(&record, revision, now)  // as read from the store; nil if the key is absent
//	t.SetPresent(present, now)                                    // upstreams that are registered, by version
//	choice := t.Choose(rand.Float64(), now)                       // then filter upstreams by Preferred, else by Fallback
//	sent := t.RecordRequest(request, now)
//	t.RecordAnswer(sent, outcome, now)                            // or t.Discard(sent, now)
//	report := t.Report(now); t.Merge(peerReport, now)             // state updates
//	next, decision := t.Step(oldRunning, now)                     // at the leader
package rollout

import (
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
)

// Version is the version of an upstream, as its entry names it. Upstreams without one have the empty version.
type Version string

// Route is the name of a route of a service.
type Route string

// Share is a part of a service's requests, from 0 to 1.
type Share float64

// Order is an operator's instruction to move a service to a version.
type Order struct {
	Service ids.Service
	To      Version
	// Duration is the time from the writing of the order to its deadline.
	Duration time.Duration
	// Revision is the revision of the store's key. The same order written again has a new one and is a new order.
	Revision store.Revision
}

// orderKey identifies an order. A store that returns from an older copy lists the same order with a revision of a later era, so the era is
// not part of it.
type orderKey struct {
	count uint64
	to    Version
}

func (o Order) key() orderKey { return orderKey{o.Revision.Count(), o.To} }

// Phase is the state of a rollout.
type Phase string

// Phases of a rollout.
const (
	// Canary sends a small share to the new version until it has given enough sound answers.
	Canary Phase = "canary"
	// Ramp raises the share by steps.
	Ramp Phase = "ramp"
	// Handover sends all new requests to the new version, while requests on old upstreams end.
	Handover Phase = "handover"
	// Completed is the verdict that the new version is good.
	Completed Phase = "completed"
	// RolledBack is the verdict that the new version is bad.
	RolledBack Phase = "rolled_back"
)

// Final reports whether the phase is a verdict.
func (p Phase) Final() bool { return p == Completed || p == RolledBack }

// order returns the position of a phase, which only rises within a rollout.
func (p Phase) order() int {
	switch p {
	case Canary:
		return 1
	case Ramp:
		return 2
	case Handover:
		return 3
	case Completed, RolledBack:
		return 4
	}
	return 0
}

// Verdict is what a router knows of the end of a rollout. The values are used on the wire.
type Verdict uint8

// Verdicts.
const (
	// Undecided means that no verdict is known.
	Undecided Verdict = iota
	// Rejected means that a router has found the version bad, and no verdict is known to be in the store. It has the effect of WrittenRolledBack.
	Rejected
	// WrittenRolledBack means that the leader has written rolled_back.
	WrittenRolledBack
	// WrittenCompleted means that the leader has written completed.
	WrittenCompleted
)

// String returns the verdict as it is logged.
func (v Verdict) String() string {
	switch v {
	case Undecided:
		return "undecided"
	case Rejected:
		return "rejected"
	case WrittenRolledBack:
		return string(RolledBack)
	case WrittenCompleted:
		return string(Completed)
	}
	return "unknown"
}

// written reports whether the verdict is known to have been in the store.
func (v Verdict) written() bool { return v == WrittenRolledBack || v == WrittenCompleted }

// Settings bound what a bad version may do.
type Settings struct {
	// ExposeShare and ExposeSlack bound the requests that a bad version gets: a share of all requests since the order, and a number.
	ExposeShare Share
	ExposeSlack int
	// Rollback is the time from a bad version's 50th bad answer after which it gets no request.
	Rollback time.Duration
}

// DefaultSettings returns the settings of a site that names none.
func DefaultSettings() Settings {
	return Settings{ExposeShare: 0.1, ExposeSlack: 50, Rollback: 5 * time.Second}
}
