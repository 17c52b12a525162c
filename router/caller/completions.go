package caller

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/router/answer"
)

func (s *Server) completions(c echo.Context, w workspace) error {
	return s.complete(c, w, textFormat{})
}

func (s *Server) chat(c echo.Context, w workspace) error { return s.complete(c, w, chatFormat{}) }

// complete serves a completion request in the given format.
func (s *Server) complete(c echo.Context, w workspace, f format) error {
	_, isChat := f.(chatFormat)
	req, err := parseCompletion(c, isChat)
	if err != nil {
		return err
	}
	if _, _, err := w.model(req.Model); err != nil {
		return err
	}
	p, err := s.parsePosition(c.Request(), w)
	if err != nil {
		return err
	}
	release, err := s.Grants.Admit(c.Request().Context(), w.Name)
	if err != nil {
		return err
	}
	defer release()
	start := s.Clock.Now()
	a, detach, err := s.findAnswer(c.Request(), p, req, w)
	if err != nil {
		return err
	}
	defer detach()
	c.Response().Header().Set(requestIDHeader, string(p.key.Request))
	meta := responseMeta{format: f, id: string(p.key.Request), model: req.Model, created: start.Unix()}
	m := s.newMeter(w, req, start)
	if req.Stream {
		return s.stream(c, a, p, meta, m)
	}
	return s.respond(c, a, meta, m)
}

// respond waits for the end of the answer and sends it as a single JSON response.
func (s *Server) respond(c echo.Context, a *answer.Answer, meta responseMeta, m *meter) error {
	ctx := c.Request().Context()
	seen := 0
	for {
		state := a.Wait(ctx, seen)
		m.record(s.Clock.Now(), len(state.Tokens)-seen)
		seen = len(state.Tokens)
		if state.Fault != nil {
			return state.Fault
		}
		if ctx.Err() != nil {
			return fault.Wrap(fault.Superseded, ctx.Err(), "the caller left")
		}
		if state.FinishReason != "" {
			return c.JSON(http.StatusOK, meta.format.completion(meta, strings.Join(state.Tokens, ""), state.FinishReason, usage{
				CompletionTokens: seen, PromptTokens: promptTokens(a.Prompt().Text), TotalTokens: seen + promptTokens(a.Prompt().Text),
			}))
		}
	}
}

// bytesPerToken is the assumed mean length of a prompt token. The engine does not report the number of prompt tokens.
const bytesPerToken = 4

func promptTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

func (s *Server) models(c echo.Context, w workspace) error {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, svc := range w.services("model") {
		for _, m := range svc.Models {
			list.Data = append(list.Data, modelEntry{ID: m.Name, Object: "model", OwnedBy: string(svc.Name), Version: m.Version})
		}
	}
	return c.JSON(http.StatusOK, list)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	Version string `json:"version"`
}
