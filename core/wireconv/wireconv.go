// Package wireconv converts between wire messages and the types of the journal, membership, balancer, quarantine
// and fault packages.
//
// # Usage
//
//	entry := wireconv.EntryFromWire(message)
package wireconv

import (
	"errors"
	"time"

	"bilberrylug.dev/core/balancer"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/wire"
)

// PromptToWire converts a prompt to its wire message.
func PromptToWire(p journal.Prompt) *wire.Prompt {
	return &wire.Prompt{
		Service: string(p.Service), Model: p.Model.Name, Version: p.Model.Version, Adapter: p.Model.Adapter,
		Text: p.Text, Seed: p.Seed, MaxTokens: p.MaxTokens, Temperature: p.Temperature,
	}
}

// PromptFromWire converts a prompt from its wire message.
func PromptFromWire(p *wire.Prompt) journal.Prompt {
	return journal.Prompt{
		Service: ids.Service(p.GetService()),
		Model:   ids.Model{Name: p.GetModel(), Version: p.GetVersion(), Adapter: p.GetAdapter()},
		Text:    p.GetText(), Seed: p.GetSeed(), MaxTokens: p.GetMaxTokens(), Temperature: p.GetTemperature(),
	}
}

// EntryToWire converts a journal entry to its wire message.
func EntryToWire(e journal.Entry) *wire.JournalEntry {
	out := &wire.JournalEntry{
		Workspace: string(e.Key.Workspace), RequestId: string(e.Key.Request), Attempt: uint32(e.Attempt),
		Owner: string(e.Owner), First: e.First, Tokens: e.Tokens, FinishReason: e.FinishReason,
	}
	if e.Open != nil {
		out.Open = &wire.JournalOpen{Prompt: PromptToWire(e.Open.Prompt), BodyHash: e.Open.BodyHash, Tokens: e.Open.Tokens}
	}
	return out
}

// EntryFromWire converts a journal entry from its wire message.
func EntryFromWire(e *wire.JournalEntry) journal.Entry {
	out := journal.Entry{
		Key:     ids.RequestKey{Workspace: ids.Workspace(e.GetWorkspace()), Request: ids.Request(e.GetRequestId())},
		Attempt: ids.Attempt(e.GetAttempt()), Owner: ids.Owner(e.GetOwner()),
		First: e.GetFirst(), Tokens: e.GetTokens(), FinishReason: e.GetFinishReason(),
	}
	if o := e.GetOpen(); o != nil {
		out.Open = &journal.Open{Prompt: PromptFromWire(o.GetPrompt()), BodyHash: o.GetBodyHash(), Tokens: o.GetTokens()}
	}
	return out
}

// MemberToWire converts a member to its wire message.
func MemberToWire(m membership.Member) *wire.Member {
	out := &wire.Member{
		Vm: string(m.VM), Role: string(m.Role), Address: m.Address, Region: string(m.Region),
		FailureDomain: string(m.FailureDomain), Service: string(m.Service), Incarnation: m.Incarnation,
		State: uint32(m.State), ChecksFence: m.ChecksFence,
	}
	for _, model := range m.Models {
		out.Models = append(out.Models, &wire.LoadedModel{Name: model.Name, Version: model.Version})
	}
	return out
}

// MemberFromWire converts a member from its wire message.
func MemberFromWire(m *wire.Member) membership.Member {
	out := membership.Member{
		VM: ids.VM(m.GetVm()), Role: membership.Role(m.GetRole()), Address: m.GetAddress(), Region: ids.Region(m.GetRegion()),
		FailureDomain: ids.FailureDomain(m.GetFailureDomain()), Service: ids.Service(m.GetService()),
		Incarnation: m.GetIncarnation(), State: membership.State(m.GetState()), ChecksFence: m.GetChecksFence(),
	}
	for _, model := range m.GetModels() {
		out.Models = append(out.Models, ids.Model{Name: model.GetName(), Version: model.GetVersion()})
	}
	return out
}

// Map converts every element of a list with f.
func Map[A, B any](in []A, f func(A) B) []B {
	out := make([]B, 0, len(in))
	for _, a := range in {
		out = append(out, f(a))
	}
	return out
}

// LoadToWire converts a load report to its wire message; the cadence is sent in microseconds.
func LoadToWire(l balancer.Load) *wire.Load {
	return &wire.Load{
		Running: uint32(l.Running), Queued: uint32(l.Queued), QueuedTokens: l.QueuedTokens,
		Slots: uint32(l.Slots), CadenceUs: uint32(l.Cadence.Microseconds()),
	}
}

// LoadFromWire converts a load report from its wire message.
func LoadFromWire(l *wire.Load) balancer.Load {
	return balancer.Load{
		Running: int(l.GetRunning()), Queued: int(l.GetQueued()), QueuedTokens: l.GetQueuedTokens(),
		Slots: int(l.GetSlots()), Cadence: time.Duration(l.GetCadenceUs()) * time.Microsecond,
	}
}

// FaultToWire converts an error to its wire message, with the text of its cause added to the detail. A nil error gives nil.
func FaultToWire(err error, revision ids.Revision) *wire.Fault {
	if err == nil {
		return nil
	}
	e := fault.As(err)
	detail := e.Detail
	if cause := errors.Unwrap(e); cause != nil {
		detail += ": " + cause.Error()
	}
	return &wire.Fault{Code: string(e.Kind.Code), Detail: detail, Revision: uint64(revision)}
}

// FaultFromWire converts a wire message to a [fault.Error]. A nil message gives nil.
func FaultFromWire(f *wire.Fault) error {
	if f == nil {
		return nil
	}
	return fault.New(fault.Code(f.GetCode()), "%s", f.GetDetail())
}
