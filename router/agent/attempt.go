package agent

import (
	"context"
	"errors"
	"slices"

	"bilberrylug.dev/core/convert"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/generation"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
	"bilberrylug.dev/core/link"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/router/fleetview"
)

// placementTries is the number of upstreams that are asked before a piece of work is refused.
const placementTries = 4

// affinityBytes is the length of the prompt's start by which prompts are kept together.
const affinityBytes = 256

// Attempt is one run to be placed on an upstream.
type Attempt struct {
	Key     ids.RequestKey
	Attempt ids.Attempt
	Prompt  journal.Prompt
	Prefix  []string
	Avoid   []ids.VM
	// Preemptible lets short work take the slot of the run.
	Preemptible bool
	// OnPlaced is told which upstream takes the run.
	OnPlaced func(vm ids.VM)
}

// Generate places an attempt and reports what becomes of it. Refusals by which nothing ran lead to the next upstream.
func (l *Client) Generate(ctx context.Context, a Attempt, report func(generation.Event)) {
	avoid := slices.Clone(a.Avoid)
	var last error
	for range placementTries {
		vm, ok := l.View.Pick(fleetview.Request{
			Service: a.Prompt.Service, Model: a.Prompt.Model, Tokens: uint64(a.Prompt.MaxTokens) - uint64(min(len(a.Prefix), int(a.Prompt.MaxTokens))),
			Affinity: affinity(a.Prompt), Avoid: avoid,
		})
		if !ok {
			break
		}
		a.OnPlaced(vm)
		err := l.runOn(ctx, vm, a, report)
		if err == nil || ctx.Err() != nil {
			return
		}
		last = err
		if !l.mayPlaceElsewhere(ctx, vm, err) {
			break
		}
		if fault.CodeOf(err) != fault.StaleRevision {
			avoid = append(avoid, vm)
		}
	}
	if last == nil {
		last = fault.New(fault.NoUpstream, "model %s", a.Prompt.Model)
	}
	e := fault.As(last)
	report(generation.AttemptFailed{Attempt: a.Attempt, Code: e.Kind.Code, Detail: e.Detail})
}

func affinity(p journal.Prompt) string {
	return p.Model.String() + "\x00" + p.Text[:min(len(p.Text), affinityBytes)]
}

// mayPlaceElsewhere tells whether a failed placement is known not to have run, and brings in a newer configuration when
// the agent knows one.
func (l *Client) mayPlaceElsewhere(ctx context.Context, vm ids.VM, err error) bool {
	kind := fault.As(err).Kind
	if kind.Code == fault.StaleRevision {
		return l.Refresh(ctx) == nil
	}
	if kind.Code == fault.NoUpstream || kind.Code == fault.UpstreamLost {
		l.View.RecordFailure(vm)
	}
	return kind.Claim == fault.NotRun && (kind.Retryable || kind.Code == fault.NoUpstream)
}

func (l *Client) runOn(ctx context.Context, vm ids.VM, a Attempt, report func(generation.Event)) error {
	conn, err := l.conn(vm)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stream, err := wire.NewDRPCAgentClient(conn).Generate(ctx, &wire.GenerateRequest{
		Header: l.header(), Workspace: string(a.Key.Workspace), RequestId: string(a.Key.Request),
		Attempt: uint32(a.Attempt), Prompt: convert.PromptToWire(a.Prompt), Prefix: a.Prefix,
		Preemptible: a.Preemptible,
	})
	if err != nil {
		return sendFault(err, fault.UpstreamLost)
	}
	defer func() { _ = stream.Close() }()
	return l.receive(stream, vm, a.Attempt, report)
}

// sendFault tells a peer that could not be reached, so that nothing ran, from one that was lost later.
func sendFault(err error, lost fault.Code) error {
	var dial *link.DialError
	if errors.As(err, &dial) {
		return fault.Wrap(fault.NoUpstream, err, "not sent")
	}
	return fault.Wrap(lost, err, "connection")
}

func (l *Client) receive(stream wire.DRPCAgent_GenerateClient, vm ids.VM, a ids.Attempt, report func(generation.Event)) error {
	for {
		e, err := stream.Recv()
		if err != nil {
			return l.lost(vm, a, fault.Wrap(fault.UpstreamLost, err, "stream from %s", vm))
		}
		if load := e.GetLoad(); load != nil {
			l.View.RecordLoad(vm, convert.LoadFromWire(load))
		}
		if f := e.GetFault(); f != nil {
			return l.lost(vm, a, convert.FaultFromWire(f))
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

func (l *Client) lost(vm ids.VM, a ids.Attempt, err error) error {
	if fault.CodeOf(err) == fault.UpstreamLost {
		l.Log.Write(event.AttemptLost, "upstream", string(vm), "attempt", uint32(a), "error", err.Error())
	}
	return err
}
