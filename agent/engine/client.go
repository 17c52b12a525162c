// Package engine is the HTTP client for the agent's model engine.
//
// # Usage
//
//	c := engine.New("http://127.0.0.1:8001")
//	err := c.Generate(ctx, run, func(t engine.Token) error { ... })
package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
)

const (
	// callTimeout bounds a request that cancels a run or lists the models.
	callTimeout = 2 * time.Second
	// maxHeaderBytes bounds the header of a response, maxModelsBytes the list of models.
	maxHeaderBytes = 64 << 10
	maxModelsBytes = 1 << 20
	// maxLineBytes bounds one line of the completion stream.
	maxLineBytes = 1 << 20
	streamPrefix = "data: "
	streamEnd    = "[DONE]"
	// maxErrorBodyBytes is how much of an error response is read for the fault's detail.
	maxErrorBodyBytes = 4096
)

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client for the engine at address, a base URL such as http://127.0.0.1:8001. Each request has its own
// connection: responses do not say which request they answer, so that a late second copy of one would pass as the next.
func New(address string) *Client {
	return &Client{address, &http.Client{Transport: &http.Transport{DisableKeepAlives: true, MaxResponseHeaderBytes: maxHeaderBytes}}}
}

// Run is the request for one generation. RequestID identifies the run for [Client.Cancel]; ResumeTokens are the tokens
// that an earlier attempt has generated already.
type Run struct {
	Model        string   `json:"model"`
	Version      string   `json:"version"`
	Adapter      string   `json:"adapter,omitempty"`
	Prompt       string   `json:"prompt"`
	MaxTokens    uint32   `json:"max_tokens"`
	Seed         uint64   `json:"seed"`
	Temperature  float64  `json:"temperature"`
	RequestID    string   `json:"request_id"`
	Priority     int      `json:"priority"`
	ResumeTokens []string `json:"resume_tokens"`
	Stream       bool     `json:"stream"`
}

// Token is one token of the stream. If FinishReason is set, it is the end of the stream and Index is the number of tokens.
type Token struct {
	Index        uint32
	Text         string
	FinishReason string
}

// chunk is one event of the engine's completion stream.
type chunk struct {
	TokenIndex uint32 `json:"token_index"`
	Choices    []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// Generate starts a run and calls emit for every token until the run ends or emit fails. A fault of kind upstream_lost
// means that the engine failed or ended the stream early.
func (c *Client) Generate(ctx context.Context, r Run, emit func(Token) error) error {
	r.Stream = true
	resp, err := c.post(ctx, "/v1/completions", r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotFound {
		return fault.New(fault.ModelNotLoaded, "%s@%s", r.Model, r.Version)
	}
	if resp.StatusCode != http.StatusOK {
		return statusFault(resp)
	}
	return readStream(resp.Body, emit)
}

// statusFault returns the fault for an error response: stale_fence for 409 Conflict, otherwise upstream_lost.
func statusFault(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes))
	if resp.StatusCode == http.StatusConflict {
		return fault.New(fault.StaleFence, "upstream: %s", bytes.TrimSpace(body))
	}
	return fault.New(fault.UpstreamLost, "engine answered %d: %s", resp.StatusCode, bytes.TrimSpace(body))
}

// readStream calls emit for every token of a completion stream, up to its end marker or finish reason.
func readStream(r io.Reader, emit func(Token) error) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		payload, found := strings.CutPrefix(lines.Text(), streamPrefix)
		if !found {
			continue
		}
		if payload == streamEnd {
			return nil
		}
		t, err := parseToken([]byte(payload))
		if err != nil {
			return err
		}
		if err := emit(t); err != nil {
			return err
		}
		if t.FinishReason != "" {
			return nil
		}
	}
	return fault.Wrap(fault.UpstreamLost, lines.Err(), "the engine's stream ended early")
}

func parseToken(payload []byte) (Token, error) {
	var c chunk
	if err := json.Unmarshal(payload, &c); err != nil {
		return Token{}, fault.Wrap(fault.UpstreamLost, err, "engine's chunk")
	}
	if len(c.Choices) != 1 {
		return Token{}, fault.New(fault.UpstreamLost, "engine's chunk has %d choices", len(c.Choices))
	}
	t := Token{Index: c.TokenIndex, Text: c.Choices[0].Text}
	if reason := c.Choices[0].FinishReason; reason != nil {
		t.FinishReason = *reason
	}
	return t, nil
}

// Cancel ends a run. Cancelling a run that has already ended is not an error.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.send(ctx, "/v1/cancel/"+requestID, struct{}{})
}

// Order instructs the engine to perform an action on a model version. Fence is the fencing number of the lease holder.
type Order struct {
	Fence   ids.Fence `json:"fence"`
	Action  string    `json:"action"`
	Model   string    `json:"model"`
	Version string    `json:"version"`
}

// Order sends an order to the engine. A fault of kind stale_fence means that the engine has seen a higher fencing number.
func (c *Client) Order(ctx context.Context, o Order) error {
	return c.send(ctx, "/v1/orders", o)
}

// Models returns the model versions that the engine has loaded.
func (c *Client) Models(ctx context.Context) ([]ids.Model, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := c.get(ctx, "/v1/models")
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var rows []struct {
		Name    string `json:"name"`
		Version string `json:"version"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxModelsBytes)).Decode(&rows); err != nil {
		return nil, fmt.Errorf("decode models: %w", err)
	}
	models := make([]ids.Model, 0, len(rows))
	for _, r := range rows {
		models = append(models, ids.Model{Name: r.Name, Version: r.Version})
	}
	return models, nil
}

func (c *Client) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	return c.do(req)
}

func (c *Client) post(ctx context.Context, path string, v any) (*http.Response, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	return c.do(req)
}

func (c *Client) do(req *http.Request) (*http.Response, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.Wrap(fault.UpstreamLost, err, "%s %s", req.Method, req.URL.Path)
	}
	return resp, nil
}

// send posts a request and discards the body of the response.
func (c *Client) send(ctx context.Context, path string, v any) error {
	resp, err := c.post(ctx, path, v)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusMultipleChoices {
		return statusFault(resp)
	}
	return nil
}
