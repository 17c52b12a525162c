package direct

import (
	"encoding/json"
	"strings"
	"time"

	"bilberrylug.dev/core/boottime"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/rollout"
	"bilberrylug.dev/core/store"
)

// rollouts is what the router knows of the rollouts of all services. The lock of the state guards it.
type rollouts struct {
	settings rollout.Settings
	router   ids.VM
	// started distinguishes one start of the router from the next.
	started  int64
	services map[ids.Service]*serviceRollout
	// generation is that of the directory of upstreams that the trackers know.
	generation uint64
	// heardAt is when another router or the store was last heard, also if the machine was suspended since.
	heardAt boottime.Instant
	// leader is the key of the leader as it is in the store, vacantSince since when nobody leads although there is something to decide.
	leader      leaderKey
	vacantSince time.Time
	// peerRunning holds the requests that run at upstreams, as the other routers have told.
	peerRunning map[ids.VM]peerRunning
}

// serviceRollout is what the router knows of the rollouts of one service.
type serviceRollout struct {
	*rollout.Tracker
	service ids.Service
	// order is the order in the store, nil if there is none, and orderValue its value as the operator has written it.
	order      *rollout.Order
	orderValue []byte
	// record is the record in the store, nil if there is none, and recordAt the revision of its key, zero if there is none.
	record   *rollout.Record
	recordAt store.Revision
	// logged is the verdict that was logged last for the order.
	logged rollout.Verdict
}

// leaderKey is the leader's key in the store.
type leaderKey struct {
	at    store.Revision
	value string
	// seenAt is when this router first saw the value.
	seenAt time.Time
}

// peerRunning holds the numbers of requests that another router runs, by upstream.
type peerRunning struct {
	at      time.Time
	running map[ids.VM]int
}

// newRollouts returns nil if the settings have no rollouts.
func newRollouts(cfg Settings, started time.Time, boot boottime.Clock) *rollouts {
	if cfg.Rollouts == nil {
		return nil
	}
	return &rollouts{
		settings: cfg.Rollouts.bounds(), router: cfg.VM, started: started.UnixNano(), services: map[ids.Service]*serviceRollout{},
		heardAt: boot.Now(), peerRunning: map[ids.VM]peerRunning{},
	}
}

// bounds returns the settings of package rollout.
func (r *Rollouts) bounds() rollout.Settings {
	out := rollout.DefaultSettings()
	out.ExposeShare = rollout.Share(r.ExposeShare)
	out.ExposeSlack = int(r.ExposeSlack)
	if r.RollbackMs > 0 {
		out.Rollback = time.Duration(r.RollbackMs) * time.Millisecond
	}
	return out
}

// rolloutOf returns the rollouts of a service, or nil if the settings have none. The caller must hold st.mu.
func (st *state) rolloutOf(service ids.Service) *serviceRollout {
	r := st.rollouts
	if r == nil {
		return nil
	}
	s, known := r.services[service]
	if !known {
		s = &serviceRollout{Tracker: rollout.New(r.settings, service, r.router, r.started, st.clock.Now()), service: service}
		r.services[service] = s
	}
	return s
}

// running reports whether there is an order without a verdict in the store.
func (s *serviceRollout) running() bool {
	return s.order != nil && (s.record == nil || !s.record.For(*s.order) || !s.record.Phase.Final())
}

// handingOver reports whether all new requests go to the new version.
func (s *serviceRollout) handingOver() bool {
	return s.running() && s.record != nil && s.record.For(*s.order) && s.record.Phase == rollout.Handover
}

// rolloutHeard records that another router or the store was heard. The caller must hold st.mu.
func (st *state) rolloutHeard(now time.Time) {
	if st.rollouts == nil {
		return
	}
	st.rollouts.heardAt = st.boot.Now()
	for _, s := range st.rollouts.services {
		s.Hear(now)
	}
}

// updatePresence tells the trackers which versions are registered, if that may have changed. The caller must hold st.mu.
func (st *state) updatePresence(now time.Time) {
	r := st.rollouts
	if r == nil || r.generation == st.fleet.Generation() {
		return
	}
	r.generation = st.fleet.Generation()
	for service, s := range r.services {
		s.SetPresent(st.presence(service), now)
	}
}

// presence returns the registered upstreams of a service by version.
func (st *state) presence(service ids.Service) []rollout.Presence {
	var out []rollout.Presence
	index := map[string]int{}
	type place struct {
		version string
		domain  ids.FailureDomain
	}
	domains := map[place]bool{}
	for _, u := range st.fleet.Registered(service) {
		i, known := index[u.Version]
		if !known {
			i = len(out)
			index[u.Version] = i
			out = append(out, rollout.Presence{Version: rollout.Version(u.Version)})
		}
		out[i].Upstreams++
		out[i].Slots += u.Slots
		if at := (place{u.Version, u.Domain}); !domains[at] {
			domains[at] = true
			out[i].Domains++
		}
	}
	return out
}

