package direct

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
)

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
				{Key: l.leaderKey(), Modified: l.at},
				{Key: l.decode.Layout.RolloutOrders + string(service), Modified: s.order.Revision},
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
