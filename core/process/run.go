// Package process implements the main function of the programs: command line, settings file and signals.
//
// # Usage
//
//	func main() {
//		main := process.Program{Serve: process.WithSettings(serve)}
//		os.Exit(process.Run("bilberrylug-agent", "run the agent beside one upstream", main))
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

// Program is the main command of a program or one of its named subcommands. Serve receives the path of the settings file.
type Program struct {
	Name  string
	Usage string
	Serve func(ctx context.Context, path string) error
}

// hangups receives SIGHUP from package initialization on, since an unhandled SIGHUP would end the process.
var hangups = func() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}()

// Hangups returns a channel that reports each SIGHUP.
func Hangups() <-chan os.Signal { return hangups }

// WithSettings returns a function for Program.Serve that loads the settings and calls serve.
func WithSettings[T settings.Checker](serve func(ctx context.Context, cfg T) error) func(ctx context.Context, path string) error {
	return WithSettingsPath(func(ctx context.Context, cfg T, _ string) error { return serve(ctx, cfg) })
}

// WithSettingsPath is [WithSettings] for a program that reloads its settings: serve also receives the path of their file.
func WithSettingsPath[T settings.Checker](serve func(ctx context.Context, cfg T, path string) error) func(ctx context.Context, path string) error {
	return func(ctx context.Context, path string) error {
		cfg, err := settings.Load[T](path)
		if err != nil {
			return err
		}
		return serve(ctx, cfg, path)
	}
}

// Run parses the command line and runs the chosen command. SIGTERM or an interrupt cancels the command's context. Run
// returns the exit code.
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
