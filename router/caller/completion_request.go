package caller

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"bilberrylug.dev/core/fault"
)

const (
	defaultMaxTokens = 512
	maxTokensLimit   = 131_072
)

// completionRequest holds the fields of a completion or chat completion request that the router acts on. Other fields
// are ignored.
type completionRequest struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            []message       `json:"messages"`
	MaxTokens           *uint32         `json:"max_tokens"`
	MaxCompletionTokens *uint32         `json:"max_completion_tokens"`
	Temperature         float64         `json:"temperature"`
	Seed                *uint64         `json:"seed"`
	Stream              bool            `json:"stream"`
	N                   *int            `json:"n"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// parsedRequest is a validated completionRequest with the values derived from it.
type parsedRequest struct {
	completionRequest

	text      string
	maxTokens uint32
	bodyHash  uint64
}

// parseCompletion decodes and validates the body of a request. An invalid body is a fault of kind bad_request.
func parseCompletion(c echo.Context, chat bool) (parsedRequest, error) {
	var p parsedRequest
	body, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return p, asFault(err)
	}
	if err := json.Unmarshal(body, &p.completionRequest); err != nil {
		return p, fault.Wrap(fault.BadRequest, err, "body")
	}
	p.bodyHash = xxhash.Sum64(body)
	if p.N != nil && *p.N != 1 {
		return p, fault.New(fault.BadRequest, "n must be 1")
	}
	if p.maxTokens, err = p.tokenLimit(); err != nil {
		return p, err
	}
	p.text, err = p.promptText(chat)
	return p, err
}

// tokenLimit returns the number of tokens that may be generated. MaxCompletionTokens takes precedence over MaxTokens.
func (r completionRequest) tokenLimit() (uint32, error) {
	n := uint32(defaultMaxTokens)
	for _, limit := range []*uint32{r.MaxTokens, r.MaxCompletionTokens} {
		if limit != nil {
			n = *limit
		}
	}
	if n == 0 || n > maxTokensLimit {
		return 0, fault.New(fault.BadRequest, "max_tokens must be from 1 to %d", maxTokensLimit)
	}
	return n, nil
}

// promptText returns the prompt or, for a chat, the messages joined into one prompt.
func (r completionRequest) promptText(chat bool) (string, error) {
	if !chat {
		return decodeText("prompt", r.Prompt)
	}
	if len(r.Messages) == 0 {
		return "", fault.New(fault.BadRequest, "messages is empty")
	}
	var b strings.Builder
	for _, m := range r.Messages {
		text, err := decodeText("content", m.Content)
		if err != nil {
			return "", err
		}
		b.WriteString(m.Role + ": " + text + "\n")
	}
	return b.String(), nil
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// decodeText decodes a field that is either a string or a list of text parts, which are concatenated.
func decodeText(field string, raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil && text != "" {
		return text, nil
	}
	var parts []contentPart
	if json.Unmarshal(raw, &parts) != nil || len(parts) == 0 {
		return "", fault.New(fault.BadRequest, "%s must be a text", field)
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", fault.New(fault.BadRequest, "%s part of type %q is not supported", field, p.Type)
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}
