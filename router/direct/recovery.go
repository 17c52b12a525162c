package direct

import (
	"context"
	"net/http"
	"slices"
	"time"

	"bilberrylug.dev/core/boottime"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/rendezvous"
)

const (
	// confirmTick is the interval between checks for upstreams that are due to be asked for their IDs.
	confirmTick = 50 * time.Millisecond
	// confirmAfter is the time without an answer of the store to any router after which upstreams are asked. A watch is answered every
	// 0.7 s.
	confirmAfter = 800 * time.Millisecond
)

// verifyRecovered queries the ID of a lost upstream whose address answers again. A restarted upstream has another ID, which
// the store reports late or, during an outage, not at all.
func (h *handler) verifyRecovered(ctx context.Context, u fleet.Upstream) {
	if h.config.Load() == nil {
		return
	}
	path, ok := h.healthPath(u)
	if !ok {
		h.markRecovered(u)
		return
	}
	id, sentAt, err := h.askID(ctx, u, path)
	switch id {
	case "":
		h.log.Write(event.UpstreamChanged, "upstream", u.ID, "state", "answers without its ID", "error", errorText(err))
	case u.ID:
		h.markRecovered(u)
	default:
		h.updateID(u, id, sentAt)
	}
}

// healthPath returns the path at which an upstream tells its ID, or false if there is none.
func (h *handler) healthPath(u fleet.Upstream) (string, bool) {
	cfg := h.config.Load()
	if cfg == nil {
		return "", false
	}
	service, known := cfg.Service(u.Service)
	return service.HealthPath, known && service.HealthPath != ""
}

// askID queries the ID that an upstream's address answers with, and returns it with the time at which the query was sent. A reply does not
// say which query it answers, so that each one has its own connection.
func (h *handler) askID(ctx context.Context, u fleet.Upstream, path string) (ids.VM, boottime.Instant, error) {
	ctx, cancel := context.WithTimeout(ctx, maxProbeTimeout)
	defer cancel()
	conn, err := h.pool.Dial(ctx, u.Address)
	if err != nil {
		return "", 0, err
	}
	sentAt := h.boot.Now()
	call := relay.Call{Method: http.MethodGet, Target: path, Header: http.Header{"Connection": {"close"}}}
	reply, _, err := h.controlCallOn(ctx, conn, u, call)
	return reply.Upstream, sentAt, err
}

// confirmUpstreams asks this router's part of the upstreams for their IDs while the store does not answer. When an upstream starts
// again under another ID, the router that knows that it was alive just before adopts the ID and tells the others.
func (h *handler) confirmUpstreams() {
	now := h.clock.Now()
	due := locked(&h.mu, func() []fleet.Upstream {
		last := h.watcherRole.LastContact()
		if last.IsZero() || now.Sub(last) < confirmAfter {
			return nil
		}
		due := h.fleet.DueForConfirmation(now, h.owns)
		return slices.DeleteFunc(due, func(u fleet.Upstream) bool { return h.rateLimits.Delay(u.ID, now) > 0 })
	})
	for _, u := range due {
		h.confirmAsync(u)
	}
}

// owns reports whether this router comes first among those present for an upstream. The caller must hold st.mu.
func (st *state) owns(id ids.VM) bool {
	own := rendezvous.Score(string(id), st.picker.Router)
	return !slices.ContainsFunc(st.routers, func(r ids.VM) bool { return rendezvous.Score(string(id), r) > own })
}

// confirmAsync asks an upstream for its ID, in the background.
func (h *handler) confirmAsync(u fleet.Upstream) {
	h.prober.group.Go(func(ctx context.Context) {
		path, ok := h.healthPath(u)
		if !ok {
			return
		}
		id, sentAt, err := h.askID(ctx, u, path)
		switch {
		case id == u.ID:
			h.mu.Lock()
			h.fleet.RecordAnswer(u, sentAt, h.clock.Now())
			h.mu.Unlock()
		case id != "":
			h.updateID(u, id, sentAt)
		case err != nil:
			// Idle connections to the previous process at the address may look open.
			h.pool.CloseIdle(u.Address)
			h.mu.Lock()
			h.fleet.RecordSilence(u)
			h.mu.Unlock()
		}
	})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
