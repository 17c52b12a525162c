package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"bilberrylug.dev/standin/tokens"
)

// Completion sends a non-streaming request and checks the answer. A request with an ID is retried through the next router
// when it gets no reply.
func (c *Client) Completion(ctx context.Context, req Request) Result {
	result := Result{Expected: tokens.Length(req.Prompt, req.MaxTokens), Start: time.Now()}
	body, err := json.Marshal(req)
	if err != nil {
		result.Err = err
		return result
	}
	for i := c.first; ; i++ {
		resp, err := c.do(ctx, http.MethodPost, c.routers[i%len(c.routers)]+"/v1/completions", body, map[string]string{"X-Request-Id": req.ID})
		if err != nil && ctx.Err() == nil && req.ID != "" {
			result.Reconnects++
			time.Sleep(retryDelay)
			continue
		}
		result.Err = err
		if err == nil {
			checkCompletion(resp, req, &result)
			_ = resp.Body.Close()
		}
		result.Total = time.Since(result.Start)
		return result
	}
}

func checkCompletion(resp *http.Response, req Request, result *Result) {
	result.Status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		refusal := decodeRefusal(resp)
		result.Err, result.Code = refusal, refusal.Code
		return
	}
	var c chunk
	if result.Err = json.NewDecoder(resp.Body).Decode(&c); result.Err != nil {
		return
	}
	if len(c.Choices) == 1 && c.Choices[0].Text == tokens.Answer(req.Prompt, req.Version, req.Seed, req.MaxTokens) {
		result.Received = result.Expected
		return
	}
	result.Wrong++
}

// Reply is the outcome of a call to a plain service. Recorded reports that the router returned the reply recorded for the
// idempotency key.
type Reply struct {
	Status   int
	Code     string
	Claim    string
	Recorded bool
	Body     string
	Took     time.Duration
	Err      error
}

// Call sends one call to the client's first router, without retries. A non-empty key is sent as the Idempotency-Key header.
func (c *Client) Call(ctx context.Context, method, path, body, key string) Reply {
	began := time.Now()
	resp, err := c.do(ctx, method, c.routers[c.first%len(c.routers)]+path, []byte(body), map[string]string{"Idempotency-Key": key})
	if err != nil {
		return Reply{Err: err, Took: time.Since(began)}
	}
	defer func() { _ = resp.Body.Close() }()
	out := Reply{Status: resp.StatusCode, Recorded: resp.Header.Get("X-Bilberrylug-Recorded") == "true"}
	if resp.StatusCode >= http.StatusBadRequest {
		refusal := decodeRefusal(resp)
		out.Code, out.Claim = refusal.Code, refusal.Claim
	} else {
		text, _ := io.ReadAll(resp.Body)
		out.Body = string(text)
	}
	out.Took = time.Since(began)
	return out
}
