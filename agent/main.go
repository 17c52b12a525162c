// Command bilberrylug-agent runs beside one upstream and is the only way to it.
//
// # Usage
//
//	bilberrylug-agent --settings agent.yaml
package main

import (
	"context"
	"os"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/agent/app"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/process"
)

func main() {
	os.Exit(process.Run("bilberrylug-agent", "run the agent beside one upstream", process.Program{Serve: process.WithSettings(serve)}))
}

func serve(ctx context.Context, cfg app.Settings) error {
	a, err := app.New(cfg, clockwork.NewRealClock(), event.New(os.Stderr, cfg.Level(), string(cfg.ID)))
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
