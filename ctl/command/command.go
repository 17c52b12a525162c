// Package command implements the commands of the operators' command line.
//
// # Usage
//
//	err := command.New(os.Stdout).Run(ctx, os.Args)
//	os.Exit(command.ExitCode(err))
package command

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/kv"
	"bilberrylug.dev/ctl/configstore"
)

// Exit codes of the commands. ExitUnknown means that a call to the platform's service failed, so that the outcome of the
// command may be unknown, ExitNotActive that the revision was not active in time, and ExitDifferences that diff found
// differences.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitUnknown     = 5
	ExitNotActive   = 6
	ExitDifferences = 8
)

const (
	// readsPerSecond and writesPerSecond limit the calls of a command to the platform's service.
	readsPerSecond  = 200
	writesPerSecond = 50

	randomIDBytes = 8
)

// exitError is an error with its own exit code.
type exitError struct {
	code    int
	message string
}

func (e *exitError) Error() string { return e.message }

// ExitCode returns the process exit code for the error of a command.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	var findings declared.FindingsError
	if errors.As(err, &findings) {
		return ExitInvalid
	}
	var typed *fault.Error
	if !errors.As(err, &typed) {
		return ExitFailed
	}
	if code, listed := exitCodes[typed.Kind.Code]; listed {
		return code
	}
	return ExitFailed
}

// exitCodes maps fault codes to exit codes; all others exit with ExitFailed.
var exitCodes = map[fault.Code]int{
	fault.BadRequest:       ExitInvalid,
	fault.ConfigInvalid:    ExitInvalid,
	fault.ApplyConflict:    ExitConflict,
	fault.StoreUnavailable: ExitUnknown,
}

// Tool holds the dependencies of the commands.
type Tool struct {
	out   io.Writer
	clock clockwork.Clock
}

// New returns the root command. The commands write their output to out.
func New(out io.Writer) *cli.Command {
	t := &Tool{out, clockwork.NewRealClock()}
	return &cli.Command{
		Name:  "bilberrylug",
		Usage: "apply configurations and inspect the fleet",
		Description: "Exit codes: 0 done, 1 failed, 3 invalid configuration or question, 4 conflict with another operator, " +
			"5 outcome unknown, 6 not active in time, 8 differences found.",
		Writer: out,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Value: "http://127.0.0.1:7070", Sources: cli.EnvVars("BILBERRYLUG_PLATFORM"), Usage: "base URL of the platform's service"},
			&cli.StringSliceFlag{Name: "router", Sources: cli.EnvVars("BILBERRYLUG_ROUTERS"), Usage: "operators' address of a router; repeat for each router"},
			&cli.StringFlag{Name: "output", Value: "text", Usage: "output format: text or json"},
			&cli.StringFlag{Name: "operator", Value: os.Getenv("USER"), Usage: "operator name recorded in the history"},
		},
		Commands: []*cli.Command{
			t.validate(), t.diff(), t.apply(), t.get(), t.history(), t.status(), t.drain(), t.undrain(), t.hashKey(), t.explain(),
		},
	}
}

func (t *Tool) applier(c *cli.Command) *configstore.Applier {
	limiter := kv.NewCallLimiter(readsPerSecond, writesPerSecond, nil)
	return configstore.New(kv.New(kv.Options{Address: c.String("platform"), Limiter: limiter}), t.clock, randomID)
}

func randomID() string {
	b := make([]byte, randomIDBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// print writes v as JSON if --output is json, and calls text otherwise.
func (t *Tool) print(c *cli.Command, v any, text func()) error {
	if c.String("output") != "json" {
		text()
		return nil
	}
	return t.printJSON(v)
}

func (t *Tool) printJSON(v any) error {
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	return nil
}

func (t *Tool) printf(format string, args ...any) { _, _ = fmt.Fprintf(t.out, format, args...) }

// readFiles reads the given files, and all .yaml files of the given directories.
func readFiles(paths []string) ([]declared.File, error) {
	if len(paths) == 0 {
		return nil, fault.New(fault.ConfigInvalid, "the FILE or DIRECTORY argument is missing")
	}
	var names []string
	for _, p := range paths {
		found, err := expandPath(p)
		if err != nil {
			return nil, err
		}
		names = append(names, found...)
	}
	var files []declared.File
	for _, name := range names {
		body, err := os.ReadFile(name)
		if err != nil {
			return nil, fault.Wrap(fault.ConfigInvalid, err, "%s", name)
		}
		files = append(files, declared.File{Name: name, Body: body})
	}
	return files, nil
}

func expandPath(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fault.Wrap(fault.ConfigInvalid, err, "%s", path)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	names, err := filepath.Glob(filepath.Join(path, "*.yaml"))
	if err != nil || len(names) == 0 {
		return nil, fault.New(fault.ConfigInvalid, "directory %s contains no .yaml files", path)
	}
	slices.Sort(names)
	return names, nil
}

func loadConfig(paths []string) (*declared.Config, error) {
	files, err := readFiles(paths)
	if err != nil {
		return nil, err
	}
	return declared.Parse(files)
}

func (t *Tool) validate() *cli.Command {
	return &cli.Command{
		Name: "validate", Usage: "check configuration files without applying them", ArgsUsage: "FILE|DIRECTORY...",
		Action: func(_ context.Context, c *cli.Command) error {
			cfg, err := loadConfig(c.Args().Slice())
			var findings declared.FindingsError
			if errors.As(err, &findings) && c.String("output") == "json" {
				_ = t.print(c, findings, func() {})
			}
			if err != nil {
				return err
			}
			return t.print(c, declared.FindingsError{}, func() {
				t.printf("valid: %d services, %d workspaces\n", len(cfg.Services), len(cfg.Workspaces))
			})
		},
	}
}

func (t *Tool) hashKey() *cli.Command {
	return &cli.Command{
		Name: "hash-key", Usage: "generate an API key for a workspace, or hash a given one", ArgsUsage: "WORKSPACE [KEY]",
		Action: func(_ context.Context, c *cli.Command) error {
			workspace := c.Args().First()
			if workspace == "" {
				return fault.New(fault.ConfigInvalid, "the WORKSPACE argument is missing")
			}
			key := c.Args().Get(1)
			if key == "" {
				key = workspace + "." + randomID() + randomID()
			}
			if !strings.HasPrefix(key, workspace+".") {
				return fault.New(fault.ConfigInvalid, "a key must begin with the workspace name and a dot")
			}
			t.printf("key: %s\nkey_hash: %s\n", key, declared.HashKey(key))
			return nil
		},
	}
}
