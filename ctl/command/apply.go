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

const (
	defaultWait = 10 * time.Second
	waitPoll    = 200 * time.Millisecond
)

// applyResult is what an apply reports.
type applyResult struct {
	Revision ids.Revision `json:"revision"`
	ApplyID  string       `json:"apply_id"`
	InForce  int          `json:"in_force,omitempty"`
	Behind   []string     `json:"behind,omitempty"`
	TookMS   int64        `json:"took_ms"`
}

func waitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: "wait", Usage: "wait until the revision is in force on every live VM"},
		&cli.DurationFlag{Name: "timeout", Value: defaultWait, Usage: "longest wait"},
	}
}

func (t *Tool) apply() *cli.Command {
	flags := append(waitFlags(), &cli.Uint64Flag{Name: "base", Usage: "apply only if this is the accepted revision"})
	return &cli.Command{
		Name: "apply", Usage: "put a whole file set in force", ArgsUsage: "FILE|DIRECTORY...", Flags: flags,
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := load(c.Args().Slice())
			if err != nil {
				return err
			}
			return t.accept(ctx, c, func(old *declared.Config) (*declared.Config, error) {
				cfg.Drained = old.Drained
				return cfg, nil
			})
		},
	}
}

// accept applies what change makes of the accepted configuration, and waits if asked to.
func (t *Tool) accept(ctx context.Context, c *cli.Command, change func(old *declared.Config) (*declared.Config, error)) error {
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
		t.await(ctx, c, &result)
	}
	result.TookMS = t.clock.Since(began).Milliseconds()
	if err := t.print(c, result, func() { t.printApplied(result) }); err != nil {
		return err
	}
	if len(result.Behind) > 0 {
		return &exitError{ExitNotActive, fmt.Sprintf("revision %d is accepted, but not yet in force on %v; check them with bilberrylug status", result.Revision, result.Behind)}
	}
	return nil
}

func (t *Tool) printApplied(r applyResult) {
	t.printf("revision %d accepted (apply id %s)\n", r.Revision, r.ApplyID)
	if r.InForce > 0 {
		t.printf("in force on %d VMs, %d behind, after %d ms\n", r.InForce, len(r.Behind), r.TookMS)
	}
}

func (t *Tool) await(ctx context.Context, c *cli.Command, r *applyResult) {
	deadline := t.clock.Now().Add(c.Duration("timeout"))
	for {
		fleet := fleetstatus.Query(ctx, c.StringSlice("router"))
		r.Behind = fleet.Behind(uint64(r.Revision))
		r.Behind = append(r.Behind, fleet.Unanswered...)
		r.InForce = len(fleet.Members) - len(fleet.Behind(uint64(r.Revision)))
		if len(r.Behind) == 0 || !t.clock.Now().Before(deadline) {
			return
		}
		t.clock.Sleep(waitPoll)
	}
}

func (t *Tool) drain() *cli.Command {
	return t.drainCommand("drain", "take a VM out of service as a new revision", func(drained []ids.VM, vm ids.VM) []ids.VM {
		if slices.Contains(drained, vm) {
			return drained
		}
		return append(slices.Clone(drained), vm)
	})
}

func (t *Tool) undrain() *cli.Command {
	return t.drainCommand("undrain", "take a drained VM back into service as a new revision", func(drained []ids.VM, vm ids.VM) []ids.VM {
		return slices.DeleteFunc(slices.Clone(drained), func(one ids.VM) bool { return one == vm })
	})
}

func (t *Tool) drainCommand(name, usage string, change func([]ids.VM, ids.VM) []ids.VM) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, ArgsUsage: "VM", Flags: waitFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			vm := ids.VM(c.Args().First())
			if vm == "" {
				return fault.New(fault.ConfigInvalid, "name the VM")
			}
			return t.accept(ctx, c, func(old *declared.Config) (*declared.Config, error) {
				next := *old
				next.Drained = change(old.Drained, vm)
				return &next, nil
			})
		},
	}
}
