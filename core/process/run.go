// Package process runs a program of the system with its settings until it is asked to stop.
//
// # Usage
//
//	func main() { os.Exit(process.Run("bilberrylug-agent", "run the agent beside one upstream", run)) }
package process

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"bilberrylug.dev/core/settings"
)

// Run reads the settings that the command line names and calls serve, whose context ends with SIGTERM or an interrupt.
// It returns the exit code.
func Run[T settings.Checked](name, usage string, serve func(ctx context.Context, cfg T) error) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	command := &cli.Command{
		Name: name, Usage: usage,
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Required: true, Usage: "path of the settings file"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := settings.Load[T](c.String("settings"))
			if err != nil {
				return err
			}
			return serve(ctx, cfg)
		},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
