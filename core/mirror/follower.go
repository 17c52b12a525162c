package mirror

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/store"
)

const (
	// watchWait is how long the store may hold one watch. A store that drops its history may leave watches unanswered;
	// together with watchSlack and one listing, changes still arrive within the two seconds in which they must become active.
	watchWait = 600 * time.Millisecond
	// watchSlack is how long after watchWait the answer of a watch may arrive before it counts as lost; a slow store takes
	// a few hundred milliseconds.
	watchSlack = 450 * time.Millisecond
	// firstWatchWait is the wait of the first watch of a router that takes over the role, so that the others learn at once
	// whether the store answers it.
	firstWatchWait = time.Millisecond
	// listTimeout bounds the request for one page of a listing, which may take long on a slow or busy link. The store's client ends a call
	// sooner if nothing arrives.
	listTimeout = 12 * time.Second
	// batchPause is the pause between watches. It batches changes, since calls count against the store's limited rate.
	batchPause = 100 * time.Millisecond
	// relistAfter is the time of failed calls after which a router lists the store instead of asking for the changes since. Upstreams
	// write their entries about every 1.2 s, so that the changes of a longer time hold more entries than a listing, and in addition every
	// version of the configuration.
	relistAfter = 1200 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed call, when all routers share the store's limited call rate.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
)

// Target is the replica that a Follower keeps up to date. It is safe for concurrent use.
type Target interface {
	// Revision returns the revision up to which the replica is complete.
	Revision() store.Revision
	// Apply applies changes that complete the replica up to a revision.
	Apply(list []store.Change, upTo store.Revision)
	// Reset applies a full listing of one prefix that was started at a revision.
	Reset(prefix string, items []store.Item, at store.Revision)
	// MarkComplete records that all prefixes have been listed at a revision or later.
	MarkComplete(at store.Revision)
}

// Options configure a Follower.
type Options struct {
	Store  store.Store
	Target Target
	Layout Layout
	Clock  clockwork.Clock
	Log    *event.Log
	// OnStoreChange is called after a full listing, after a watch that returned changes, and after the first watch of a router
	// that has taken over the role. Changes from another router do not trigger it.
	OnStoreChange func()
	// OnAnswer is called at each answer of the store, before its changes are passed on.
	OnAnswer func()
	// IsWatcher reports whether this router watches the store itself; if not, other routers send it the changes.
	IsWatcher func() bool
}

// Follower keeps a replica up to date with the store. It is safe for concurrent use.
type Follower struct {
	o Options

	// watching is set while the router watches the store, and failingSince is when the first of the latest failed calls failed, or zero.
	// Only Run uses them.
	watching     bool
	failingSince time.Time

	mu         sync.Mutex
	reachable  bool
	lastAnswer time.Time
}

// NewFollower returns a follower that has not called the store yet.
func NewFollower(o Options) *Follower { return &Follower{o: o} }

// LastAnswer returns when the store last answered this router; the zero time means never.
func (f *Follower) LastAnswer() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastAnswer
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	listed := false
	backoff := firstBackoff
	for ctx.Err() == nil {
		if listed && !f.o.IsWatcher() {
			f.watching = false
			f.pause(ctx, batchPause)
			continue
		}
		var err error
		if !listed {
			err = f.listAll(ctx)
			listed = err == nil
		} else {
			err = f.watch(ctx)
		}
		if listed && (errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrRestored)) {
			listed = false
			continue
		}
		if f.mustList(err) {
			listed = false
		}
		if ctx.Err() != nil {
			return
		}
		f.recordResult(err)
		pause := batchPause
		if err != nil {
			pause = backoff
			backoff = min(maxBackoff, 2*backoff)
		} else {
			backoff = firstBackoff
		}
		f.pause(ctx, pause)
	}
}

// mustList reports whether the next call must be a listing after one that ended with err. An unanswered watch may have missed changes, and
// one whose answer cannot be used or was broken off would get the same again: it holds all writes of each key, so that it may be larger
// than a listing.
func (f *Follower) mustList(err error) bool {
	if err == nil {
		f.failingSince = time.Time{}
		return false
	}
	now := f.o.Clock.Now()
	if f.failingSince.IsZero() {
		f.failingSince = now
	}
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, store.ErrUnusable) || errors.Is(err, store.ErrBrokenOff) ||
		now.Sub(f.failingSince) >= relistAfter
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.o.Clock.After(d):
	}
}

func (f *Follower) recordResult(err error) {
	f.mu.Lock()
	wasReachable := f.reachable
	f.reachable = err == nil
	if err == nil {
		f.lastAnswer = f.o.Clock.Now()
	}
	f.mu.Unlock()
	revision := f.o.Target.Revision()
	if wasReachable == (err == nil) {
		return
	}
	if err != nil {
		f.o.Log.Write(event.StoreFailed, "error", err.Error(), "revision", revision)
		return
	}
	f.o.Log.Write(event.StoreReached, "revision", revision)
}

// listAll lists all prefixes and replaces the contents of the replica.
func (f *Follower) listAll(ctx context.Context) error {
	var at store.Revision
	for _, prefix := range f.o.Layout.Prefixes() {
		items, revision, err := f.listPrefix(ctx, prefix)
		if err != nil {
			return err
		}
		if at != 0 && revision.Era() != at.Era() {
			return fmt.Errorf("list %s: %w", prefix, store.ErrRestored)
		}
		if at == 0 || revision < at {
			at = revision
		}
		f.o.OnAnswer()
		f.o.Target.Reset(prefix, items, revision)
	}
	f.o.Target.MarkComplete(at)
	f.o.OnStoreChange()
	return nil
}

func (f *Follower) listPrefix(ctx context.Context, prefix string) ([]store.Item, store.Revision, error) {
	var items []store.Item
	var at store.Revision
	after := ""
	for {
		page, err := f.listPage(ctx, prefix, after)
		if err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if at == 0 {
			at = page.Revision
		}
		if page.Revision.Era() != at.Era() {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, store.ErrRestored)
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, at, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

func (f *Follower) listPage(ctx context.Context, prefix, after string) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.o.Store.Range(ctx, prefix, after)
}

// watch waits for changes of any key of the store, so that one call covers all prefixes. The first watch after other routers
// have watched does not wait, so that they learn at once whether the store answers this one.
func (f *Follower) watch(ctx context.Context) error {
	wait := watchWait
	if !f.watching {
		wait = firstWatchWait
	}
	f.watching = true
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	since := f.o.Target.Revision()
	changes, err := f.o.Store.Watch(ctx, "", since, wait)
	if err != nil {
		return err
	}
	switch era := changes.Revision.Era(); {
	case era > since.Era():
		// The store counts on from an older copy, so that changes below the revision may be missing.
		return fmt.Errorf("watch from %s: %w", since, store.ErrRestored)
	case era < since.Era():
		return fmt.Errorf("watch from %s: answer of era %d", since, era)
	}
	f.o.OnAnswer()
	f.o.Target.Apply(changes.List, changes.Revision)
	if len(changes.List) > 0 || wait == firstWatchWait {
		f.o.OnStoreChange()
	}
	return nil
}
