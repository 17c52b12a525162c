package direct

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/rendezvous"
	"bilberrylug.dev/core/store"
)

const (
	// rolloutTick is the interval at which the leader looks at the rollouts that are under way.
	rolloutTick = 200 * time.Millisecond
	// leaderLease is the lease of the leader's key, leaderRenewal the interval of its renewals. Orders may take 15 s, so that a successor must
	// follow soon; a slow store takes some hundred milliseconds for a renewal.
	leaderLease   = 2 * time.Second
	leaderRenewal = 600 * time.Millisecond
	// leaderStagger is the time by which each router waits longer than the one before it, so that few ask the store at once.
	leaderStagger = 400 * time.Millisecond
	// leaderTimeout bounds a call of the leader to the store, leaderBackoff is the pause after one that failed.
	leaderTimeout = 1500 * time.Millisecond
	leaderBackoff = 300 * time.Millisecond
)

// rolloutLeader leads the rollouts of all services as long as it holds the leader's key in the store. It calls the store only while there
// is an order without a verdict. Only its loop uses it.
type rolloutLeader struct {
	*state
	store    store.Store
	minLease time.Duration
	// lease is that of the leader's key, zero without leadership. at and value are the key's revision and value.
	lease store.Lease
	at    store.Revision
	value string
	// renewAt is when the lease is to be renewed, pausedUntil the end of the pause after a failed call.
	renewAt     time.Time
	pausedUntil time.Time
}

// leaderValue is the value of the leader's key. The lease makes each taking of the key different.
type leaderValue struct {
	Router ids.VM `json:"router"`
	Lease  uint64 `json:"lease"`
}

// run leads when it is this router's turn, until ctx is done.
func (l *rolloutLeader) run(ctx context.Context) {
	for ctx.Err() == nil {
		l.tick(ctx)
		select {
		case <-ctx.Done():
		case <-l.clock.After(rolloutTick):
		}
	}
	if l.lease.ID != 0 && l.lease.Era == l.storeEra() {
		ctx, cancel := context.WithTimeout(context.Background(), entryRevokeTimeout)
		defer cancel()
		// A lease that is not revoked ends by itself.
		_ = l.store.Revoke(ctx, l.lease)
	}
}

func (l *rolloutLeader) tick(ctx context.Context) {
	now := l.clock.Now()
	if now.Before(l.pausedUntil) {
		return
	}
	running := l.runningRollouts()
	switch {
	case len(running) == 0 && l.lease.ID == 0:
		return
	case len(running) == 0:
		l.resign(ctx, "no order is without a verdict")
		return
	case l.lease.ID == 0 && !l.isTurn(now):
		return
	case l.lease.ID == 0:
		l.acquire(ctx)
		return
	}
	if !now.Before(l.renewAt) && !l.renew(ctx) {
		return
	}
	for _, service := range running {
		if l.lease.ID == 0 || ctx.Err() != nil {
			return
		}
		l.step(ctx, service)
	}
}

