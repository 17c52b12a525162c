// Package kv follows the configuration and the list of VMs in the platform's service.
//
// A few routers watch; the others learn from them by exchange, and read only now and then, so that the calls do not
// grow with the fleet.
//
// # Usage
//
//	w := kv.New(kv.Options{...})
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
	// watchers is the number of routers of a region that watch the service.
	watchers = 2
	// watchWait is the longest wait of one watch.
	watchWait = 30 * time.Second
	// idleRead is how often a router that does not watch reads all the same.
	idleRead = 60 * time.Second
	// roleCheck is how often a router looks whether it is to watch.
	roleCheck = time.Second
	// failurePause is the time between two tries while the service does not answer.
	failurePause = 500 * time.Millisecond
)

// Options are the dependencies of a watch.
type Options struct {
	Store  kv.Store
	View   *fleetview.View
	Config *activeconfig.Holder
	Clock  clockwork.Clock
	Log    *event.Log
	// OnConfigChange is told that a new configuration is in force; Changed that a member has changed.
	OnConfigChange func()
	OnMemberChange func()
}

// Watcher follows the platform's service.
type Watcher struct {
	Options

	headIndex uint64
	vmIndex   uint64
}

// New returns a watch.
func New(o Options) *Watcher { return &Watcher{Options: o} }

// watching tells whether this router is one of the few of its region that watch.
func (w *Watcher) watching() bool {
	self := w.View.Self()
	var routers []ids.VM
	for _, m := range w.View.Members() {
		if m.Role == membership.Router && m.State == membership.Live && m.Region == self.Region {
			routers = append(routers, m.VM)
		}
	}
	return slices.Contains(rendezvous.Top("platform-watch", routers, watchers), self.VM)
}

// RunConfig follows the head of the configuration until the context ends.
func (w *Watcher) RunConfig(ctx context.Context) {
	w.follow(ctx, func(ctx context.Context, wait time.Duration) error {
		v, err := w.Store.Watch(ctx, kv.HeadKey, w.headIndex, wait)
		if err != nil {
			return err
		}
		if err := w.takeHead(ctx, v); err != nil {
			return err
		}
		w.headIndex = v.Index
		return nil
	})
}

// RunVMs follows the platform's list until the context ends.
func (w *Watcher) RunVMs(ctx context.Context) {
	w.follow(ctx, func(ctx context.Context, wait time.Duration) error {
		l, err := w.Store.VMs(ctx, w.vmIndex, wait)
		if err != nil {
			return err
		}
		w.takeVMs(l)
		w.vmIndex = l.Index
		return nil
	})
}

// follow watches while this router is a watcher, and reads now and then while it is not.
func (w *Watcher) follow(ctx context.Context, once func(ctx context.Context, wait time.Duration) error) {
	var lastRead time.Time
	for ctx.Err() == nil {
		if !w.watching() && w.Clock.Since(lastRead) < idleRead {
			w.sleep(ctx, roleCheck)
			continue
		}
		wait := watchWait
		if !w.watching() {
			wait = time.Millisecond
		}
		if err := once(ctx, wait); err != nil && ctx.Err() == nil {
			w.Log.Write(event.StoreFailed, "error", err.Error())
			w.sleep(ctx, failurePause)
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

// ReadConfig reads the head once and puts it in force; it is used when an agent knows a newer revision.
func (w *Watcher) ReadConfig(ctx context.Context) error {
	v, err := w.Store.Get(ctx, kv.HeadKey)
	if err != nil {
		return err
	}
	return w.takeHead(ctx, v)
}

func (w *Watcher) takeHead(ctx context.Context, v kv.Value) error {
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

// takeVMs marks the VMs that the platform has as leaving. A VM that is missing proves nothing, since the list lags.
func (w *Watcher) takeVMs(l kv.VMList) {
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
