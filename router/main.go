// Command bilberrylug-router speaks to callers and leads their work to upstreams.
//
// # Usage
//
//	bilberrylug-router --settings router.yaml
package main

import (
	"context"
	"os"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/process"
	"bilberrylug.dev/router/app"
)

func main() {
	os.Exit(process.Run("bilberrylug-router", "run a router on an entry VM", serve))
}

func serve(ctx context.Context, cfg app.Settings) error {
	a, err := app.New(cfg, clockwork.NewRealClock(), event.New(os.Stderr, cfg.Level(), string(cfg.ID)))
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
