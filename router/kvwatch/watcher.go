// Package kvwatch follows the configuration and the list of VMs in the platform's key-value service.
//
// A few routers of each region watch the service. The others receive changes from their peers and poll the service only
// rarely, so that the number of calls does not grow with the fleet.
//
// # Usage
//
//	w := kvwatch.New(kvwatch.Options{...})
//	group.Go(w.RunConfig)
//	group.Go(w.RunVMs)
package kvwatch

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/kv"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/rendezvous"
	"bilberrylug.dev/router/fleetview"
)

const (
	// watchersPerRegion is the number of routers in a region that watch the service.
	watchersPerRegion = 2
	// maxWatchWait is the longest time that one watch call blocks.
	maxWatchWait = 30 * time.Second
	// pollInterval is how often a router that is not a watcher reads the service.
	pollInterval = 60 * time.Second
	// roleCheckInterval is how often a router checks whether it has become a watcher.
	roleCheckInterval = time.Second
	// retryDelay is the time between attempts while the service is unavailable.
	retryDelay = 500 * time.Millisecond
)

// Options holds the dependencies of a [Watcher].
type Options struct {
	Store  kv.Store
	View   *fleetview.View
	Config *activeconfig.Holder
	Clock  clockwork.Clock
	Log    *event.Log
	// OnConfigChange is called when a new configuration has become active.
	OnConfigChange func()
	// OnMemberChange is called when the state of a member has changed.
	OnMemberChange func()
}

// Watcher follows the configuration and the list of VMs in the platform's key-value service.
type Watcher struct {
	Options

	// headIndex and vmIndex are the indexes of the last reads. A watch call waits for a higher one.
	headIndex uint64
	vmIndex   uint64
}

// New returns a Watcher with the given dependencies.
func New(o Options) *Watcher { return &Watcher{Options: o} }

// isWatcher reports whether this router is one of its region's watchers.
func (w *Watcher) isWatcher() bool {
	self := w.View.Self()
	var routers []ids.VM
	for _, m := range w.View.Members() {
		if m.Role == membership.Router && m.State == membership.Live && m.Region == self.Region {
			routers = append(routers, m.VM)
		}
	}
	return slices.Contains(rendezvous.Top("platform-watch", routers, watchersPerRegion), self.VM)
}

// RunConfig follows the head of the configuration until ctx is done.
func (w *Watcher) RunConfig(ctx context.Context) {
	w.follow(ctx, func(ctx context.Context, wait time.Duration) error {
		v, err := w.Store.Watch(ctx, kv.HeadKey, w.headIndex, wait)
		if err != nil {
			return err
		}
		if err := w.applyHead(ctx, v); err != nil {
			return err
		}
		w.headIndex = v.Index
		return nil
	})
}

// RunVMs follows the platform's list of VMs until ctx is done.
func (w *Watcher) RunVMs(ctx context.Context) {
	w.follow(ctx, func(ctx context.Context, wait time.Duration) error {
		l, err := w.Store.VMs(ctx, w.vmIndex, wait)
		if err != nil {
			return err
		}
		w.applyVMList(l)
		w.vmIndex = l.Index
		return nil
	})
}

// follow calls read until ctx is done: continuously and with a long wait while this router is a watcher, otherwise once per
// pollInterval without waiting for a change.
func (w *Watcher) follow(ctx context.Context, read func(ctx context.Context, wait time.Duration) error) {
	var lastRead time.Time
	for ctx.Err() == nil {
		if !w.isWatcher() && w.Clock.Since(lastRead) < pollInterval {
			w.sleep(ctx, roleCheckInterval)
			continue
		}
		wait := maxWatchWait
		if !w.isWatcher() {
			wait = time.Millisecond
		}
		if err := read(ctx, wait); err != nil && ctx.Err() == nil {
			w.Log.Write(event.StoreFailed, "error", err.Error())
			w.sleep(ctx, retryDelay)
			continue
		}
		lastRead = w.Clock.Now()
	}
}

func (w *Watcher) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-w.Clock.After(d):
	}
}

// ReadConfig reads the head once and activates its configuration if it is newer. It is used when an agent has a newer
// revision.
func (w *Watcher) ReadConfig(ctx context.Context) error {
	v, err := w.Store.Get(ctx, kv.HeadKey)
	if err != nil {
		return err
	}
	return w.applyHead(ctx, v)
}

func (w *Watcher) applyHead(ctx context.Context, v kv.Value) error {
	if len(v.Body) == 0 {
		return nil
	}
	head := &declared.Head{}
	if err := json.Unmarshal(v.Body, head); err != nil {
		w.Log.Write(event.ConfigUnreadable, "error", err.Error())
		return nil
	}
	if !w.Config.IsNewer(head.Revision) {
		return nil
	}
	bodies := make(map[string][]byte)
	for _, hash := range w.Config.MissingChunks(head) {
		chunk, err := w.Store.Get(ctx, kv.ChunkPrefix+hash)
		if err != nil {
			return fmt.Errorf("chunk %s: %w", hash, err)
		}
		bodies[hash] = chunk.Body
	}
	changed, err := w.Config.Accept(head, bodies)
	if err != nil {
		w.Log.Write(event.ConfigUnreadable, "revision", uint64(head.Revision), "error", err.Error())
		return fmt.Errorf("accept revision %d: %w", head.Revision, err)
	}
	if changed {
		w.OnConfigChange()
	}
	return nil
}

// applyVMList marks VMs as leaving if the platform lists them as leaving. A VM that is missing from the list is not marked,
// because the list lags behind.
func (w *Watcher) applyVMList(l kv.VMList) {
	changed := false
	w.View.Update(func(t *membership.Table) {
		for _, vm := range l.VMs {
			if vm.State == kv.VMLeaving && t.RaiseState(w.Clock.Now(), vm.ID, membership.Leaving) {
				changed = true
			}
		}
	})
	if changed {
		w.OnMemberChange()
	}
}
