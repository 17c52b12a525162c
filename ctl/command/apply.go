package command

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/ctl/fleetstatus"
)

// defaultWait is the default of --timeout. waitPollInterval is the time between two queries of the routers.
const (
	defaultWait      = 10 * time.Second
	waitPollInterval = 200 * time.Millisecond
)

// applyResult is the output of apply, drain and undrain. Behind lists the live VMs with an older revision and the routers
// that did not answer; Active is the number of live VMs that are not behind.
type applyResult struct {
	Revision ids.Revision `json:"revision"`
	ApplyID  string       `json:"apply_id"`
	Active   int          `json:"in_force,omitempty"`
	Behind   []string     `json:"behind,omitempty"`
	TookMS   int64        `json:"took_ms"`
}

func waitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "wait until the revision is active on every live VM"},
		&cli.DurationFlag{Name: "timeout", Value: defaultWait, Usage: "maximum time to wait"},
	}
}

func (t *Tool) apply() *cli.Command {
	flags := append(waitFlags(), &cli.Uint64Flag{Name: "base", Usage: "apply only if this is the currently accepted revision"})
	return &cli.Command{
		Name: "apply", Usage: "apply a complete set of configuration files", ArgsUsage: "FILE|DIRECTORY...", Flags: flags,
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := loadConfig(c.Args().Slice())
			if err != nil {
				return err
			}
			return t.applyChange(ctx, c, func(old *declared.Config) (*declared.Config, error) {
				cfg.Drained = old.Drained
				return cfg, nil
			})
		},
	}
}

// applyChange applies the configuration that change derives from the accepted one. With --wait, it then waits until the
// new revision is active.
func (t *Tool) applyChange(ctx context.Context, c *cli.Command, change func(old *declared.Config) (*declared.Config, error)) error {
	began := t.clock.Now()
	applier := t.applier(c)
	current, err := applier.Current(ctx)
	if err != nil {
		return err
	}
	if base := ids.Revision(c.Uint64("base")); base > 0 && base != current.Head.Revision {
		return fault.New(fault.ApplyConflict, "revision %d was accepted from %s", current.Head.Revision, current.Head.Operator)
	}
	next, err := change(current.Config)
	if err != nil {
		return err
	}
	head, err := applier.Apply(ctx, current, next, c.String("operator"))
	if err != nil {
		return err
	}
	result := applyResult{Revision: head.Revision, ApplyID: head.ApplyID}
	if c.Bool("wait") {
		t.waitActive(ctx, c, &result)
	}
	result.TookMS = t.clock.Since(began).Milliseconds()
	if err := t.print(c, result, func() { t.printApplied(result) }); err != nil {
		return err
	}
	if len(result.Behind) > 0 {
		return &exitError{ExitNotActive, fmt.Sprintf("revision %d is accepted, but not yet active on %v; check them with bilberrylug status", result.Revision, result.Behind)}
	}
	return nil
}

func (t *Tool) printApplied(r applyResult) {
	t.printf("revision %d accepted (apply id %s)\n", r.Revision, r.ApplyID)
	if r.Active > 0 {
		t.printf("in force on %d VMs, %d behind, after %d ms\n", r.Active, len(r.Behind), r.TookMS)
	}
}

// waitActive polls the routers until every live VM has the revision active or the timeout expires.
func (t *Tool) waitActive(ctx context.Context, c *cli.Command, r *applyResult) {
	deadline := t.clock.Now().Add(c.Duration("timeout"))
	for {
		fleet := fleetstatus.Query(ctx, c.StringSlice("router"))
		r.Behind = fleet.Behind(uint64(r.Revision))
		r.Behind = append(r.Behind, fleet.Unanswered...)
		r.Active = fleet.Active(uint64(r.Revision))
		if len(r.Behind) == 0 || !t.clock.Now().Before(deadline) {
			return
		}
		t.clock.Sleep(waitPollInterval)
	}
}

func (t *Tool) drain() *cli.Command {
	return t.drainCommand("drain", "take a VM out of service by applying a new revision", func(drained []ids.VM, vm ids.VM) []ids.VM {
		if slices.Contains(drained, vm) {
			return drained
		}
		return append(slices.Clone(drained), vm)
	})
}

func (t *Tool) undrain() *cli.Command {
	return t.drainCommand("undrain", "return a drained VM to service by applying a new revision", func(drained []ids.VM, vm ids.VM) []ids.VM {
		return slices.DeleteFunc(slices.Clone(drained), func(other ids.VM) bool { return other == vm })
	})
}

func (t *Tool) drainCommand(name, usage string, change func([]ids.VM, ids.VM) []ids.VM) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "VM", Flags: waitFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			vm := ids.VM(c.Args().First())
			if vm == "" {
				return fault.New(fault.ConfigInvalid, "the VM argument is missing")
			}
			return t.applyChange(ctx, c, func(old *declared.Config) (*declared.Config, error) {
				next := *old
				next.Drained = change(old.Drained, vm)
				return &next, nil
			})
		},
	}
}
