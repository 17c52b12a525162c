package direct

import (
	"context"
	"sync"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
)

const (
	// promptFetchTimeout bounds the queries for the engines' cached prompts. A starting router is not ready until they end.
	promptFetchTimeout = 250 * time.Millisecond
	// enginePollInterval is the interval between checks for the configuration and the engines.
	enginePollInterval = 10 * time.Millisecond
)

// fetchPrompts queries the engines of the router's failure domain for the prompts in their KV caches, and broadcasts the
// result to the other routers. Callers that retry after losing their router then reach the engine that has processed their
// prompt.
func (h *handler) fetchPrompts(ctx context.Context) {
	defer close(h.promptsFetched)
	for len(h.localEngines()) == 0 {
		select {
		case <-ctx.Done():
			return
		case <-h.clock.After(enginePollInterval):
		}
	}
	ctx, cancel := context.WithTimeout(ctx, promptFetchTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, u := range h.localEngines() {
		wg.Add(1)
		h.prober.group.Go(func(context.Context) {
			defer wg.Done()
			h.fetchPromptsFrom(ctx, u)
		})
	}
	wg.Wait()
	h.broadcastSoon()
	h.mu.Lock()
	breakers, crashes := h.quarantine.Known(h.clock.Now())
	h.mu.Unlock()
	h.log.Write(event.Ready, "config_version", uint64(h.config.Load().Version), "quarantined_parts", breakers, "prompt_crashes", crashes)
}

func (h *handler) fetchPromptsFrom(ctx context.Context, u fleet.Upstream) {
	_, body, err := h.controlCall(ctx, u, h.dialect.PromptsCall())
	if err != nil {
		h.log.Write(event.PromptListFailed, "upstream", u.ID, "error", err.Error())
		return
	}
	names, err := h.dialect.Prompts(body)
	if err != nil {
		h.log.Write(event.PromptListFailed, "upstream", u.ID, "error", err.Error())
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range names {
		h.recordPrompt(name, u.ID)
	}
}

// localEngines returns the model engines in the router's failure domain, or none before the configuration is known.
func (h *handler) localEngines() []fleet.Upstream {
	cfg := h.config.Load()
	if cfg == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []fleet.Upstream
	for _, s := range cfg.EngineServices() {
		for _, u := range h.fleet.Usable(s) {
			if u.Domain == h.picker.Domain {
				out = append(out, *u)
			}
		}
	}
	return out
}
