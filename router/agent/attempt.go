package agent

import (
	"context"
	"errors"
	"slices"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/generation"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
	"bilberrylug.dev/core/rpc"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
	"bilberrylug.dev/router/fleetview"
)

// maxPlacementAttempts is the number of placements that are tried before an attempt fails.
const maxPlacementAttempts = 4

// affinityBytes is the length, in bytes, of the prompt prefix by which prompts are routed to the same upstream.
const affinityBytes = 256

// Attempt is one run of a generation, to be placed on an upstream.
type Attempt struct {
	Key     ids.RequestKey
	Attempt ids.Attempt
	Prompt  journal.Prompt
	// Prefix holds the tokens of the answer that the attempt continues.
	Prefix []string
	// Avoid holds the upstreams on which the attempt must not be placed.
	Avoid []ids.VM
	// Preemptible allows short work to preempt the run and use its slot.
	Preemptible bool
	// OnPlaced is called with the chosen upstream before each placement.
	OnPlaced func(vm ids.VM)
}

// Generate places an attempt on an upstream and reports its events. After a refusal that guarantees that nothing ran, it
// tries the next upstream.
func (c *Client) Generate(ctx context.Context, a Attempt, report func(generation.Event)) {
	avoid := slices.Clone(a.Avoid)
	var lastErr error
	for range maxPlacementAttempts {
		vm, ok := c.View.Pick(fleetview.Request{
			Service: a.Prompt.Service, Model: a.Prompt.Model, Tokens: uint64(a.Prompt.MaxTokens) - uint64(min(len(a.Prefix), int(a.Prompt.MaxTokens))),
			Affinity: affinityKey(a.Prompt), Avoid: avoid,
		})
		if !ok {
			break
		}
		a.OnPlaced(vm)
		err := c.runOn(ctx, vm, a, report)
		if err == nil || ctx.Err() != nil {
			return
		}
		lastErr = err
		if !c.mayPlaceElsewhere(ctx, vm, err) {
			break
		}
		if fault.CodeOf(err) != fault.StaleRevision {
			avoid = append(avoid, vm)
		}
	}
	if lastErr == nil {
		lastErr = fault.New(fault.NoUpstream, "model %s", a.Prompt.Model)
	}
	e := fault.As(lastErr)
	report(generation.AttemptFailed{Attempt: a.Attempt, Code: e.Kind.Code, Detail: e.Detail})
}

// affinityKey returns the key by which prompts with the same prefix are routed to the same upstream.
func affinityKey(p journal.Prompt) string {
	return p.Model.String() + "\x00" + p.Text[:min(len(p.Text), affinityBytes)]
}

// mayPlaceElsewhere reports whether a failed placement certainly did not run and may be retried. If the agent has a newer
// configuration, it fetches that first.
func (c *Client) mayPlaceElsewhere(ctx context.Context, vm ids.VM, err error) bool {
	kind := fault.As(err).Kind
	if kind.Code == fault.StaleRevision {
		return c.Refresh(ctx) == nil
	}
	if kind.Code == fault.NoUpstream || kind.Code == fault.UpstreamLost {
		c.View.RecordFailure(vm)
	}
	return kind.Claim == fault.NotRun && (kind.Retryable || kind.Code == fault.NoUpstream)
}

func (c *Client) runOn(ctx context.Context, vm ids.VM, a Attempt, report func(generation.Event)) error {
	conn, err := c.conn(vm)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewDRPCAgentClient(conn).Generate(ctx, &wire.GenerateRequest{
		Header: c.header(), Workspace: string(a.Key.Workspace), RequestId: string(a.Key.Request),
		Attempt: uint32(a.Attempt), Prompt: wireconv.PromptToWire(a.Prompt), Prefix: a.Prefix,
		Preemptible: a.Preemptible,
	})
	if err != nil {
		return transportFault(err, fault.UpstreamLost)
	}
	defer func() { _ = stream.Close() }()
	return c.receive(stream, vm, a.Attempt, report)
}

// transportFault returns a fault of kind no_upstream if the agent could not be reached, so that nothing ran, and one with
// the code lost if the connection failed later.
func transportFault(err error, lost fault.Code) error {
	var dial *rpc.DialError
	if errors.As(err, &dial) {
		return fault.Wrap(fault.NoUpstream, err, "not sent")
	}
	return fault.Wrap(lost, err, "connection")
}

// receive reports the events of an attempt until it finishes, and returns an error if it fails.
func (c *Client) receive(stream wire.DRPCAgent_GenerateClient, vm ids.VM, a ids.Attempt, report func(generation.Event)) error {
	for {
		e, err := stream.Recv()
		if err != nil {
			return c.logAttemptLost(vm, a, fault.Wrap(fault.UpstreamLost, err, "stream from %s", vm))
		}
		if load := e.GetLoad(); load != nil {
			c.View.RecordLoad(vm, wireconv.LoadFromWire(load))
		}
		if f := e.GetFault(); f != nil {
			return c.logAttemptLost(vm, a, wireconv.FaultFromWire(f))
		}
		if t := e.GetTokens(); t != nil {
			report(generation.TokensArrived{Attempt: a, First: t.GetFirst(), Tokens: t.GetTexts()})
			continue
		}
		if f := e.GetFinished(); f != nil {
			report(generation.AttemptFinished{Attempt: a, Total: f.GetTotal(), Reason: f.GetReason()})
			return nil
		}
		report(generation.AttemptAlive{Attempt: a})
	}
}

// logAttemptLost logs err if the upstream was lost, and returns it.
func (c *Client) logAttemptLost(vm ids.VM, a ids.Attempt, err error) error {
	if fault.CodeOf(err) == fault.UpstreamLost {
		c.Log.Write(event.AttemptLost, "upstream", string(vm), "attempt", uint32(a), "error", err.Error())
	}
	return err
}
