package direct

import (
	"context"
	"sync"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
)

const (
	// learnTime bounds the learning of the engines' prompts, for which a router that starts is not ready yet.
	learnTime = 250 * time.Millisecond
	// learnPoll is the pause between looks for the configuration and the engines.
	learnPoll = 10 * time.Millisecond
)

// learnPrompts asks the engines of the own failure domain which prompts they keep, and tells the other routers. Callers that
// come back after the loss of their routers then find the engine that has read their prompt.
func (e *edge) learnPrompts(ctx context.Context) {
	defer close(e.learnt)
	for len(e.engines()) == 0 {
		select {
		case <-ctx.Done():
			return
		case <-e.clock.After(learnPoll):
		}
	}
	ctx, cancel := context.WithTimeout(ctx, learnTime)
	defer cancel()
	var wg sync.WaitGroup
	for _, u := range e.engines() {
		wg.Add(1)
		e.probes.group.Go(func(context.Context) {
			defer wg.Done()
			e.learn(ctx, u)
		})
	}
	wg.Wait()
	e.nudge()
	e.log.Write(event.Ready, "config_version", uint64(e.config.Load().Version))
}

func (e *edge) learn(ctx context.Context, u fleet.Upstream) {
	_, body, err := e.control(ctx, u, e.dialect.PromptsCall())
	if err != nil {
		e.log.Write(event.PromptsUnknown, "upstream", u.ID, "error", err.Error())
		return
	}
	names, err := e.dialect.Prompts(body)
	if err != nil {
		e.log.Write(event.PromptsUnknown, "upstream", u.ID, "error", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range names {
		e.placedPrompt(name, u.ID)
	}
}

// engines returns the model engines of the own failure domain, once the configuration is known.
func (e *edge) engines() []fleet.Upstream {
	cfg := e.config.Load()
	if cfg == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []fleet.Upstream
	for _, s := range cfg.EngineServices() {
		for _, u := range e.fleet.Usable(s) {
			if u.Domain == e.picker.Domain {
				out = append(out, u)
			}
		}
	}
	return out
}
