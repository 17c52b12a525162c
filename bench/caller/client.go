// Package caller implements a client of the routers that checks every answer token by token.
//
// # Usage
//
//	c := caller.New([]string{"http://127.0.0.1:8080"}, "growers.secret", 0)
//	r := c.Stream(ctx, caller.Request{Model: "lug-7b", Version: "1", Prompt: "lot 7", MaxTokens: 200, Seed: 1})
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"bilberrylug.dev/standin/tokens"
)

const (
	maxLineBytes        = 1 << 20
	retryDelay          = 100 * time.Millisecond
	maxIdleConnsPerHost = 256
)

// Client sends each request to the same first router and retries through the following ones in turn. It is safe for
// concurrent use.
type Client struct {
	routers []string
	key     string
	first   int
	http    *http.Client
}

// New returns a client that authenticates with key. Its first router is routers[first%len(routers)].
func New(routers []string, key string, first int) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost}
	return &Client{routers: routers, key: key, first: first, http: &http.Client{Transport: transport}}
}

// Request is a model request. ID and Version are not part of the body: ID is sent as the X-Request-Id header, and Version
// is the model version that the answer is checked against.
type Request struct {
	ID        string `json:"-"`
	Model     string `json:"model"`
	Version   string `json:"-"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Seed      uint64 `json:"seed"`
	Stream    bool   `json:"stream"`
}

// Result is the outcome of a model request. Expected and Received count tokens. Wrong counts the wrong tokens of a stream,
// and is 1 for a wrong non-streaming answer. FirstToken and Total are measured from Start; Gaps are the times between tokens.
// FirstToken and Gaps are set for streams only.
type Result struct {
	Expected   int
	Received   int
	Wrong      int
	Reconnects int
	Status     int
	Code       string
	Start      time.Time
	FirstToken time.Duration
	Total      time.Duration
	Gaps       []time.Duration
	Err        error
}

// Complete reports whether the answer arrived completely and without a wrong token.
func (r Result) Complete() bool { return r.Err == nil && r.Wrong == 0 && r.Received == r.Expected }

// MaxGap returns the longest time between two tokens.
func (r Result) MaxGap() time.Duration {
	var longest time.Duration
	for _, g := range r.Gaps {
		longest = max(longest, g)
	}
	return longest
}

// RefusalError is an error reply of a router, or an error event in a stream. Claim is the reply's statement on whether the
// request has run.
type RefusalError struct {
	Status int
	Code   string
	Claim  string
}

// Error returns the status and the code.
func (r *RefusalError) Error() string { return fmt.Sprintf("status %d, code %s", r.Status, r.Code) }

// stream is the state of a streaming request. It is kept when the connection is replaced.
type stream struct {
	req         Request
	result      Result
	lastEventID string
	lastTokenAt time.Time
}

// Stream sends a streaming request and checks the answer. When the connection is lost it reconnects through the next router
// with the last event ID, until the context ends. It gives up when a router refuses the request before the first event or
// after more than 50 reconnects; other refusals are retried like a lost connection.
func (c *Client) Stream(ctx context.Context, req Request) Result {
	req.Stream = true
	s := &stream{req: req, result: Result{Expected: tokens.Length(req.Prompt, req.MaxTokens), Start: time.Now()}}
	for i := c.first; ; i++ {
		err := c.streamOnce(ctx, c.routers[i%len(c.routers)], s)
		if err == nil || ctx.Err() != nil {
			s.result.Err = err
			break
		}
		var refusal *RefusalError
		if errors.As(err, &refusal) && (s.lastEventID == "" || s.result.Reconnects > 50) {
			s.result.Err, s.result.Status, s.result.Code = err, refusal.Status, refusal.Code
			break
		}
		s.result.Reconnects++
		time.Sleep(retryDelay)
	}
	s.result.Total = time.Since(s.result.Start)
	return s.result
}

// streamOnce sends the request to one router and reads its events until the stream ends.
func (c *Client) streamOnce(ctx context.Context, router string, s *stream) error {
	body, err := json.Marshal(s.req)
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	headers := map[string]string{"X-Request-Id": s.req.ID, "Last-Event-ID": s.lastEventID}
	resp, err := c.do(ctx, http.MethodPost, router+"/v1/completions", body, headers)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return decodeRefusal(resp)
	}
	return s.readEvents(resp.Body)
}

func (c *Client) do(ctx context.Context, method, url string, body []byte, headers map[string]string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		if value != "" {
			r.Header.Set(name, value)
		}
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	return resp, nil
}

// errorBody is the body of an error reply and the data of an error event.
type errorBody struct {
	Error struct {
		Code  string `json:"code"`
		Claim string `json:"claim"`
	} `json:"error"`
}

func decodeRefusal(resp *http.Response) *RefusalError {
	var e errorBody
	body, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(body, &e)
	return &RefusalError{resp.StatusCode, e.Error.Code, e.Error.Claim}
}

func (s *stream) readEvents(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	failed := false
	for lines.Scan() {
		line := lines.Text()
		if id, found := strings.CutPrefix(line, "id: "); found {
			s.lastEventID = id
		}
		if line == "event: error" {
			failed = true
		}
		payload, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		if failed {
			var e errorBody
			_ = json.Unmarshal([]byte(payload), &e)
			return &RefusalError{http.StatusOK, e.Error.Code, e.Error.Claim}
		}
		if payload == "[DONE]" {
			return nil
		}
		s.recordToken([]byte(payload))
	}
	return fmt.Errorf("stream ended before [DONE]: %w", io.ErrUnexpectedEOF)
}

type chunk struct {
	Choices []struct {
		Text         string  `json:"text"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// recordToken checks one token against the one that the stand-in engine generates at its index, and records its arrival.
func (s *stream) recordToken(payload []byte) {
	var c chunk
	if json.Unmarshal(payload, &c) != nil || len(c.Choices) != 1 || c.Choices[0].FinishReason != nil {
		return
	}
	now := time.Now()
	if s.result.Received == 0 {
		s.result.FirstToken = now.Sub(s.result.Start)
	} else {
		s.result.Gaps = append(s.result.Gaps, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	if c.Choices[0].Text != tokens.At(s.req.Prompt, s.req.Version, s.req.Seed, s.result.Received) {
		s.result.Wrong++
	}
	s.result.Received++
}
