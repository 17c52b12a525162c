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

// retryPause is the time between two tries while the platform's service does not answer.
const retryPause = 100 * time.Millisecond

// change is one pending alteration of a bucket. It is applied again to each newer state of the bucket until a write
// with it is known to have taken effect; apply tells whether there is anything to write.
type change struct {
	ctx    context.Context
	apply  func(b *ledger.Bucket) bool
	result chan error
}

// writer owns one bucket. Only its goroutine reads and writes the cached state.
type writer struct {
	book *Store
	key  string
	wake chan struct{}

	mu      sync.Mutex
	pending []*change

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

// do submits a change and waits for its end. When the context ends first, the change may still take effect.
func (w *writer) do(ctx context.Context, apply func(b *ledger.Bucket) bool) error {
	var mu sync.Mutex
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

func (w *writer) take() []*change {
	w.mu.Lock()
	defer w.mu.Unlock()
	batch := w.pending
	w.pending = nil
	return batch
}

func (w *writer) putBack(batch []*change) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(batch, w.pending...)
}

// flush tries one write of everything that is pending, and tells whether there is more to do.
func (w *writer) flush(ctx context.Context) bool {
	batch := dropEnded(w.take())
	if len(batch) == 0 {
		return false
	}
	if err := w.try(ctx, batch); err != nil {
		w.cached = nil
		w.putBack(batch)
		w.book.log.Write(event.LedgerWriteLost, "bucket", w.key, "error", err.Error())
		w.pause(ctx)
	}
	return true
}

func (w *writer) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-w.book.clock.After(retryPause):
	}
}

// dropEnded answers the changes whose context has ended and keeps the others.
func dropEnded(batch []*change) []*change {
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

// try applies the batch to the newest known state and writes it. A lost swap reads the bucket and leaves the batch for
// the next try; a lost answer does the same, and each change then finds whether it already stands.
func (w *writer) try(ctx context.Context, batch []*change) error {
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
			w.putBack(batch)
			return nil
		}
	}
	for _, c := range batch {
		c.result <- nil
	}
	return nil
}

func (w *writer) read(ctx context.Context) error {
	v, err := w.book.store.Get(ctx, w.key)
	if err != nil {
		return err
	}
	return w.adopt(v)
}

// adopt keeps a state that the service has shown.
func (w *writer) adopt(v kv.Value) error {
	b, err := ledger.Decode(v.Body)
	if err != nil {
		return err
	}
	w.cached = b
	w.index = v.Index
	return nil
}

// swap writes the next state. When another process has written meanwhile, its state is adopted.
func (w *writer) swap(ctx context.Context, next *ledger.Bucket) (bool, error) {
	body, err := next.Encode()
	if err != nil {
		return false, err
	}
	v, swapped, err := w.book.store.CompareAndSwap(ctx, w.key, body, w.index)
	if err != nil {
		return false, err
	}
	if !swapped {
		return false, w.adopt(v)
	}
	w.cached = next
	w.index = v.Index
	return true, nil
}
