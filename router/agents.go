package main

import (
	"context"
	"os"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/router/app"
)

// serveAgents runs a router that reaches its upstreams through the agents on their VMs.
func serveAgents(ctx context.Context, cfg app.Settings) error {
	a, err := app.New(cfg, clockwork.NewRealClock(), event.New(os.Stderr, cfg.Level(), string(cfg.ID)))
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
