package direct

import (
	"context"
	"errors"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/quarantine"
	"bilberrylug.dev/core/rendezvous"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/core/wireconv"
)

const (
	// quarantineTick is the interval at which the keeper compares what is known with what the store has, and at which crashes that have
	// settled are judged.
	quarantineTick = 200 * time.Millisecond
	// quarantineStagger is the time by which each router waits longer than the one before it, so that one of them writes.
	quarantineStagger = 300 * time.Millisecond
	// minSavePause and maxSavePause bound the pause after a write, which doubles with each one in a row.
	minSavePause = 300 * time.Millisecond
	maxSavePause = 5 * time.Second
	// saveTimeout bounds a write with the calls that belong to it. A slow store takes some hundred milliseconds for each.
	saveTimeout = 3 * time.Second
)

// savedQuarantine is the snapshot of the quarantine in the store, and the revision of its key. Without a key both are zero.
type savedQuarantine struct {
	quarantine.Report
	at store.Revision
}

// applySavedQuarantine applies a change of the key of the quarantine, unless a newer one is known.
func (st *state) applySavedQuarantine(c store.Change) {
	now := st.clock.Now()
	var saved savedQuarantine
	var elapsed time.Duration
	if !c.Removed {
		report, writtenAt, err := wireconv.StoredQuarantineFromWire(c.Value)
		if err != nil {
			// It is written again without this value.
			st.log.Write(event.EntryUnreadable, "key", c.Key, "error", err.Error(), "store_revision", c.Modified)
		}
		saved = savedQuarantine{report, c.Modified}
		// The clock of the writer may be ahead.
		elapsed = max(0, time.UnixMilli(now.UnixMilli()).Sub(writtenAt))
	}
	st.applyQuarantine(locked(&st.mu, func() []quarantine.Change {
		if c.Modified < st.savedQuarantine.at {
			return nil
		}
		st.savedQuarantine = saved
		return st.quarantine.MergeStored(saved.Aged(elapsed), now)
	}))
}

// quarantineKeeper keeps a snapshot of the quarantine in the store, so that what was learned outlasts all routers. It writes whatever the
// store lacks, also after an outage, or after the store has returned from a copy. Only its loop uses it.
type quarantineKeeper struct {
	*state
	store store.Store
	due   chan struct{}
	// lackingSince is since when the store lacks something, as far as this router knows; lackingAt is the revision that lacked it.
	lackingSince time.Time
	lackingAt    store.Revision
	// pause is the pause after the next write, pausedUntil the end of that after the last one.
	pause       time.Duration
	pausedUntil time.Time
}

func newQuarantineKeeper(st *state, s store.Store) *quarantineKeeper {
	k := &quarantineKeeper{state: st, store: s, due: make(chan struct{}, 1)}
	st.saveQuarantineSoon = func() {
		select {
		case k.due <- struct{}{}:
		default:
		}
	}
	return k
}

// run saves the quarantine until ctx is done. A router whose own evidence has just changed a breaker writes at once, the others if that
// one does not.
func (k *quarantineKeeper) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-k.due:
			k.save(ctx, true)
		case <-k.clock.After(quarantineTick):
			k.save(ctx, false)
		}
	}
}

// save writes a snapshot if the store lacks something and it is this router's turn.
func (k *quarantineKeeper) save(ctx context.Context, first bool) {
	now := k.clock.Now()
	snapshot, saved, lacking := k.compare(now)
	if !lacking || !k.reachable(now) {
		// The routers take their turns anew when the store is back.
		k.lackingSince = time.Time{}
		if now.Sub(k.pausedUntil) > maxSavePause {
			k.pause = 0
		}
		return
	}
	if k.lackingSince.IsZero() || saved.at != k.lackingAt {
		k.lackingSince, k.lackingAt = now, saved.at
	}
	if !first && (now.Before(k.pausedUntil) || now.Sub(k.lackingSince) < k.stagger()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	err := k.write(ctx, snapshot, saved.at, now)
	if err != nil && ctx.Err() == nil {
		// The snapshot may have been written although the answer was lost, and another router may have written one.
		err = errors.Join(err, k.readBack(ctx))
	}
	if err != nil {
		k.log.Write(event.StoreFailed, "call", "save quarantine", "error", err.Error())
	}
	k.pause = min(maxSavePause, max(minSavePause, 2*k.pause))
	k.pausedUntil = k.clock.Now().Add(k.pause)
}

// compare returns a snapshot, what the store has, and whether it lacks something.
func (k *quarantineKeeper) compare(now time.Time) (snapshot quarantine.Report, saved savedQuarantine, lacking bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.quarantine.Unsaved(k.savedQuarantine.Report, now) {
		return quarantine.Report{}, k.savedQuarantine, false
	}
	return k.quarantine.Snapshot(now), k.savedQuarantine, true
}

// reachable reports whether the store has recently answered this router or another one.
func (k *quarantineKeeper) reachable(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.watcherRole.StoreReachable(now)
}

// stagger returns how long this router waits for those that precede it.
func (k *quarantineKeeper) stagger() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	own := rendezvous.Score(k.decode.Layout.Quarantine, k.picker.Router)
	before := 0
	for _, vm := range k.routers {
		if rendezvous.Score(k.decode.Layout.Quarantine, vm) > own {
			before++
		}
	}
	return time.Duration(before) * quarantineStagger
}

func (k *quarantineKeeper) write(ctx context.Context, snapshot quarantine.Report, at store.Revision, now time.Time) error {
	value, err := wireconv.StoredQuarantineToWire(snapshot, now)
	if err != nil {
		return err
	}
	key := k.decode.Layout.Quarantine
	revision, err := k.store.Commit(ctx, store.Txn{Expect: []store.Expected{{Key: key, Modified: at}}, Puts: []store.Put{{Key: key, Value: value}}})
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision > k.savedQuarantine.at {
		k.savedQuarantine = savedQuarantine{snapshot, revision}
	}
	k.log.Write(event.QuarantineSaved, "breakers", len(snapshot.Breakers), "crashes", len(snapshot.Crashes), "bytes", len(value),
		"lacking_for", now.Sub(k.lackingSince).String(), "store_revision", revision)
	return nil
}

// readBack reads the snapshot that the store has.
func (k *quarantineKeeper) readBack(ctx context.Context) error {
	key := k.decode.Layout.Quarantine
	page, err := k.store.Range(ctx, key, "")
	if err != nil {
		return err
	}
	for _, i := range page.Items {
		if i.Key == key {
			k.applySavedQuarantine(store.Change{Item: i})
			return nil
		}
	}
	k.applySavedQuarantine(store.Change{Item: store.Item{Key: key, Modified: page.Revision}, Removed: true})
	return nil
}
