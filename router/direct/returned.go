package direct

import (
	"context"
	"net/http"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/relay"
)

// returned asks the upstream at an address which one it is, after it was out of use and answers again: a new start has another
// name, which the store tells late or, while it is away, not at all.
func (e *edge) returned(ctx context.Context, u fleet.Upstream) {
	cfg := e.config.Load()
	if cfg == nil {
		return
	}
	service, known := cfg.Service(u.Service)
	if !known || service.HealthPath == "" {
		e.found(u)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxProbe)
	defer cancel()
	reply, _, err := e.control(ctx, u, relay.Call{Method: http.MethodGet, Target: service.HealthPath, Header: http.Header{}})
	switch reply.Upstream {
	case "":
		e.log.Write(event.UpstreamChanged, "upstream", u.ID, "state", "answers, but does not name itself", "error", errorText(err))
	case u.ID:
		e.found(u)
	default:
		e.adopt(u, reply.Upstream)
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
