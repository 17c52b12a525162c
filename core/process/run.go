// Package process runs a program of the system with its settings until it is asked to stop.
//
// # Usage
//
//	func main() {
//		os.Exit(process.Run("bilberrylug-agent", "run the agent beside one upstream", process.Program{Serve: process.WithSettings(serve)}))
//	}
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

// Program is what the command line starts: the program itself, or a named command of it.
type Program struct {
	Name  string
	Usage string
	Serve func(ctx context.Context, path string) error
}

// hangups takes SIGHUP from the program's first moment on, so that it never ends the process.
var hangups = func() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}()

// Hangups returns a channel that reports each SIGHUP.
func Hangups() <-chan os.Signal { return hangups }

// WithSettings returns a Serve that reads the settings before it serves.
func WithSettings[T settings.Checker](serve func(ctx context.Context, cfg T) error) func(ctx context.Context, path string) error {
	return WithSettingsPath(func(ctx context.Context, cfg T, _ string) error { return serve(ctx, cfg) })
}

// WithSettingsPath is [WithSettings] for a program that reads its settings again later.
func WithSettingsPath[T settings.Checker](serve func(ctx context.Context, cfg T, path string) error) func(ctx context.Context, path string) error {
	return func(ctx context.Context, path string) error {
		cfg, err := settings.Load[T](path)
		if err != nil {
			return err
		}
		return serve(ctx, cfg, path)
	}
}

// Run reads the settings that the command line names and serves until SIGTERM or an interrupt ends the context. It returns
// the exit code.
func Run(name, usage string, main Program, commands ...Program) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := command(main)
	root.Name = name
	root.Usage = usage
	for _, c := range commands {
		root.Commands = append(root.Commands, command(c))
	}
	if err := root.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func command(p Program) *cli.Command {
	return &cli.Command{
		Name: p.Name, Usage: p.Usage,
		Flags: []cli.Flag{&cli.StringFlag{Name: "settings", Local: true, Usage: "path of the settings file"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("settings")
			if path == "" {
				return cli.Exit("--settings is missing: give the path of the settings file", 1)
			}
			return p.Serve(ctx, path)
		},
	}
}
