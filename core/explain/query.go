// Package explain defines the question where a router would send a request now, and the router's answer. The router and the
// operators' command line share these types; the answer is the JSON output of the command.
//
// # Usage
//
//	q, err := explain.ReadQuery(r.Body)
//	report := explain.Report{Query: q.Request, Outcome: explain.Sent, Choice: "engine-7"}
package explain

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
)

// Path is the path of the question on a router's metrics listener.
const Path = "/explain"

const (
	// MaxQueryBytes bounds the size of a question. It exceeds that of the longest header of a request.
	MaxQueryBytes = 64 << 10
	// maxTokens bounds the sizes in tokens, so that sums and predicted times do not overflow. It exceeds the KV cache of any
	// engine.
	maxTokens = 1 << 30
	// maxWaitMS bounds the maximum wait of a caller, in milliseconds: 24 hours.
	maxWaitMS = 86_400_000
	// maxParts bounds the parts of a prompt.
	maxParts = 1024
)

// Query describes a request.
type Query struct {
	Request
	// Key is the API key of the caller. It does not occur in the answer.
	Key string `json:"key,omitempty"`
}

// Request is what the answer repeats of the question.
type Request struct {
	Host   string `json:"host"`
	Path   string `json:"path"`
	Method string `json:"method"`
	// Service is one of the services among which the route splits requests. If it is empty, that with the largest share is
	// explained.
	Service ids.Service `json:"service,omitempty"`
	Model   string      `json:"model,omitempty"`
	// PromptTokens is the length of the prompt, OutputTokens the maximum length of the output.
	PromptTokens int `json:"prompt_tokens,omitempty"`
	OutputTokens int `json:"output_tokens,omitempty"`
	// Parts names the parts of the prompt in order. The last one is the name of the prompt.
	Parts []string `json:"parts,omitempty"`
	// MaxWaitMS is how long the caller waits; zero means as long as the route's timeout.
	MaxWaitMS int64 `json:"max_wait_ms,omitempty"`
}

// ReadQuery reads a question. The error is a fault with the code bad_request or body_too_large.
func ReadQuery(r io.Reader) (Query, error) {
	var q Query
	body, err := io.ReadAll(io.LimitReader(r, MaxQueryBytes+1))
	if err != nil {
		return q, fault.Wrap(fault.BadRequest, err, "incomplete question")
	}
	if len(body) > MaxQueryBytes {
		return q, fault.New(fault.BodyTooLarge, "more than %d bytes", MaxQueryBytes)
	}
	d := json.NewDecoder(strings.NewReader(string(body)))
	d.DisallowUnknownFields()
	if err := d.Decode(&q); err != nil {
		return q, fault.Wrap(fault.BadRequest, err, "the question is not valid JSON")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return q, fault.New(fault.BadRequest, "there is text after the question")
	}
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	return q, q.Check()
}

// Check returns a bad_request fault if the question is not valid.
func (q Query) Check() error {
	switch {
	case q.Host == "" || strings.ContainsAny(q.Host, "/ \t\r\n"):
		return fault.New(fault.BadRequest, "host must be a host name")
	case !strings.HasPrefix(q.Path, "/"):
		return fault.New(fault.BadRequest, "path must begin with a slash")
	case !validMethod(q.Method):
		return fault.New(fault.BadRequest, "method must be an HTTP method in capital letters")
	case q.PromptTokens < 0 || q.PromptTokens > maxTokens:
		return fault.New(fault.BadRequest, "prompt_tokens must be between 0 and %d", maxTokens)
	case q.OutputTokens < 0 || q.OutputTokens > maxTokens:
		return fault.New(fault.BadRequest, "output_tokens must be between 0 and %d", maxTokens)
	case q.MaxWaitMS < 0 || q.MaxWaitMS > maxWaitMS:
		return fault.New(fault.BadRequest, "max_wait_ms must be between 0 and %d", maxWaitMS)
	case len(q.Parts) > maxParts:
		return fault.New(fault.BadRequest, "parts must have at most %d entries", maxParts)
	}
	return nil
}

func validMethod(m string) bool {
	return m != "" && !strings.ContainsFunc(m, func(r rune) bool { return r < 'A' || r > 'Z' })
}
