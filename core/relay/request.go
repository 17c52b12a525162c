// Package relay defines the requests of callers and the replies of upstreams independently of the wire format.
//
// # Usage
//
//	req, err := dialect.Request(r)       // decode a caller's request
//	dialect.Prepare(header, relay.Attempt{Upstream: vm, TimeLeft: left})
//	reply := dialect.Reply(resp)         // what the upstream reports about the run
package relay

import (
	"net/http"
	"time"

	"bilberrylug.dev/core/ids"
)

// Request is a caller's request.
type Request struct {
	ID ids.Request
	// Key is the API key, which identifies the workspace.
	Key string
	// MaxWait is how long the caller waits from the request's arrival; zero means that the request does not say.
	MaxWait time.Duration
	Prompt  Prompt
	// LastEventID is the ID of the last event that the caller received of an earlier answer, if Resumes is set.
	LastEventID uint64
	Resumes     bool
	// Header holds the headers to forward to the upstream.
	Header http.Header
}

// Prompt describes a generation.
type Prompt struct {
	Model string
	// Tokens is the length of the prompt, MaxOutput the maximum length of the output in tokens.
	Tokens    int
	MaxOutput int
	// Name identifies the prompt among those in an engine's KV cache.
	Name string
	// Parts names the parts of the prompt in order. Requests share all but the last one, which has the prompt's name.
	Parts []string
}

// Attempt is one attempt to run a request on an upstream.
type Attempt struct {
	Upstream  ids.VM
	Workspace ids.Workspace
	// Priority is the rank of the request among those that wait at the upstream; zero comes first.
	Priority int
	// TimeLeft is the time left of the caller's maximum wait.
	TimeLeft time.Duration
	// BackupTo is the address of the upstream to which the generation's KV cache is copied continuously; empty means none.
	BackupTo string
	// ContinueFrom is the copy of the KV cache from which the generation continues; if empty, the prompt is processed.
	ContinueFrom Copy
	// LastEventID is the ID of the last event that the caller received, if Resumes is set.
	LastEventID uint64
	Resumes     bool
}

// Copy identifies a copy of a generation's KV cache to the upstreams.
type Copy struct {
	// Address is the address of the upstream that named the copy, Name the name it chose.
	Address string
	Name    string
}

// IsZero reports whether c identifies no copy.
func (c Copy) IsZero() bool { return c.Address == "" }

// Call is a call that the router itself makes to an upstream.
type Call struct {
	Method string
	Target string
	Header http.Header
	Body   []byte
}

// Reply is what the header of an upstream's response reports about the run.
type Reply struct {
	// Request is the ID of the request that the response answers; empty if the upstream gives none.
	Request ids.Request
	// NotRun is set if the upstream asserts that it has not run and will not run the request.
	NotRun bool
	// Misdirected is set if the address now belongs to another upstream than the one addressed.
	Misdirected bool
	// Upstream is the ID that the answering upstream gives for itself; empty if it gives none.
	Upstream ids.VM
	// Signed is set if the response was produced by the upstream itself for this request.
	Signed bool
	Load   Load
	Limit  RateLimit
	// Leaving is set if the upstream is leaving and wants no new requests.
	Leaving bool
	// RetryAfter is how long the upstream wants nothing from this router.
	RetryAfter time.Duration
}

// RateLimit is the number of requests a second that an upstream takes from all routers together.
type RateLimit struct {
	// Named is set if the upstream has named a limit, Unreadable if what it has named is no rate.
	Named, Unreadable bool
	PerSecond         float64
}

// Load is the load that an upstream reports, if Known is set.
type Load struct {
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Slowness is the ratio of the current duration of work to the usual one; 1 means as usual.
	Slowness float64
}

// Dialect encodes and decodes the protocol of a platform's callers and upstreams. Implementations are stateless.
type Dialect interface {
	// Request decodes a caller's request. The error is a fault to be returned to the caller.
	Request(r *http.Request) (Request, error)
	// Prepare sets the headers of an attempt.
	Prepare(h http.Header, a Attempt)
	// Reply decodes the header of an upstream's response.
	Reply(r *http.Response) Reply
	// CopyCall returns the call that makes an upstream copy the KV cache of a run to another upstream while the run continues.
	CopyCall(run ids.Request, to string) Call
	// CopyName decodes the name of the copy from the reply to that call.
	CopyName(body []byte) (string, error)
	// FreeCopyCall returns the call that frees the copy of that name, at the upstream that made it or at the one that holds it.
	FreeCopyCall(name string) Call
	// PromptsCall returns the call that lists the prompts in an engine's KV cache.
	PromptsCall() Call
	// Prompts decodes the names of the prompts from the reply to that call.
	Prompts(body []byte) ([]string, error)
	// Refuse sets the headers of a refusal by the router itself.
	Refuse(h http.Header, req Request, retryAfter time.Duration)
}
