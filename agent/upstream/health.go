// Package upstream watches whether the process beside the agent answers.
//
// # Usage
//
//	h := upstream.New("http://127.0.0.1:8001/healthz", clock, log)
//	group.Go(h.Run)
//	select { case <-h.Lost(): ... }
package upstream

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/event"
)

const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 400 * time.Millisecond
	// failuresToLose is the number of failed probes in a row after which the upstream counts as lost.
	failuresToLose = 2
)

// Health is the state of the upstream. It is safe for concurrent use.
type Health struct {
	url   string
	clock clockwork.Clock
	log   *event.Log
	http  *http.Client

	mu       sync.Mutex
	failures int
	lost     chan struct{}
}

// New returns a health watch that starts out healthy.
func New(url string, clock clockwork.Clock, log *event.Log) *Health {
	return &Health{url: url, clock: clock, log: log, http: &http.Client{Timeout: probeTimeout}, lost: make(chan struct{})}
}

// Run probes until the context ends.
func (h *Health) Run(ctx context.Context) {
	ticker := h.clock.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		h.note(h.probe(ctx))
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
	}
}

func (h *Health) probe(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.url, nil)
	if err != nil {
		return false
	}
	resp, err := h.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (h *Health) note(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.recover()
		return
	}
	h.failures++
	if h.failures == failuresToLose {
		h.log.Write(event.UpstreamUnhealthy, "url", h.url)
		close(h.lost)
	}
}

func (h *Health) recover() {
	if h.failures >= failuresToLose {
		h.log.Write(event.UpstreamHealthy, "url", h.url)
		h.lost = make(chan struct{})
	}
	h.failures = 0
}

// Healthy tells whether the last probes were answered.
func (h *Health) Healthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures < failuresToLose
}

// Lost returns a channel that is closed while the upstream counts as lost.
func (h *Health) Lost() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost
}
