package router

import (
	"context"
	"sync"

	"bilberrylug.dev/agent/engine"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/fence"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/kv"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

// orderGate serializes the orders to one upstream. An agent that has just started first learns the number of the
// current lease, since an older holder may be the first to reach it.
type orderGate struct {
	store kv.Store

	mu   sync.Mutex
	gate *fence.Checker
}

func newOrderGate(store kv.Store) *orderGate {
	return &orderGate{store: store, gate: fence.New()}
}

// admit keeps the lock until done is called, so that an order that passed the gate reaches the upstream before the next.
func (g *orderGate) admit(ctx context.Context, f ids.Fence) (done func(), err error) {
	g.mu.Lock()
	if !g.gate.Initialized() {
		v, err := g.store.Get(ctx, kv.OrderLeaseKey)
		if err != nil {
			g.mu.Unlock()
			return nil, fault.Wrap(fault.FenceUnknown, err, "reading the order lease")
		}
		g.gate.SetCurrent(ids.Fence(v.Index))
	}
	if err := g.gate.Check(f); err != nil {
		g.mu.Unlock()
		return nil, err
	}
	return g.mu.Unlock, nil
}

// Order implements the drpc service.
func (s *Server) Order(ctx context.Context, r *wire.OrderRequest) (*wire.OrderReply, error) {
	err := s.order(ctx, r)
	if err != nil {
		s.Log.Write(event.OrderRefused, "fence", r.GetFence(), "action", r.GetAction(), "error", err.Error())
	}
	return &wire.OrderReply{Fault: wireconv.FaultToWire(err, s.Config.Revision())}, nil
}

func (s *Server) order(ctx context.Context, r *wire.OrderRequest) error {
	if s.Engine == nil {
		return fault.New(fault.BadRequest, "this agent's upstream is no model engine")
	}
	done, err := s.orders.admit(ctx, ids.Fence(r.GetFence()))
	if err != nil {
		return err
	}
	defer done()
	if r.GetAction() == "unload" && s.State.inUse(ids.Model{Name: r.GetModel(), Version: r.GetVersion()}) {
		return fault.New(fault.QueueFull, "%s@%s is in use", r.GetModel(), r.GetVersion())
	}
	err = s.Engine.Order(ctx, engine.Order{
		Fence: ids.Fence(r.GetFence()), Action: r.GetAction(), Model: r.GetModel(), Version: r.GetVersion(),
	})
	if err != nil {
		return err
	}
	s.Log.Write(event.OrderGiven, "fence", r.GetFence(), "action", r.GetAction(), "model", r.GetModel(), "version", r.GetVersion())
	s.RefreshModels(ctx)
	return nil
}

// RefreshModels asks the engine what it holds.
func (s *Server) RefreshModels(ctx context.Context) {
	if s.Engine == nil {
		return
	}
	if models, err := s.Engine.Models(ctx); err == nil {
		s.State.SetModels(models)
	}
}
