package agent

import (
	"context"

	"bilberrylug.dev/core/convert"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/wire"
)

// Call sends one plain call to one agent. A fault of kind no_upstream means that nothing was sent, of kind
// call_outcome_unknown that the call may have run.
func (l *Client) Call(ctx context.Context, vm ids.VM, r *wire.CallRequest) (*wire.CallReply, error) {
	conn, err := l.conn(vm)
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close() }()
	r.Header = l.header()
	reply, err := wire.NewDRPCAgentClient(conn).Call(ctx, r)
	if err != nil {
		l.View.RecordFailure(vm)
		return nil, sendFault(err, fault.CallOutcomeUnknown)
	}
	if load := reply.GetLoad(); load != nil {
		l.View.RecordLoad(vm, convert.LoadFromWire(load))
	}
	if f := convert.FaultFromWire(reply.GetFault()); f != nil {
		return nil, f
	}
	return reply, nil
}

// Order gives one order to one agent.
func (l *Client) Order(ctx context.Context, vm ids.VM, r *wire.OrderRequest) error {
	conn, err := l.conn(vm)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	r.Header = l.header()
	reply, err := wire.NewDRPCAgentClient(conn).Order(ctx, r)
	if err != nil {
		return sendFault(err, fault.UpstreamLost)
	}
	return convert.FaultFromWire(reply.GetFault())
}
