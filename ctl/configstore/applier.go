// Package kv accepts configurations in the platform's service.
//
// # Usage
//
//	a := kv.New(store, clock, newID)
//	current, err := a.Current(ctx)
//	head, err := a.Apply(ctx, current, cfg, "operator")
package configstore

import (
	"context"
	"encoding/json"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/kv"
)

const (
	// applyTries bounds the tries of a write whose answer is lost.
	applyTries = 10
	// retryPause is the time between two tries.
	retryPause = 300 * time.Millisecond
)

// Applier reads and accepts configurations.
type Applier struct {
	store kv.Store
	clock clockwork.Clock
	newID func() string
}

// New returns an applier.
func New(store kv.Store, clock clockwork.Clock, newID func() string) *Applier {
	return &Applier{store, clock, newID}
}

// Current is the accepted configuration with the index that the next one has to replace.
type Current struct {
	Head   declared.Head
	Config *declared.Config
	index  uint64
}

// Head reads the accepted head; before the first apply its revision is zero.
func (a *Applier) Head(ctx context.Context) (Current, error) {
	v, err := a.store.Get(ctx, kv.HeadKey)
	if err != nil {
		return Current{}, err
	}
	c := Current{index: v.Index, Config: &declared.Config{}}
	if len(v.Body) == 0 {
		return c, nil
	}
	if err := json.Unmarshal(v.Body, &c.Head); err != nil {
		return Current{}, fault.Wrap(fault.ConfigInvalid, err, "the accepted head")
	}
	return c, nil
}

// Current reads the accepted configuration whole.
func (a *Applier) Current(ctx context.Context) (Current, error) {
	c, err := a.Head(ctx)
	if err != nil || c.Head.Revision == 0 {
		return c, err
	}
	bodies := make(map[string][]byte)
	for _, hash := range c.Head.Hashes(false) {
		v, err := a.store.Get(ctx, kv.ChunkPrefix+hash)
		if err != nil {
			return c, err
		}
		bodies[hash] = v.Body
	}
	c.Config, err = c.Head.Assemble(bodies, false)
	if err != nil {
		return c, fault.Wrap(fault.ConfigInvalid, err, "revision %d", c.Head.Revision)
	}
	return c, nil
}

// Apply accepts a configuration in place of the current one. When another operator was first, the fault of kind
// apply_conflict names the other's revision.
func (a *Applier) Apply(ctx context.Context, current Current, cfg *declared.Config, operator string) (*declared.Head, error) {
	set, err := cfg.Chunks()
	if err != nil {
		return nil, fault.Wrap(fault.ConfigInvalid, err, "dividing into chunks")
	}
	if err := a.writeChunks(ctx, current.Head, set); err != nil {
		return nil, err
	}
	head := current.Head.Next(declared.Summary{
		ApplyID: a.newID(), Operator: operator, Time: a.clock.Now().UTC(),
		Services: len(cfg.Services), Workspaces: len(cfg.Workspaces),
	}, set)
	return head, a.swapHead(ctx, current.index, head)
}

// writeChunks writes the chunks that the accepted head does not name. A chunk's key is its hash, so one that exists
// already, or whose answer is lost, is simply written again.
func (a *Applier) writeChunks(ctx context.Context, old declared.Head, set declared.ChunkSet) error {
	held := make(map[string]bool)
	for _, hash := range old.Hashes(false) {
		held[hash] = true
	}
	for hash, body := range set.Bodies {
		if held[hash] {
			continue
		}
		if err := a.writeChunk(ctx, hash, body); err != nil {
			return err
		}
	}
	return nil
}

func (a *Applier) writeChunk(ctx context.Context, hash string, body []byte) error {
	var err error
	for range applyTries {
		if _, _, err = a.store.CompareAndSwap(ctx, kv.ChunkPrefix+hash, body, 0); err == nil {
			return nil
		}
		a.clock.Sleep(retryPause)
	}
	return err
}

// swapHead accepts the head. After a lost answer it reads back: the apply id tells whether the swap took effect.
func (a *Applier) swapHead(ctx context.Context, index uint64, head *declared.Head) error {
	body, err := json.Marshal(head)
	if err != nil {
		return fault.Wrap(fault.ConfigInvalid, err, "encoding the head")
	}
	for range applyTries {
		_, swapped, err := a.store.CompareAndSwap(ctx, kv.HeadKey, body, index)
		if err == nil && swapped {
			return nil
		}
		now, readErr := a.Head(ctx)
		if readErr != nil {
			a.clock.Sleep(retryPause)
			continue
		}
		if accepted(now.Head, head.ApplyID) {
			return nil
		}
		if now.index != index {
			return fault.New(fault.ApplyConflict, "revision %d was accepted from %s at %s",
				now.Head.Revision, now.Head.Operator, now.Head.Time.Format(time.RFC3339))
		}
	}
	return fault.New(fault.StoreUnavailable, "whether revision %d (apply id %s) was accepted is not known; bilberrylug history shows it",
		head.Revision, head.ApplyID)
}

func accepted(now declared.Head, applyID string) bool {
	if now.ApplyID == applyID {
		return true
	}
	for _, s := range now.History {
		if s.ApplyID == applyID {
			return true
		}
	}
	return false
}
