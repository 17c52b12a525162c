// Package command holds the operators' commands.
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
	store "bilberrylug.dev/core/kv"
	"bilberrylug.dev/ctl/configstore"
)

// Exit codes of the commands.
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
	readsPerSecond  = 200
	writesPerSecond = 50
	applyIDBytes    = 8
)

// exitError carries an exit code other than that of its fault.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

// ExitCode returns the exit code for the error of a command.
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

// exitCodes gives the faults that have an exit code of their own.
var exitCodes = map[fault.Code]int{
	fault.ConfigInvalid:    ExitInvalid,
	fault.ApplyConflict:    ExitConflict,
	fault.StoreUnavailable: ExitUnknown,
}

// Tool is what the commands share.
type Tool struct {
	out   io.Writer
	clock clockwork.Clock
}

// New returns the command line writing to out.
func New(out io.Writer) *cli.Command {
	t := &Tool{out, clockwork.NewRealClock()}
	return &cli.Command{
		Name:  "bilberrylug",
		Usage: "declare what runs, and see what does",
		Description: "Exit codes: 0 done, 1 failed, 3 invalid configuration, 4 conflict with another operator, " +
			"5 outcome not known, 6 not in force in time, 8 differences found.",
		Writer: out,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Value: "http://127.0.0.1:7070", Sources: cli.EnvVars("BILBERRYLUG_PLATFORM"), Usage: "address of the platform's service"},
			&cli.StringSliceFlag{Name: "router", Sources: cli.EnvVars("BILBERRYLUG_ROUTERS"), Usage: "operators' address of a router; give each"},
			&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json"},
			&cli.StringFlag{Name: "operator", Value: os.Getenv("USER"), Usage: "name that the history shows"},
		},
		Commands: []*cli.Command{
			t.validate(), t.diff(), t.apply(), t.get(), t.history(), t.status(), t.drain(), t.undrain(), t.hashKey(),
		},
	}
}

func (t *Tool) applier(c *cli.Command) *configstore.Applier {
	calls := store.NewCallLimiter(readsPerSecond, writesPerSecond, nil)
	return configstore.New(store.New(store.Options{Address: c.String("platform"), Limiter: calls}), t.clock, newApplyID)
}

func newApplyID() string {
	b := make([]byte, applyIDBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// print writes a result as JSON or as text.
func (t *Tool) print(c *cli.Command, v any, text func()) error {
	if c.String("output") != "json" {
		text()
		return nil
	}
	e := json.NewEncoder(t.out)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	return nil
}

func (t *Tool) printf(format string, args ...any) { _, _ = fmt.Fprintf(t.out, format, args...) }

// readFiles reads the named files, and all .yaml files of named directories.
func readFiles(paths []string) ([]declared.File, error) {
	if len(paths) == 0 {
		return nil, fault.New(fault.ConfigInvalid, "name the files or directories to read")
	}
	var names []string
	for _, p := range paths {
		found, err := expand(p)
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

func expand(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, fault.Wrap(fault.ConfigInvalid, err, "%s", path)
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	names, err := filepath.Glob(filepath.Join(path, "*.yaml"))
	if err != nil || len(names) == 0 {
		return nil, fault.New(fault.ConfigInvalid, "%s holds no .yaml files", path)
	}
	slices.Sort(names)
	return names, nil
}

func load(paths []string) (*declared.Config, error) {
	files, err := readFiles(paths)
	if err != nil {
		return nil, err
	}
	return declared.Parse(files)
}

func (t *Tool) validate() *cli.Command {
	return &cli.Command{
		Name: "validate", Usage: "check files without applying them", ArgsUsage: "FILE|DIRECTORY...",
		Action: func(_ context.Context, c *cli.Command) error {
			cfg, err := load(c.Args().Slice())
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
		Name: "hash-key", Usage: "mint an API key for a workspace, or hash a given one", ArgsUsage: "WORKSPACE [KEY]",
		Action: func(_ context.Context, c *cli.Command) error {
			workspace := c.Args().First()
			if workspace == "" {
				return fault.New(fault.ConfigInvalid, "name the workspace")
			}
			key := c.Args().Get(1)
			if key == "" {
				key = workspace + "." + newApplyID() + newApplyID()
			}
			if !strings.HasPrefix(key, workspace+".") {
				return fault.New(fault.ConfigInvalid, "a key begins with the workspace's name and a dot")
			}
			t.printf("key: %s\nkey_hash: %s\n", key, declared.HashKey(key))
			return nil
		},
	}
}
