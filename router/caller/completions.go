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

func (s *Server) complete(c echo.Context, w workspace, f format) error {
	_, isChat := f.(chatFormat)
	req, err := parseCompletion(c, isChat)
	if err != nil {
		return err
	}
	if _, _, err := w.model(req.Model); err != nil {
		return err
	}
	p, err := s.placeOf(c.Request(), w)
	if err != nil {
		return err
	}
	end, err := s.Grants.Admit(c.Request().Context(), w.Name)
	if err != nil {
		return err
	}
	defer end()
	began := s.Clock.Now()
	a, detach, err := s.find(c.Request(), p, req, w)
	if err != nil {
		return err
	}
	defer detach()
	c.Response().Header().Set(requestIDHeader, string(p.key.Request))
	view := shown{format: f, id: string(p.key.Request), model: req.Model, created: began.Unix()}
	m := s.newMeter(w, req, began)
	if req.Stream {
		return s.stream(c, a, p, view, m)
	}
	return s.whole(c, a, view, m)
}

// whole waits for the end of the answer and sends it in one piece.
func (s *Server) whole(c echo.Context, a *answer.Answer, v shown, m *meter) error {
	ctx := c.Request().Context()
	seen := 0
	for {
		state := a.Wait(ctx, seen)
		m.note(s.Clock.Now(), len(state.Tokens)-seen)
		seen = len(state.Tokens)
		if state.Fault != nil {
			return state.Fault
		}
		if ctx.Err() != nil {
			return fault.Wrap(fault.Superseded, ctx.Err(), "the caller left")
		}
		if state.FinishReason != "" {
			return c.JSON(http.StatusOK, v.format.whole(v, strings.Join(state.Tokens, ""), state.FinishReason, usage{
				CompletionTokens: seen, PromptTokens: promptTokens(a.Prompt().Text), TotalTokens: seen + promptTokens(a.Prompt().Text),
			}))
		}
	}
}

// bytesPerToken estimates the tokens of a prompt, which the engine does not report.
const bytesPerToken = 4

func promptTokens(text string) int { return (len(text) + bytesPerToken - 1) / bytesPerToken }

func (s *Server) models(c echo.Context, w workspace) error {
	list := modelList{Object: "list", Data: []modelRow{}}
	for _, svc := range w.services("model") {
		for _, m := range svc.Models {
			list.Data = append(list.Data, modelRow{ID: m.Name, Object: "model", OwnedBy: string(svc.Name), Version: m.Version})
		}
	}
	return c.JSON(http.StatusOK, list)
}

type modelList struct {
	Object string     `json:"object"`
	Data   []modelRow `json:"data"`
}

type modelRow struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
	Version string `json:"version"`
}
