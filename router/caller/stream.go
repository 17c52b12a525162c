package caller

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/labstack/echo/v4"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/journal"
	"bilberrylug.dev/router/answer"
)

// sse writes one answer as server-sent events.
type sse struct {
	c       echo.Context
	view    shown
	request ids.Request
	seen    uint32
	digest  journal.Digest
}

// stream sends what is revealed as it comes. A fault before the first token is an ordinary refusal; a later one is an
// event of the stream, behind which the caller can return with the last event id.
func (s *Server) stream(c echo.Context, a *answer.Answer, p place, v shown, m *meter) error {
	out := &sse{c: c, view: v, request: p.key.Request, seen: p.seen, digest: p.digest}
	ctx := c.Request().Context()
	for {
		state := a.Wait(ctx, int(out.seen))
		if ctx.Err() != nil {
			return nil
		}
		if state.Fault != nil && !c.Response().Committed {
			return state.Fault
		}
		out.begin()
		m.note(s.Clock.Now(), len(state.Tokens)-int(out.seen))
		if err := out.tokens(state); err != nil {
			return nil //nolint:nilerr // The caller has left; there is nobody to answer.
		}
		if state.Ended() {
			out.end(state)
			return nil
		}
	}
}

func (o *sse) begin() {
	if o.c.Response().Committed {
		return
	}
	h := o.c.Response().Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	o.c.Response().WriteHeader(http.StatusOK)
}

func (o *sse) tokens(state answer.State) error {
	for _, text := range state.Tokens[min(int(o.seen), len(state.Tokens)):] {
		o.seen++
		o.digest = o.digest.Extend(text)
		id := EventID{o.seen, o.digest, state.Witness, o.request}
		if err := o.event("id: "+id.String()+"\n", o.view.format.chunk(o.view, text, nil)); err != nil {
			return err
		}
	}
	o.c.Response().Flush()
	return nil
}

func (o *sse) event(head string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	if _, err := fmt.Fprintf(o.c.Response(), "%sdata: %s\n\n", head, body); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	return nil
}

func (o *sse) end(state answer.State) {
	if state.Fault != nil {
		_ = o.event("event: error\n", newErrorBody(fault.As(state.Fault)))
		o.c.Response().Flush()
		return
	}
	_ = o.event("", o.view.format.chunk(o.view, "", &state.FinishReason))
	_, _ = fmt.Fprint(o.c.Response(), "data: [DONE]\n\n")
	o.c.Response().Flush()
}
