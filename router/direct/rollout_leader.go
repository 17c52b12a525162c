package direct

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
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
	leaderStagger = 300 * time.Millisecond
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
	now := st.clock.Now()
	if len(out) == 0 || st.rollouts.leader.at != 0 && !st.leaderSilent(now) {
		st.rollouts.vacantSince = time.Time{}
	} else if st.rollouts.vacantSince.IsZero() {
		st.rollouts.vacantSince = now
	}
	return out
}

// minLeaderSilence is the least time without an update of the leader after which another router takes the key over.
const minLeaderSilence = time.Second

// leaderSilent reports whether the leader has sent this router no update for a while in which others have. Its lease may last much longer.
// To take the key from one that is alive does no harm, since its writes are conditional on the key. The caller must hold st.mu.
func (st *state) leaderSilent(now time.Time) bool {
	r := st.rollouts
	var v leaderValue
	if json.Unmarshal([]byte(r.leader.value), &v) != nil {
		return false
	}
	if v.Router == r.router {
		// This process asks only while it does not lead: the key is that of an earlier start.
		return true
	}
	limit := max(minLeaderSilence, 2*st.picker.PeerTTL/intervalsUntilStale)
	if now.Sub(r.leader.seenAt) <= limit || now.Sub(r.peerRunning[v.Router].at) <= limit {
		return false
	}
	for vm, p := range r.peerRunning {
		if vm != v.Router && now.Sub(p.at) <= limit {
			return true
		}
	}
	return len(st.routers) <= 1
}

// isTurn reports whether this router may take the leader's key: nobody leads, and the routers that precede this one have had time to.
func (st *state) isTurn(now time.Time) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	r := st.rollouts
	if r.vacantSince.IsZero() {
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
	before := locked(&l.mu, func() store.Revision { return l.rollouts.leader.at })
	_, commitErr := l.store.Commit(ctx, store.Txn{Expect: []store.Expected{{Key: key, Modified: before}}, Puts: []store.Put{{Key: key, Value: value, Lease: lease}}})
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

// applyLeader applies a change of the leader's key. The caller must hold st.mu.
func (st *state) applyLeader(c store.Change) {
	r := st.rollouts
	if c.Modified < r.leader.at {
		return
	}
	if c.Modified > r.leader.at {
		r.leader = leaderKey{at: c.Modified, value: string(c.Value), seenAt: st.clock.Now()}
	}
	if c.Removed {
		r.leader = leaderKey{}
	}
}
