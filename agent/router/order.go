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

// orderFence serializes the orders to the upstream and rejects those with an old fencing number. After a start it first
// reads the fencing number of the current lease, because a former lease holder may be the first to reach the agent.
type orderFence struct {
	store kv.Store

	mu    sync.Mutex
	fence *fence.Checker
}

func newOrderFence(store kv.Store) *orderFence {
	return &orderFence{store: store, fence: fence.New()}
}

// admit checks the fencing number of an order. It holds the lock until done is called, so that an admitted order reaches
// the upstream before the next one.
func (o *orderFence) admit(ctx context.Context, f ids.Fence) (done func(), err error) {
	o.mu.Lock()
	if !o.fence.Initialized() {
		v, err := o.store.Get(ctx, kv.OrderLeaseKey)
		if err != nil {
			o.mu.Unlock()
			return nil, fault.Wrap(fault.FenceUnknown, err, "reading the order lease")
		}
		o.fence.SetCurrent(ids.Fence(v.Index))
	}
	if err := o.fence.Check(f); err != nil {
		o.mu.Unlock()
		return nil, err
	}
	return o.mu.Unlock, nil
}

// Order implements [wire.DRPCAgentServer]. It forwards an order to the engine unless its fencing number is stale. A model
// that is in use is not unloaded.
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

// RefreshModels updates the reported models with those that the engine has loaded. Errors leave them unchanged.
func (s *Server) RefreshModels(ctx context.Context) {
	if s.Engine == nil {
		return
	}
	if models, err := s.Engine.Models(ctx); err == nil {
		s.State.SetModels(models)
	}
}
