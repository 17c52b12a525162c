// Package upstream checks the health of the agent's upstream with periodic HTTP probes.
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
	// failureThreshold is the number of consecutive failed probes after which the upstream is considered lost.
	failureThreshold = 2
)

// Health tracks whether the upstream passes its health probes. It is safe for concurrent use.
type Health struct {
	url   string
	clock clockwork.Clock
	log   *event.Log
	http  *http.Client

	mu       sync.Mutex
	failures int
	lost     chan struct{}
}

// New returns a Health that probes url. The upstream is considered healthy until failureThreshold consecutive probes
// have failed.
func New(url string, clock clockwork.Clock, log *event.Log) *Health {
	return &Health{url: url, clock: clock, log: log, http: &http.Client{Timeout: probeTimeout}, lost: make(chan struct{})}
}

// Run probes the upstream until ctx is done.
func (h *Health) Run(ctx context.Context) {
	ticker := h.clock.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		h.recordProbe(h.probe(ctx))
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

func (h *Health) recordProbe(ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ok {
		h.markHealthy()
		return
	}
	h.failures++
	if h.failures == failureThreshold {
		h.log.Write(event.UpstreamUnhealthy, "url", h.url)
		close(h.lost)
	}
}

func (h *Health) markHealthy() {
	if h.failures >= failureThreshold {
		h.log.Write(event.UpstreamHealthy, "url", h.url)
		h.lost = make(chan struct{})
	}
	h.failures = 0
}

// Healthy reports whether fewer than failureThreshold consecutive probes have failed.
func (h *Health) Healthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.failures < failureThreshold
}

// Lost returns a channel that is closed when the upstream is lost. A recovery replaces the channel with an open one.
func (h *Health) Lost() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.lost
}