// runningRollouts returns the services with an order without a verdict in the store.
func (st *state) runningRollouts() []ids.Service {
	st.mu.Lock()
	defer st.mu.Unlock()
	var out []ids.Service
	for service, s := range st.rollouts.services {
		if s.running() {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	if len(out) == 0 || st.rollouts.leader.at != 0 {
		st.rollouts.vacantSince = time.Time{}
	} else if st.rollouts.vacantSince.IsZero() {
		st.rollouts.vacantSince = st.clock.Now()
	}
	return out
}

// isTurn reports whether this router may take the leader's key: there is none, and the routers that precede this one have had time to.
func (st *state) isTurn(now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	r := st.rollouts
	if r.leader.at != 0 || r.vacantSince.IsZero() {
		return false
	}
	before := 0
	own := rendezvous.Score(leaderName, r.router)
	for _, vm := range st.routers {
		if rendezvous.Score(leaderName, vm) > own {
			before++
		}
	}
	return now.Sub(r.vacantSince) >= time.Duration(before)*leaderStagger
}

// acquire takes the leader's key. The answer of the store may be lost, so that the key is read back.
func (l *rolloutLeader) acquire(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 2*leaderTimeout)
	defer cancel()
	lease, _, err := l.store.Grant(ctx, max(leaderLease, l.minLease))
	if err != nil {
		l.failed("acquire the leader's lease", err)
		return
	}
	// Marshalling a string and a number cannot fail.
	value, _ := json.Marshal(leaderValue{Router: l.rollouts.router, Lease: lease.ID})
	key := l.leaderKey()
	_, commitErr := l.store.Commit(ctx, store.Txn{Expect: []store.Expected{{Key: key}}, Puts: []store.Put{{Key: key, Value: value, Lease: lease}}})
	if err := l.readBack(ctx); err != nil {
		l.failed("read the leader's key", errors.Join(commitErr, err))
		return
	}
	held := locked(&l.mu, func() leaderKey { return l.rollouts.leader })
	if held.at == 0 || held.value != string(value) {
		_ = l.store.Revoke(ctx, lease)
		l.pausedUntil = l.clock.Now().Add(leaderBackoff)
		return
	}
	l.lease, l.at, l.value, l.renewAt = lease, held.at, held.value, l.clock.Now().Add(leaderRenewal)
	l.log.Write(event.RolloutLeading, "state", "leads", "fence", l.at)
}

// renew renews the lease, and reports whether this router still leads. Without an answer it goes on: its writes are conditional on the key.
func (l *rolloutLeader) renew(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	era, err := l.store.KeepAlive(ctx, l.lease)
	switch {
	case errors.Is(err, store.ErrLeaseEnded), err == nil && era != l.lease.Era:
		l.drop("the lease has ended")
		return false
	case err != nil:
		l.failed("renew the leader's lease", err)
		return false
	}
	l.renewAt = l.clock.Now().Add(leaderRenewal)
	return true
}

// resign gives the leadership back.
func (l *rolloutLeader) resign(ctx context.Context, reason string) {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	if l.lease.Era == l.storeEra() {
		if err := l.store.Revoke(ctx, l.lease); err != nil {
			l.failed("revoke the leader's lease", err)
		}
	}
	l.drop(reason)
}

func (l *rolloutLeader) drop(reason string) {
	l.lease, l.at, l.value = store.Lease{}, 0, ""
	l.log.Write(event.RolloutLeading, "state", "leads no more", "reason", reason)
}

func (l *rolloutLeader) failed(call string, err error) {
	l.pausedUntil = l.clock.Now().Add(leaderBackoff)
	l.log.Write(event.RolloutWriteFailed, "call", call, "error", err.Error())
}

// readBack reads the leader's key and all records from the store.
func (l *rolloutLeader) readBack(ctx context.Context) error {
	prefix := l.decode.Layout.Rollouts
	leader := false
	after := ""
	for {
		page, err := l.store.Range(ctx, prefix, after)
		if err != nil {
			return err
		}
		for _, i := range page.Items {
			leader = leader || i.Key == l.leaderKey()
			if strings.HasPrefix(i.Key, prefix) {
				l.applyRecord(store.Change{Item: i})
			}
			after = i.Key
		}
		if page.More && len(page.Items) > 0 {
			continue
		}
		if !leader {
			l.applyRecord(store.Change{Item: store.Item{Key: l.leaderKey(), Modified: page.Revision}, Removed: true})
		}
		return nil
	}
}

// applyLeader applies a change of the leader's key. The caller must hold st.mu.
func (st *state) applyLeader(c store.Change) {
	r := st.rollouts
	if c.Modified < r.leader.at {
		return
	}
	r.leader = leaderKey{at: c.Modified, value: string(c.Value)}
	if c.Removed {
		r.leader = leaderKey{}
	}
}

// step decides on the rollout of a service, and writes the decision.
func (l *rolloutLeader) step(ctx context.Context, service ids.Service) {
	p, ok := l.propose(service)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*leaderTimeout)
	defer cancel()
	_, err := l.store.Commit(ctx, p.txn)
	readErr := l.readBack(ctx)
	held := locked(&l.mu, func() leaderKey { return l.rollouts.leader })
	if readErr == nil && (held.at != l.at || held.value != l.value) {
		l.drop("another router has taken the leader's key")
	}
	if err = errors.Join(err, readErr); err != nil {
		// The answer may be lost: the record that was read back tells whether the decision was written.
		l.failed("write the decision on "+string(service), err)
	}
	l.log.Write(event.RolloutDecision, append(p.fields, "error", errorText(err))...)
}

// proposal is a decision to be written.
type proposal struct {
	txn    store.Txn
	fields []any
}

// propose returns the next decision on the rollout of a service, and false if there is nothing to write.
func (l *rolloutLeader) propose(service ids.Service) (proposal, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.rollouts.services[service]
	if !s.running() {
		return proposal{}, false
	}
	now := l.clock.Now()
	l.updatePresence(now)
	oldRunning := l.oldRunning(s, now)
	record, d := s.Step(oldRunning, now)
	l.checkVerdict(s)
	if !d.Write {
		return proposal{}, false
	}
	value, err := json.Marshal(record)
	if err != nil {
		l.log.Write(event.RolloutWriteFailed, "service", service, "error", err.Error())
		return proposal{}, false
	}
	statusKey, status := l.decode.RolloutStatus(service, record.Status(), s.orderValue)
	key := l.recordKey(service)
	out := proposal{
		txn: store.Txn{
			Expect: []store.Expected{
				{Key: l.leaderKey(), Modified: l.at}, {Key: l.decode.Layout.RolloutOrders + string(service), Modified: s.order.Revision},
				{Key: key, Modified: s.recordAt},
			},
			Puts: []store.Put{{Key: key, Value: value}, {Key: statusKey, Value: status}},
		},
		fields: []any{
			"service", service, "to", record.To, "phase", record.Phase, "share", float64(record.Share), "reason", d.Reason,
			"judgement", d.Judgement.String(), "log_ratio", d.Judgement.LogRatio, "proven", record.Proven, "requests", record.Requests, "exposed", record.Exposed,
			"elapsed", record.Elapsed.String(), "old_running", oldRunning, "fence", l.at, "order_revision", s.order.Revision, "record_before", s.recordAt,
		},
	}
	return out, true
}

// oldRunning returns the number of requests that run at upstreams of the old versions, as far as the routers have told. The caller must
// hold st.mu.
func (st *state) oldRunning(s *serviceRollout, now time.Time) int {
	n := 0
	ttl := max(minRunningTTL, st.picker.PeerTTL)
	calls, work := st.calls.OwnCalls(), st.picker.OwnWork()
	for _, id := range st.oldUpstreams(s) {
		n += calls[id] + max(0, work[id].Running)
		for _, p := range st.rollouts.peerRunning {
			if now.Sub(p.at) <= ttl {
				n += p.running[id]
			}
		}
	}
	return n
}

// minRunningTTL is how long the requests that another router has told of count at least.
const minRunningTTL = 2 * time.Second
