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
	"sync"
)

// Group is a set of goroutines with a shared context, which ends when the group is stopped.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a group whose context is derived from ctx.
func New(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel}
}

// Go runs f in a new goroutine of the group.
func (g *Group) Go(f func(ctx context.Context)) {
	g.wg.Go(func() { f(g.ctx) })
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
