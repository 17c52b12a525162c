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

// sseWriter writes an answer as server-sent events and keeps the position for the event IDs.
type sseWriter struct {
	c       echo.Context
	meta    responseMeta
	request ids.Request
	seen    uint32
	digest  journal.Digest
}

// stream sends tokens as they are revealed. A fault before the first token is returned as an ordinary error response. A
// later one is sent as an event of the stream, after which the caller can resume with the last event ID.
func (s *Server) stream(c echo.Context, a *answer.Answer, p position, meta responseMeta, m *meter) error {
	out := &sseWriter{c: c, meta: meta, request: p.key.Request, seen: p.seen, digest: p.digest}
	ctx := c.Request().Context()
	for {
		state := a.Wait(ctx, int(out.seen))
		if ctx.Err() != nil {
			return nil
		}
		if state.Fault != nil && !c.Response().Committed {
			return state.Fault
		}
		out.writeHeader()
		m.record(s.Clock.Now(), len(state.Tokens)-int(out.seen))
		if err := out.writeTokens(state); err != nil {
			return nil //nolint:nilerr // The caller has disconnected.
		}
		if state.Ended() {
			out.writeEnd(state)
			return nil
		}
	}
}

// writeHeader sends the response header unless it was sent before.
func (o *sseWriter) writeHeader() {
	if o.c.Response().Committed {
		return
	}
	h := o.c.Response().Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	o.c.Response().WriteHeader(http.StatusOK)
}

func (o *sseWriter) writeTokens(state answer.State) error {
	for _, text := range state.Tokens[min(int(o.seen), len(state.Tokens)):] {
		o.seen++
		o.digest = o.digest.Extend(text)
		id := EventID{o.seen, o.digest, state.Witness, o.request}
		if err := o.writeEvent("id: "+id.String()+"\n", o.meta.format.chunk(o.meta, text, nil)); err != nil {
			return err
		}
	}
	o.c.Response().Flush()
	return nil
}

func (o *sseWriter) writeEvent(prefix string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	if _, err := fmt.Fprintf(o.c.Response(), "%sdata: %s\n\n", prefix, body); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	return nil
}

func (o *sseWriter) writeEnd(state answer.State) {
	if state.Fault != nil {
		_ = o.writeEvent("event: error\n", newErrorBody(fault.As(state.Fault)))
		o.c.Response().Flush()
		return
	}
	_ = o.writeEvent("", o.meta.format.chunk(o.meta, "", &state.FinishReason))
	_, _ = fmt.Fprint(o.c.Response(), "data: [DONE]\n\n")
	o.c.Response().Flush()
}
