package knownred

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
)

// ErrNotGood is returned if something failed that is not listed, or if a listed test was not run.
var ErrNotGood = errors.New("the tests failed beyond the list of known failures")

// ErrNoGoTest is returned for a command that is not go test.
var ErrNoGoTest = errors.New("the command does not begin with \"go test\"")

// Options are the parameters of [Run].
type Options struct {
	Entries []Entry
	// Command is a go test command without -json.
	Command []string
	// Out receives what go test prints, and the verdict. Err receives its standard error.
	Out, Err io.Writer
}

// Run runs the command and prints the verdict. The error is nil only for a good one.
func Run(ctx context.Context, o Options) error {
	if len(o.Command) < 2 || o.Command[0] != "go" || o.Command[1] != "test" {
		return ErrNoGoTest
	}
	dir, err := os.MkdirTemp("", "suite-reports")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	packages := Packages{}
	exitCode, err := runTests(ctx, o, dir, packages)
	if err != nil {
		return err
	}
	suites, err := readSuites(dir)
	if err != nil {
		return err
	}
	v := Judge(o.Entries, packages, suites, exitCode)
	if err := v.Write(o.Out); err != nil {
		return err
	}
	if !v.Good() {
		return ErrNotGood
	}
	return nil
}

func runTests(ctx context.Context, o Options, dir string, packages Packages) (exitCode int, err error) {
	args := slices.Insert(slices.Clone(o.Command[1:]), 1, "-json")
	cmd := exec.CommandContext(ctx, o.Command[0], args...)
	cmd.Env = append(os.Environ(), ReportsVariable+"="+dir)
	cmd.Stderr = o.Err
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return 0, err
	}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	if err := packages.Read(stdout, o.Out); err != nil {
		return 0, errors.Join(fmt.Errorf("output of go test: %w", err), cmd.Cancel(), cmd.Wait())
	}
	err = cmd.Wait()
	if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
		return exit.ExitCode(), nil
	}
	return 0, err
}
