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
	maxMaxTokens     = 131_072
)

// completionRequest holds the fields of both model requests that this system acts on.
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

// parsedRequest is a checked request.
type parsedRequest struct {
	completionRequest

	text      string
	maxTokens uint32
	bodyHash  uint64
}

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
	if p.maxTokens, err = p.tokens(); err != nil {
		return p, err
	}
	p.text, err = p.promptText(chat)
	return p, err
}

func (r completionRequest) tokens() (uint32, error) {
	n := uint32(defaultMaxTokens)
	for _, given := range []*uint32{r.MaxTokens, r.MaxCompletionTokens} {
		if given != nil {
			n = *given
		}
	}
	if n == 0 || n > maxMaxTokens {
		return 0, fault.New(fault.BadRequest, "max_tokens must be from 1 to %d", maxMaxTokens)
	}
	return n, nil
}

func (r completionRequest) promptText(chat bool) (string, error) {
	if !chat {
		return textOf("prompt", r.Prompt)
	}
	if len(r.Messages) == 0 {
		return "", fault.New(fault.BadRequest, "messages is empty")
	}
	var b strings.Builder
	for _, m := range r.Messages {
		text, err := textOf("content", m.Content)
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

// textOf reads a string, or the text parts of a content list.
func textOf(field string, raw json.RawMessage) (string, error) {
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
