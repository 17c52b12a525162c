package direct

import (
	"context"
	"net/http"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/relay"
)

// verifyRecovered queries the ID of a lost upstream whose address answers again. A restarted upstream has another ID, which
// the store reports late or, during an outage, not at all.
func (h *handler) verifyRecovered(ctx context.Context, u fleet.Upstream) {
	cfg := h.config.Load()
	if cfg == nil {
		return
	}
	service, known := cfg.Service(u.Service)
	if !known || service.HealthPath == "" {
		h.markRecovered(u)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxProbeTimeout)
	defer cancel()
	sentAt := h.boot.Now()
	reply, _, err := h.controlCall(ctx, u, relay.Call{Method: http.MethodGet, Target: service.HealthPath, Header: http.Header{}})
	switch reply.Upstream {
	case "":
		h.log.Write(event.UpstreamChanged, "upstream", u.ID, "state", "answers without its ID", "error", errorText(err))
	case u.ID:
		h.markRecovered(u)
	default:
		h.updateID(u, reply.Upstream, sentAt)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
