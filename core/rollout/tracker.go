package rollout

import (
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
)

const (
	// settleTime is how long a router that has just started, or whose store has just returned from an older copy, listens for verdicts that
	// others know before it writes one as the leader. It exceeds the interval of state updates in a fleet of 300 routers, 1.9 s.
	settleTime = 2 * time.Second
	// baselineTime is how long versions that appear at a service without an order are taken to be in service: a router that starts learns
	// the entries one by one.
	baselineTime = 3 * time.Second
	// maxPast bounds the orders whose verdicts are kept after a newer order.
	maxPast = 16
)

// Presence describes the registered upstreams of one version.
type Presence struct {
	Version Version
	// Upstreams and Domains are the numbers of upstreams, and of the failure domains in which they are.
	Upstreams, Domains int
	// Slots is the number of requests that they take at once. It is zero if that is not known.
	Slots int
	// Age is the time since the oldest of the upstreams started. It is zero if that is not known. A router that starts tells by it which
	// version was there first, if there is no record.
	Age time.Duration
}

// Tracker holds what one router knows about the rollouts of one service. It is not safe for concurrent use.
type Tracker struct {
	settings  Settings
	service   ids.Service
	router    ids.VM
	started   int64
	createdAt time.Time
	// settleFrom is when the tracker was created, or last learnt that the store returned from an older copy.
	settleFrom time.Time
	// heardAt is when another router or the store was last heard.
	heardAt time.Time

	order *Order
	// orderAt is when the order was written, as far as this router knows. It is moved back when others know of an earlier time.
	orderAt time.Time
	record  *Record
	// recordRevision is the revision of the record's key.
	recordRevision store.Revision
	present        []Presence
	// baseline holds the versions in service while there was neither an order nor a record.
	baseline []Version
	policy   *policy

	// past holds the verdicts of earlier orders, the oldest first. A store that returns from an older copy may name one of them again.
	past []pastVerdict

	// The fields below belong to the newest order seen.
	rollout orderKey
	verdict Verdict
	// reason is why this router has rejected the version.
	reason string
	// suspicious means that the old versions are needed to compare with.
	suspicious bool
	assessedAt time.Time
	counts     counts
	sequence   uint64
}

// New returns the tracker of a service at a router. started distinguishes one start of the router from the next.
func New(s Settings, service ids.Service, router ids.VM, started int64, now time.Time) *Tracker {
	t := &Tracker{settings: s, service: service, router: router, started: started, createdAt: now, settleFrom: now, heardAt: now}
	t.counts.reset(0)
	t.refresh()
	return t
}

// SetOrder records the order as it is in the store, nil if there is none, and when this router saw it.
func (t *Tracker) SetOrder(o *Order, seen time.Time) {
	if o == nil {
		t.order = nil
		t.refresh()
		return
	}
	if t.order != nil {
		t.noteRevision(t.order.Revision, o.Revision, seen)
	}
	c := *o
	t.order = &c
	if key := o.key(); key != t.rollout {
		t.remember()
		t.rollout, t.orderAt, t.reason = key, seen, ""
		t.verdict, t.suspicious = t.recall(key), false
		t.counts.reset(o.Duration)
	}
	t.adoptRecord(seen)
	t.refresh()
}

// pastVerdict is the verdict of an earlier order.
type pastVerdict struct {
	key     orderKey
	verdict Verdict
}

// remember keeps the verdict of the order that is replaced.
func (t *Tracker) remember() {
	if t.verdict == Undecided {
		return
	}
	t.past = slices.DeleteFunc(t.past, func(p pastVerdict) bool { return p.key == t.rollout })
	t.past = append(t.past, pastVerdict{t.rollout, t.verdict})
	t.past = t.past[max(0, len(t.past)-maxPast):]
}

func (t *Tracker) recall(key orderKey) Verdict {
	for _, p := range t.past {
		if p.key == key {
			return p.verdict
		}
	}
	return Undecided
}

// SetRecord records the record as it is in the store, nil if there is none, and the revision at which its key was last changed or found
// removed. An older revision than the last one is ignored.
func (t *Tracker) SetRecord(r *Record, revision store.Revision, now time.Time) {
	if revision < t.recordRevision {
		return
	}
	t.noteRevision(t.recordRevision, revision, now)
	t.recordRevision = revision
	t.record = nil
	if r != nil {
		c := *r
		t.record = &c
	}
	t.adoptRecord(now)
	t.refresh()
}

// noteRevision starts the time to listen for verdicts if the store has returned from an older copy.
func (t *Tracker) noteRevision(known, revision store.Revision, now time.Time) {
	if known > 0 && revision.Era() > known.Era() {
		t.settleFrom = now
	}
}

// adoptRecord takes over what the record tells about the order.
func (t *Tracker) adoptRecord(now time.Time) {
	r := t.current()
	if r == nil {
		return
	}
	t.moveOrderAt(now.Add(-r.Elapsed))
	if v := r.Verdict(); v != Undecided {
		t.verdict = v
	}
}

// current returns the record of the order, or nil.
func (t *Tracker) current() *Record {
	if t.order == nil || t.record == nil || !t.record.For(*t.order) {
		return nil
	}
	return t.record
}

func (t *Tracker) moveOrderAt(at time.Time) {
	if at.Before(t.orderAt) {
		t.orderAt = at
	}
}

// SetPresent records the registered upstreams by version. A router that starts sets the order and the record first.
func (t *Tracker) SetPresent(list []Presence, now time.Time) {
	t.present = slices.DeleteFunc(slices.Clone(list), func(p Presence) bool { return p.Upstreams == 0 })
	if t.record == nil && (t.order == nil || len(t.baseline) == 0) {
		t.setBaseline(now)
	}
	t.refresh()
}

// setBaseline takes the versions that are registered before the first record as those in service, apart from the one that an order names.
// A version that appears later, while others are registered, is not in service until an order names it; nor is one that a router finds when it
// starts, if its upstreams are much younger than the others.
func (t *Tracker) setBaseline(now time.Time) {
	served := slices.ContainsFunc(t.present, func(p Presence) bool { return slices.Contains(t.baseline, p.Version) })
	if served && now.Sub(t.createdAt) >= baselineTime {
		return
	}
	if !served {
		t.baseline = nil
	}
	oldest := time.Duration(0)
	for _, p := range t.present {
		oldest = max(oldest, p.Age)
	}
	for _, p := range t.present {
		named := t.order != nil && p.Version == t.order.To
		if !named && 4*p.Age >= 3*oldest && !slices.Contains(t.baseline, p.Version) {
			t.baseline = append(t.baseline, p.Version)
		}
	}
}

// Hear records that another router or the store was heard. A router that hears neither sends nothing to a version without a verdict.
func (t *Tracker) Hear(now time.Time) {
	if now.After(t.heardAt) {
		t.heardAt = now
	}
}

// Verdict returns the highest verdict that this router knows for the order, and why it has rejected the version if it has.
func (t *Tracker) Verdict() (Verdict, string) {
	if t.order == nil || t.verdict == Undecided {
		return Undecided, ""
	}
	return t.verdict, t.reason
}

// Elapsed returns the time since the order was first seen by any router, as far as this router knows.
func (t *Tracker) Elapsed(now time.Time) time.Duration { return now.Sub(t.orderAt) }

// serviceVersions returns the versions in service apart from the order's, or nil if that is not known.
func (t *Tracker) serviceVersions() []Version {
	if t.record != nil {
		return t.record.inService()
	}
	return t.baseline
}
