package direct

import (
	"context"
	"net/http"

	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/relay"
)

// identify asks the upstream at an address which one it is: while the store is away, a new start is known to nobody.
func (e *edge) identify(ctx context.Context, u fleet.Upstream) {
	cfg := e.config.Load()
	if cfg == nil {
		return
	}
	service, known := cfg.Service(u.Service)
	if !known || service.HealthPath == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxProbe)
	defer cancel()
	reply, _, err := e.control(ctx, u, relay.Call{Method: http.MethodGet, Target: service.HealthPath, Header: http.Header{}})
	if err != nil || reply.Upstream == "" || reply.Upstream == u.ID {
		return
	}
	e.adopt(u, reply.Upstream)
}