// applyOrder applies a change of an order.
func (st *state) applyOrder(c store.Change) {
	service := ids.Service(strings.TrimPrefix(c.Key, st.decode.Layout.RolloutOrders))
	now := st.clock.Now()
	if c.Removed {
		st.mu.Lock()
		defer st.mu.Unlock()
		s := st.rolloutOf(service)
		s.order, s.orderValue, s.logged = nil, nil, rollout.Undecided
		s.SetOrder(nil, now)
		st.log.Write(event.RolloutOrdered, "service", service, "state", "order removed", "store_revision", c.Modified)
		return
	}
	o, err := st.decode.RolloutOrder(c.Key, c.Value)
	if err != nil {
		st.log.Write(event.EntryUnreadable, "key", c.Key, "error", err.Error(), "store_revision", c.Modified)
		return
	}
	o.Revision = c.Modified
	st.mu.Lock()
	defer st.mu.Unlock()
	s := st.rolloutOf(o.Service)
	s.order, s.orderValue, s.logged = &o, c.Value, rollout.Undecided
	s.SetOrder(&o, now)
	st.log.Write(event.RolloutOrdered, "service", o.Service, "to", o.To, "duration", o.Duration.String(), "store_revision", c.Modified)
	st.broadcastSoon()
}

const (
	// leaderName is the name of the leader's key among the records.
	leaderName = "leader"
	// recordSuffix is added to the record's key of a service whose name is that of the leader's key.
	recordSuffix = "/"
)

func (st *state) leaderKey() string { return st.decode.Layout.Rollouts + leaderName }

func (st *state) recordKey(service ids.Service) string {
	if service == leaderName {
		return st.decode.Layout.Rollouts + leaderName + recordSuffix
	}
	return st.decode.Layout.Rollouts + string(service)
}

// applyRecord applies a change of a record or of the leader's key. An older one than the last is ignored.
func (st *state) applyRecord(c store.Change) {
	now := st.clock.Now()
	st.mu.Lock()
	defer st.mu.Unlock()
	if c.Key == st.leaderKey() {
		st.applyLeader(c)
		return
	}
	service := ids.Service(strings.TrimSuffix(strings.TrimPrefix(c.Key, st.decode.Layout.Rollouts), recordSuffix))
	s := st.rolloutOf(service)
	if c.Modified < s.recordAt {
		return
	}
	var record *rollout.Record
	if !c.Removed {
		record = &rollout.Record{}
		if err := json.Unmarshal(c.Value, record); err != nil {
			st.log.Write(event.EntryUnreadable, "key", c.Key, "error", err.Error(), "store_revision", c.Modified)
			return
		}
	}
	before := s.record
	s.record, s.recordAt = record, c.Modified
	if c.Removed {
		s.recordAt = 0
	}
	s.SetRecord(record, c.Modified, now)
	st.logRecord(s, before, c.Modified)
}

// logRecord logs a record whose phase or share differs from that before. The caller must hold st.mu.
func (st *state) logRecord(s *serviceRollout, before *rollout.Record, at store.Revision) {
	r := s.record
	if r == nil || before != nil && before.Order == r.Order && before.Phase == r.Phase && before.Share == r.Share {
		return
	}
	st.log.Write(event.RolloutPhase, "service", s.service, "to", r.To, "phase", r.Phase, "share", float64(r.Share), "reason", r.Reason,
		"elapsed", r.Elapsed.String(), "requests", r.Requests, "exposed", r.Exposed, "store_revision", at)
	st.metrics.Gauge("rollout_share_percent", "service", string(s.service)).Update(int64(100 * float64(r.Share)))
	if r.Phase.Final() {
		s.logged = r.Verdict()
	}
	st.broadcastSoon()
}

// checkVerdict logs a verdict that this router has just reached or learnt, and tells the other routers. The caller must hold st.mu.
func (st *state) checkVerdict(s *serviceRollout) {
	v, reason := s.Verdict()
	if v == rollout.Undecided || v == s.logged {
		return
	}
	s.logged = v
	st.log.Write(event.RolloutVerdict, "service", s.service, "to", s.order.To, "verdict", v.String(), "reason", reason,
		"elapsed", s.Elapsed(st.clock.Now()).String(), "order_revision", s.order.Revision)
	st.metrics.Counter("rollout_verdicts", "service", string(s.service), "verdict", v.String()).Inc(1)
	st.broadcastSoon()
}
