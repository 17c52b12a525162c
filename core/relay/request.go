// Package relay holds what callers ask and upstreams answer, as the router's parts see it, free of wire names.
//
// # Usage
//
//	req, err := dialect.Request(r)       // decoded once at the edge
//	dialect.Prepare(header, relay.Attempt{Upstream: vm, Deadline: left})
//	reply := dialect.Reply(resp)         // what the upstream claims about the run
package relay

import (
	"net/http"
	"time"

	"bilberrylug.dev/core/ids"
)

// Request is one request of a caller.
type Request struct {
	ID  ids.Request
	Key string
	// MaxWait is how long the caller waits from the request's arrival; zero means that it did not say.
	MaxWait time.Duration
	Prompt  Prompt
	// LastEvent is the last event that the caller has of an earlier answer, if Resumes is set.
	LastEvent uint64
	Resumes   bool
	// Header holds the headers that go on to the upstream.
	Header http.Header
}

// Prompt describes a generation.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutput the bound of what is generated.
	Tokens    int
	MaxOutput int
	// Name identifies the prompt among those that an engine keeps in memory.
	Name string
}

// Attempt is one sending of a request to an upstream.
type Attempt struct {
	Upstream  ids.VM
	Workspace ids.Workspace
	// Deadline is what is left of the caller's patience.
	Deadline time.Duration
	// BackupTo is the address of the upstream that receives a running copy of the generation's memory; empty means none.
	BackupTo string
	// ContinueFrom names the copy of the memory from which the generation goes on; empty means that the prompt is read.
	ContinueFrom Copy
	// LastEvent is the last event that the caller has, if Resumes is set.
	LastEvent uint64
	Resumes   bool
}

// Copy names a copy of a generation's memory as the upstreams know it.
type Copy struct {
	// Address is that of the upstream that made the name, Name what it called the copy.
	Address string
	Name    string
}

// IsZero tells that no copy is named.
func (c Copy) IsZero() bool { return c.Address == "" }

// Call is a call of the router's own at an upstream.
type Call struct {
	Method string
	Target string
	Header http.Header
	Body   []byte
}

// Reply is what an upstream's response header says of the run.
type Reply struct {
	Request ids.Request
	// NotRun tells that the upstream asserts that it has not run and will not run the request.
	NotRun bool
	// Misdirected tells that another upstream than the addressed one lives at the address.
	Misdirected bool
	// Upstream is the one that answered, as it names itself; empty when it does not.
	Upstream ids.VM
	// Signed tells that the response is the upstream's own product for this request.
	Signed bool
	Load   Load
}

// Load is an upstream's report on itself.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Slowness is the present duration of work against the usual, 1 meaning as usual.
	Slowness float64
}

// Dialect encodes and decodes what one platform's callers and upstreams speak. Implementations hold no state.
type Dialect interface {
	// Request decodes a caller's request. The error is a fault that the caller is told.
	Request(r *http.Request) (Request, error)
	// Prepare sets the headers of an attempt.
	Prepare(h http.Header, a Attempt)
	// Reply decodes a response's header.
	Reply(r *http.Response) Reply
	// CopyCall returns the call by which an upstream copies the memory of a run to another upstream, while the run goes on.
	CopyCall(run ids.Request, to string) Call
	// CopyName decodes the answer of that call.
	CopyName(body []byte) (string, error)
	// PromptsCall returns the call by which an engine lists the prompts that it keeps in memory.
	PromptsCall() Call
	// Prompts decodes the names of the prompts from the answer of that call.
	Prompts(body []byte) ([]string, error)
	// Refuse sets the headers of the router's own refusal.
	Refuse(h http.Header, req Request, retryAfter time.Duration)
}
