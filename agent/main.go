// Command bilberrylug-agent runs beside one upstream and is the only way to it.
//
// # Usage
//
//	bilberrylug-agent --settings agent.yaml
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"bilberrylug.dev/agent/app"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/settings"
)

func main() {
	if err := execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// execute runs until the process is asked to stop.
func execute() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	command := &cli.Command{
		Name:   "bilberrylug-agent",
		Usage:  "run the agent beside one upstream",
		Flags:  []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "path of the settings file"}},
		Action: run,
	}
	return command.Run(ctx, os.Args)
}

func run(ctx context.Context, c *cli.Command) error {
	cfg, err := settings.Load[app.Settings](c.String("settings"))
	if err != nil {
		return err
	}
	a, err := app.New(cfg, clockwork.NewRealClock(), event.New(os.Stderr, cfg.Level(), string(cfg.ID)))
	if err != nil {
		return err
	}
	return a.Run(ctx)
}
