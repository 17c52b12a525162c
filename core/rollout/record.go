package rollout

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"bilberrylug.dev/core/store"
)

// maxRolledBack bounds the versions that a record lists as rolled back. The oldest are dropped.
const maxRolledBack = 16

// Record is what the leader writes to the store about the rollout of a service. A successor continues from it.
type Record struct {
	// Order is the revision of the order to which the record belongs.
	Order store.Revision `json:"order"`
	To    Version        `json:"to"`
	// From lists the versions that were in service when the order was taken up.
	From  []Version `json:"from"`
	Phase Phase     `json:"phase"`
	// Share is the share of the requests that go to the new version.
	Share Share `json:"share"`
	// Elapsed is the time since the order was seen when the record was written.
	Elapsed time.Duration `json:"-"`
	// Since is the time since the order at which the phase was entered, and UsableAt the one at which the new version had an upstream, negative
	// as long as it has none.
	Since    time.Duration `json:"-"`
	UsableAt time.Duration `json:"-"`
	// Requests and Exposed are the requests of the service since the order, and those of them sent to the new version, as far as the leader
	// knew. They keep what routers that have ended had counted.
	Requests int `json:"requests"`
	Exposed  int `json:"exposed"`
	// Proven means that the new version has given enough sound answers.
	Proven bool `json:"proven,omitempty"`
	// RolledBack lists versions that were rolled back and not ordered since.
	RolledBack []Version `json:"rolled_back,omitempty"`
	// Reason is why the phase was entered.
	Reason string `json:"reason,omitempty"`
}

// unusable is the UsableAt of a version that has had no upstream.
const unusable time.Duration = -time.Millisecond

// recordJSON is the part of a record whose fields are encoded as they are.
type recordJSON Record

// encodedRecord is the JSON form of a record.
type encodedRecord struct {
	recordJSON
	ElapsedMS  int64 `json:"elapsed_ms"`
	SinceMS    int64 `json:"since_ms"`
	UsableAtMS int64 `json:"usable_at_ms"`
}

// MarshalJSON implements [json.Marshaler].
func (r Record) MarshalJSON() ([]byte, error) {
	return json.Marshal(encodedRecord{recordJSON(r), r.Elapsed.Milliseconds(), r.Since.Milliseconds(), r.UsableAt.Milliseconds()})
}

// UnmarshalJSON implements [json.Unmarshaler]. It refuses an unknown phase and a share that is none.
func (r *Record) UnmarshalJSON(b []byte) error {
	var v encodedRecord
	if err := json.Unmarshal(b, &v); err != nil {
		return fmt.Errorf("rollout: decode the record: %w", err)
	}
	if v.Phase.order() == 0 || v.Share < 0 || v.Share > 1 || v.ElapsedMS < 0 {
		return fmt.Errorf("rollout: record with phase %q, share %v, elapsed_ms %d", v.Phase, v.Share, v.ElapsedMS)
	}
	*r = Record(v.recordJSON)
	r.Elapsed = time.Duration(v.ElapsedMS) * time.Millisecond
	r.Since, r.UsableAt = time.Duration(v.SinceMS)*time.Millisecond, time.Duration(v.UsableAtMS)*time.Millisecond
	return nil
}

// For reports whether the record belongs to an order.
func (r Record) For(o Order) bool { return orderKey{r.Order.Count(), r.To} == o.key() }

// Verdict returns the verdict that the record contains.
func (r Record) Verdict() Verdict {
	switch r.Phase {
	case Completed:
		return WrittenCompleted
	case RolledBack:
		return WrittenRolledBack
	case Canary, Ramp, Handover:
	}
	return Undecided
}

// inService returns the versions that are in service after the record's rollout, whether it has ended or not.
func (r Record) inService() []Version {
	if r.Phase == Completed {
		return []Version{r.To}
	}
	return r.From
}

// forbidden returns the versions that get nothing until an order names them again.
func (r Record) forbidden() []Version {
	out := slices.DeleteFunc(slices.Clone(r.RolledBack), func(v Version) bool { return v == r.To })
	if r.Phase == RolledBack {
		out = append(out, r.To)
	}
	return out[max(0, len(out)-maxRolledBack):]
}

// State is the state of a rollout as the platform reads it.
type State string

// States of a rollout.
const (
	StateRunning    State = "running"
	StateCompleted  State = "completed"
	StateRolledBack State = "rolled_back"
)

// Status is what the platform reads about a rollout.
type Status struct {
	State State   `json:"state"`
	To    Version `json:"to"`
}

// Status returns the status to write beside the record.
func (r Record) Status() Status {
	switch r.Phase {
	case Completed:
		return Status{StateCompleted, r.To}
	case RolledBack:
		return Status{StateRolledBack, r.To}
	case Canary, Ramp, Handover:
	}
	return Status{StateRunning, r.To}
}
