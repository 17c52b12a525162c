package ledgerstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/kv"
	"bilberrylug.dev/core/ledger"
)

// retryDelay is the time between two attempts while the platform's service does not respond.
const retryDelay = 100 * time.Millisecond

// change is one pending change of a bucket. It is reapplied to each newer state of the bucket until a write that includes
// it is known to have succeeded; apply reports whether there is anything to write.
type change struct {
	ctx    context.Context
	apply  func(b *ledger.Bucket) bool
	result chan error
}

// writer batches the changes of one bucket. Only its goroutine accesses cached and index.
type writer struct {
	store *Store
	key   string
	wake  chan struct{}

	mu      sync.Mutex
	pending []*change

	// cached is the newest known state of the bucket, or nil, and index the index of that state in the service.
	cached *ledger.Bucket
	index  uint64
}

func (w *writer) submit(ctx context.Context, apply func(b *ledger.Bucket) bool) <-chan error {
	c := &change{ctx: ctx, apply: apply, result: make(chan error, 1)}
	w.mu.Lock()
	w.pending = append(w.pending, c)
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return c.result
}

// do submits a change and waits for its result. If the context ends first, the change may still be written.
func (w *writer) do(ctx context.Context, apply func(b *ledger.Bucket) bool) error {
	var mu sync.Mutex
	// Once the caller has returned, apply must not set its variables any more.
	guarded := func(b *ledger.Bucket) bool {
		mu.Lock()
		defer mu.Unlock()
		if ctx.Err() != nil {
			return false
		}
		return apply(b)
	}
	select {
	case err := <-w.submit(ctx, guarded):
		return err
	case <-ctx.Done():
		mu.Lock()
		defer mu.Unlock()
		return fmt.Errorf("wait for the bucket: %w", ctx.Err())
	}
}

func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
		for w.flush(ctx) {
			if ctx.Err() != nil {
				return
			}
		}
	}
}

func (w *writer) takePending() []*change {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.pending
	w.pending = nil
	return batch
}

func (w *writer) requeue(batch []*change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(batch, w.pending...)
}

// flush attempts to write all pending changes. It returns false if there were none.
func (w *writer) flush(ctx context.Context) bool {
	batch := dropCancelled(w.takePending())
	if len(batch) == 0 {
		return false
	}
	if err := w.writeBatch(ctx, batch); err != nil {
		w.cached = nil
		w.requeue(batch)
		w.store.log.Write(event.LedgerWriteLost, "bucket", w.key, "error", err.Error())
		w.waitRetry(ctx)
	}
	return true
}

func (w *writer) waitRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.store.clock.After(retryDelay):
	}
}

// dropCancelled reports an error for the changes whose context has ended and returns the others.
func dropCancelled(batch []*change) []*change {
	var live []*change
	for _, c := range batch {
		if err := c.ctx.Err(); err != nil {
			c.result <- err
			continue
		}
		live = append(live, c)
	}
	return live
}

// writeBatch applies the batch to the newest known state and writes it. If another process has written first, or the reply
// to the compare-and-swap is lost, the batch is applied again to the state that the service then returns; each change then
// detects whether it is already present.
func (w *writer) writeBatch(ctx context.Context, batch []*change) error {
	if w.cached == nil {
		if err := w.read(ctx); err != nil {
			return err
		}
	}
	next := w.cached.Clone()
	dirty := false
	for _, c := range batch {
		if c.apply(next) {
			dirty = true
		}
	}
	if dirty {
		swapped, err := w.swap(ctx, next)
		if err != nil {
			return err
		}
		if !swapped {
			w.requeue(batch)
			return nil
		}
	}
	for _, c := range batch {
		c.result <- nil
	}
	return nil
}

func (w *writer) read(ctx context.Context) error {
	v, err := w.store.kv.Get(ctx, w.key)
	if err != nil {
		return err
	}
	return w.setCached(v)
}

// setCached caches a state that the service returned.
func (w *writer) setCached(v kv.Value) error {
	b, err := ledger.Decode(v.Body)
	if err != nil {
		return err
	}
	w.cached = b
	w.index = v.Index
	return nil
}

// swap writes next by compare-and-swap and reports whether it succeeded. If another process wrote first, its state is
// cached instead.
func (w *writer) swap(ctx context.Context, next *ledger.Bucket) (bool, error) {
	body, err := next.Encode()
	if err != nil {
		return false, err
	}
	v, swapped, err := w.store.kv.CompareAndSwap(ctx, w.key, body, w.index)
	if err != nil {
		return false, err
	}
	if !swapped {
		return false, w.setCached(v)
	}
	w.cached = next
	w.index = v.Index
	return true, nil
}
