package fleet

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// State is the availability of an upstream as seen by one router.
type State string

// The states of an upstream.
const (
	// Available upstreams receive work.
	Available State = "available"
	// Suspected upstreams receive work only if others are much busier or there are none.
	Suspected State = "suspected"
	// Lost upstreams receive work only if all upstreams of their service that are not draining are lost.
	Lost State = "lost"
	// Draining upstreams receive no new work.
	Draining State = "draining"
)

// Condition is the state of an upstream with its reason.
type Condition struct {
	State State
	// Reason says why the upstream is not available. It is empty for an available one.
	Reason string
	// Age is the time since the observation behind the state, zero if it is not known.
	Age time.Duration
}

// All returns all upstreams of a service, sorted by ID.
func (d *Directory) All(service ids.Service) []Upstream {
	list := d.list(func(u *Upstream) bool { return u.Service == service })
	out := make([]Upstream, 0, len(list))
	for _, u := range list {
		out = append(out, *u)
	}
	return out
}

// Condition returns the state of an upstream. It changes nothing.
func (d *Directory) Condition(u Upstream, now time.Time) Condition {
	switch {
	case u.Draining:
		return Condition{State: Draining, Reason: "it has said that it is leaving"}
	case !u.lostAt.IsZero():
		return Condition{State: Lost, Reason: "this router found it unreachable", Age: now.Sub(u.lostAt)}
	case d.SuspectedByDomain(u, now):
		return Condition{
			State: Suspected, Reason: "others of its failure domain were lost", Age: now.Sub(d.lastLoss(u.Domain)),
		}
	case d.IsSuspected(u, now):
		return Condition{State: Suspected, Reason: "another router found it unreachable", Age: now.Sub(u.suspectedAt)}
	}
	return Condition{State: Available}
}
