// Package group runs goroutines under a shared context and waits for them.
//
// # Usage
//
//	g := group.New(ctx)
//	g.Go(func(ctx context.Context) { serve(ctx) })
//	g.Stop()
package group

import (
	"context"
	"runtime/debug"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// PanicFunc handles a panic of a goroutine. It receives the value of the panic and the stack.
type PanicFunc func(value any, stack []byte)

// Group is a set of goroutines with a shared context, which ends when the group is stopped.
type Group struct {
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	onPanic PanicFunc
}

// New returns a group whose context is derived from ctx. A panic of one of its goroutines ends the process.
func New(ctx context.Context) *Group { return NewRecovering(ctx, nil) }

// NewRecovering returns a group whose context is derived from ctx. A panic ends only the goroutine in which it occurs, and is
// passed to onPanic.
func NewRecovering(ctx context.Context, onPanic PanicFunc) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, onPanic: onPanic}
}

// Child returns a group whose context is derived from ctx and that handles panics as g does.
func (g *Group) Child(ctx context.Context) *Group { return NewRecovering(ctx, g.onPanic) }

// Go runs f in a new goroutine of the group.
func (g *Group) Go(f func(ctx context.Context)) {
	g.wg.Go(func() { g.run(f) })
}

// keepPause is the time before a goroutine that has panicked is started again.
const keepPause = time.Second

// Keep runs f in a new goroutine of the group, and again after each panic until the context ends. It is meant for the loops
// without which a process cannot work.
func (g *Group) Keep(clock clockwork.Clock, f func(ctx context.Context)) {
	g.wg.Go(func() {
		for g.run(f) {
			select {
			case <-g.ctx.Done():
				return
			case <-clock.After(keepPause):
			}
		}
	})
}

// run calls f and reports whether it panicked.
func (g *Group) run(f func(ctx context.Context)) (panicked bool) {
	defer func() {
		if g.onPanic == nil {
			return
		}
		if value := recover(); value != nil {
			panicked = true
			g.onPanic(value, debug.Stack())
		}
	}()
	f(g.ctx)
	return false
}

// Context returns the group's context.
func (g *Group) Context() context.Context { return g.ctx }

// Cancel cancels the group's context without waiting for the goroutines.
func (g *Group) Cancel() { g.cancel() }

// Wait blocks until every goroutine of the group has returned.
func (g *Group) Wait() { g.wg.Wait() }

// Stop cancels the group's context and waits for every goroutine.
func (g *Group) Stop() {
	g.cancel()
	g.wg.Wait()
}
