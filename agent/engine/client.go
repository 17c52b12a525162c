// Package engine speaks to the model engine beside this agent.
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
	callTimeout      = 2 * time.Second
	idleConns        = 64
	maxLineBytes     = 1 << 20
	streamPrefix     = "data: "
	streamEnd        = "[DONE]"
	maxErrorBodyByte = 4096
)

// Client is the connection to one engine. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client for the engine at an address such as http://127.0.0.1:8001.
func New(address string) *Client {
	return &Client{address, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns}}}
}

// Run is what an engine is asked to generate.
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

// Token is one token of the stream, or its end when FinishReason is set; Index is then the total.
type Token struct {
	Index        uint32
	Text         string
	FinishReason string
}

type chunk struct {
	TokenIndex uint32 `json:"token_index"`
	Choices    []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// Generate streams a run until its end. A fault of kind upstream_lost means that the engine ended it early.
func (c *Client) Generate(ctx context.Context, r Run, token func(Token) error) error {
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
	return readStream(resp.Body, token)
}

func statusFault(resp *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyByte))
	if resp.StatusCode == http.StatusConflict {
		return fault.New(fault.StaleFence, "upstream: %s", bytes.TrimSpace(body))
	}
	return fault.New(fault.UpstreamLost, "engine answered %d: %s", resp.StatusCode, bytes.TrimSpace(body))
}

func readStream(r io.Reader, token func(Token) error) error {
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
		if err := token(t); err != nil {
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

// Cancel ends a run; a run that has ended already is no fault.
func (c *Client) Cancel(ctx context.Context, requestID string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.send(ctx, "/v1/cancel/"+requestID, struct{}{})
}

// Order is an instruction to the engine.
type Order struct {
	Fence   ids.Fence `json:"fence"`
	Action  string    `json:"action"`
	Model   string    `json:"model"`
	Version string    `json:"version"`
}

// Order gives an order. A fault of kind stale_fence means that the engine has seen a higher fencing number.
func (c *Client) Order(ctx context.Context, o Order) error {
	return c.send(ctx, "/v1/orders", o)
}

// Models lists the loaded model versions.
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
	if err := json.NewDecoder(resp.Body).Decode(&rows); err != nil {
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

func (c *Client) send(ctx context.Context, path string, v any) error {
	resp, err := c.post(ctx, path, v)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return statusFault(resp)
	}
	return nil
}
