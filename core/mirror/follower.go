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
	// watchWait is how long one watch is kept waiting. A store that forgets its history may leave watches without an answer;
	// with the slack and one listing, changes are still seen within the two seconds in which they must be in force.
	watchWait = 600 * time.Millisecond
	// watchSlack is how much later than its wait a watch's answer may come before it counts as lost; a slow store takes some
	// hundred milliseconds.
	watchSlack = 450 * time.Millisecond
	// listTimeout bounds one page of a listing; a slow store takes some hundred milliseconds.
	listTimeout = 1500 * time.Millisecond
	// gather is the pause between watches in which changes are gathered, since each call is counted.
	gather = 100 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed call, in which all routers share the store's rate.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
)

// Options are what a follower needs.
type Options struct {
	Store  store.Store
	Layout Layout
	Clock  clockwork.Clock
	Log    *event.Log
	// OnChanges is told each batch of news in order, from one goroutine at a time.
	OnChanges func(news []store.Change)
	// OnStoreChange is called after the store itself has brought news.
	OnStoreChange func()
	// OnAnswer is called at each answer of the store, before its news are told.
	OnAnswer func()
	// IsWatcher tells whether this router watches the store itself; if not, others send it the changes.
	IsWatcher func() bool
	// OnFailure is called after a call without an answer, so that its connection is not used again.
	OnFailure func()
}

// Follower keeps a replica up to date.
type Follower struct {
	o Options

	mu      sync.Mutex
	replica *Replica
	reached bool
	// servedAt is when the store last answered.
	servedAt time.Time
}

// NewFollower returns a follower with an empty replica.
func NewFollower(o Options) *Follower { return &Follower{o: o, replica: NewReplica()} }

// Revision returns the revision up to which the replica is complete.
func (f *Follower) Revision() store.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.Revision()
}

// LastAnswer returns when the store last answered this router; the zero time means never.
func (f *Follower) LastAnswer() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servedAt
}

// ChangesSince returns the changes behind a revision and the revision up to which they are complete.
func (f *Follower) ChangesSince(since store.Revision) ([]store.Change, store.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.replica.ChangesSince(since), f.replica.Revision()
}

// Merge takes the changes between two revisions from another router.
func (f *Follower) Merge(list []store.Change, since, upTo store.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tell(f.replica.Merge(list, since, upTo))
}

func (f *Follower) tell(news []store.Change) {
	if len(news) > 0 {
		f.o.OnChanges(news)
	}
}

// Run follows the store until the context ends.
func (f *Follower) Run(ctx context.Context) {
	listed := false
	backoff := firstBackoff
	for ctx.Err() == nil {
		if listed && !f.o.IsWatcher() {
			f.pause(ctx, gather)
			continue
		}
		var err error
		if !listed {
			err = f.list(ctx)
			listed = err == nil
		} else {
			err = f.watch(ctx)
		}
		if errors.Is(err, store.ErrCompacted) {
			listed = false
			continue
		}
		if errors.Is(err, context.DeadlineExceeded) {
			// A watch without an answer may have missed changes.
			listed = false
		}
		if ctx.Err() != nil {
			return
		}
		f.note(err)
		pause := gather
		if err != nil {
			f.o.OnFailure()
			pause = backoff
			backoff = min(maxBackoff, 2*backoff)
		} else {
			backoff = firstBackoff
		}
		f.pause(ctx, pause)
	}
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.o.Clock.After(d):
	}
}

func (f *Follower) note(err error) {
	f.mu.Lock()
	before := f.reached
	f.reached = err == nil
	if err == nil {
		f.servedAt = f.o.Clock.Now()
	}
	revision := f.replica.Revision()
	f.mu.Unlock()
	if before == (err == nil) {
		return
	}
	if err != nil {
		f.o.Log.Write(event.StoreFailed, "error", err.Error(), "revision", uint64(revision))
		return
	}
	f.o.Log.Write(event.StoreReached, "revision", uint64(revision))
}

// list reads all prefixes anew.
func (f *Follower) list(ctx context.Context) error {
	var at store.Revision
	for _, prefix := range []string{f.o.Layout.Upstreams, f.o.Layout.Config, f.o.Layout.Routers} {
		items, revision, err := f.listPrefix(ctx, prefix)
		if err != nil {
			return err
		}
		if at == 0 || revision < at {
			at = revision
		}
		f.o.OnAnswer()
		f.mu.Lock()
		f.tell(f.replica.Reset(prefix, items, revision))
		f.mu.Unlock()
	}
	f.mu.Lock()
	f.replica.MarkComplete(at)
	f.mu.Unlock()
	f.o.OnStoreChange()
	return nil
}

func (f *Follower) listPrefix(ctx context.Context, prefix string) ([]store.Item, store.Revision, error) {
	var items []store.Item
	var at store.Revision
	after := ""
	for {
		page, err := f.page(ctx, prefix, after)
		if err != nil {
			return nil, 0, fmt.Errorf("list %s: %w", prefix, err)
		}
		if at == 0 {
			at = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, at, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

func (f *Follower) page(ctx context.Context, prefix, after string) (store.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.o.Store.Range(ctx, prefix, after)
}

// watch waits for changes of anything in the store: one call serves all prefixes.
func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	changes, err := f.o.Store.Watch(ctx, "", f.Revision(), watchWait)
	if err != nil {
		return err
	}
	f.o.OnAnswer()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tell(f.replica.Apply(changes.List, changes.Revision))
	if len(changes.List) > 0 {
		f.o.OnStoreChange()
	}
	return nil
}
