// Package configstore stores accepted configurations in the platform's key-value service.
//
// # Usage
//
//	a := configstore.New(store, clock, newID)
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
	// maxAttempts bounds the attempts of a write whose response is lost.
	maxAttempts = 10
	// retryDelay is the time between two attempts.
	retryDelay = 300 * time.Millisecond
)

// Applier reads the accepted configuration and replaces it with new revisions.
type Applier struct {
	store kv.Store
	clock clockwork.Clock
	newID func() string
}

// New returns an Applier that uses newID to generate apply IDs.
func New(store kv.Store, clock clockwork.Clock, newID func() string) *Applier {
	return &Applier{store, clock, newID}
}

// Current is the accepted configuration. Its store index makes [Applier.Apply] replace exactly this revision.
type Current struct {
	Head   declared.Head
	Config *declared.Config
	index  uint64
}

// Head reads the head of the accepted configuration without its chunks. Before the first apply, its revision is zero.
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
		return Current{}, fault.Wrap(fault.ConfigInvalid, err, "decode the accepted head")
	}
	return c, nil
}

// Current reads the accepted configuration with all its chunks.
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

// Apply replaces the current configuration with cfg. It returns a fault of kind apply_conflict that names the other
// revision if another operator has applied one since, and of kind store_unavailable if the outcome is unknown.
func (a *Applier) Apply(ctx context.Context, current Current, cfg *declared.Config, operator string) (*declared.Head, error) {
	set, err := cfg.Chunks()
	if err != nil {
		return nil, fault.Wrap(fault.ConfigInvalid, err, "split configuration into chunks")
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

// writeChunks writes the chunks that the accepted head does not reference. A chunk's key is its hash, so it is safe to
// write a chunk again that exists already or whose response was lost.
func (a *Applier) writeChunks(ctx context.Context, old declared.Head, set declared.ChunkSet) error {
	existing := make(map[string]bool)
	for _, hash := range old.Hashes(false) {
		existing[hash] = true
	}
	for hash, body := range set.Bodies {
		if existing[hash] {
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
	for range maxAttempts {
		if _, _, err = a.store.CompareAndSwap(ctx, kv.ChunkPrefix+hash, body, 0); err == nil {
			return nil
		}
		a.clock.Sleep(retryDelay)
	}
	return err
}

// swapHead replaces the accepted head if its index is unchanged. After a lost response it reads the head back: the apply
// ID shows whether the swap took effect.
func (a *Applier) swapHead(ctx context.Context, index uint64, head *declared.Head) error {
	body, err := json.Marshal(head)
	if err != nil {
		return fault.Wrap(fault.ConfigInvalid, err, "encode the head")
	}
	for range maxAttempts {
		_, swapped, err := a.store.CompareAndSwap(ctx, kv.HeadKey, body, index)
		if err == nil && swapped {
			return nil
		}
		latest, readErr := a.Head(ctx)
		if readErr != nil {
			a.clock.Sleep(retryDelay)
			continue
		}
		if hasApplyID(latest.Head, head.ApplyID) {
			return nil
		}
		if latest.index != index {
			return fault.New(fault.ApplyConflict, "revision %d was accepted from %s at %s",
				latest.Head.Revision, latest.Head.Operator, latest.Head.Time.Format(time.RFC3339))
		}
	}
	return fault.New(fault.StoreUnavailable, "it is unknown whether revision %d (apply id %s) was accepted; check with bilberrylug history",
		head.Revision, head.ApplyID)
}

// hasApplyID reports whether the head or its history contains the apply ID.
func hasApplyID(head declared.Head, applyID string) bool {
	if head.ApplyID == applyID {
		return true
	}
	for _, s := range head.History {
		if s.ApplyID == applyID {
			return true
		}
	}
	return false
}
