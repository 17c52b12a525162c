package agent

import (
	"context"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

// Call sends a plain call to an agent. A fault of kind no_upstream means that nothing was sent, one of kind
// call_outcome_unknown that the call may have run. Other faults are those of the agent.
func (c *Client) Call(ctx context.Context, vm ids.VM, r *wire.CallRequest) (*wire.CallReply, error) {
	conn, err := c.conn(vm)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	r.Header = c.header()
	reply, err := wire.NewDRPCAgentClient(conn).Call(ctx, r)
	if err != nil {
		c.View.RecordFailure(vm)
		return nil, transportFault(err, fault.CallOutcomeUnknown)
	}
	if load := reply.GetLoad(); load != nil {
		c.View.RecordLoad(vm, wireconv.LoadFromWire(load))
	}
	if f := wireconv.FaultFromWire(reply.GetFault()); f != nil {
		return nil, f
	}
	return reply, nil
}

// Order sends an order to an agent. A fault of kind no_upstream means that nothing was sent.
func (c *Client) Order(ctx context.Context, vm ids.VM, r *wire.OrderRequest) error {
	conn, err := c.conn(vm)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	r.Header = c.header()
	reply, err := wire.NewDRPCAgentClient(conn).Order(ctx, r)
	if err != nil {
		return transportFault(err, fault.UpstreamLost)
	}
	return wireconv.FaultFromWire(reply.GetFault())
}
