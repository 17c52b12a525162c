package command

import (
	"context"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/ctl/fleetstatus"
)

func (t *Tool) diff() *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "compare files with the accepted configuration", ArgsUsage: "FILE|DIRECTORY...",
		Action: func(ctx context.Context, c *cli.Command) error {
			cfg, err := load(c.Args().Slice())
			if err != nil {
				return err
			}
			current, err := t.applier(c).Current(ctx)
			if err != nil {
				return err
			}
			differences := declared.Diff(current.Config, cfg)
			if err := t.print(c, differences, func() { t.printDifferences(differences) }); err != nil {
				return err
			}
			if len(differences) > 0 {
				return &exitError{ExitDifferences, "the files differ from the accepted configuration; bilberrylug apply puts them in force"}
			}
			return nil
		},
	}
}

func (t *Tool) printDifferences(differences []declared.Difference) {
	for _, d := range differences {
		t.printf("%s\n", d)
	}
	if len(differences) == 0 {
		t.printf("no differences\n")
	}
}

func (t *Tool) get() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "write the accepted configuration",
		Action: func(ctx context.Context, c *cli.Command) error {
			current, err := t.applier(c).Current(ctx)
			if err != nil {
				return err
			}
			body, err := yaml.Marshal(current.Config)
			if err != nil {
				return fault.Wrap(fault.Internal, err, "encoding")
			}
			return t.print(c, current.Config, func() { t.printf("%s", body) })
		},
	}
}

func (t *Tool) history() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "list the last accepted revisions",
		Action: func(ctx context.Context, c *cli.Command) error {
			current, err := t.applier(c).Head(ctx)
			if err != nil {
				return err
			}
			rows := append([]declared.Summary{current.Head.Summary}, current.Head.History...)
			return t.print(c, rows, func() {
				for _, r := range rows {
					t.printf("%d\t%s\t%s\t%s\t%d services, %d workspaces\n",
						r.Revision, r.Time.Format("2006-01-02 15:04:05Z"), r.Operator, r.ApplyID, r.Services, r.Workspaces)
				}
			})
		},
	}
}

func (t *Tool) status() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "show every VM with its state and the revision in force there",
		Action: func(ctx context.Context, c *cli.Command) error {
			if len(c.StringSlice("router")) == 0 {
				return fault.New(fault.ConfigInvalid, "name the routers with --router")
			}
			fleet := fleetstatus.Query(ctx, c.StringSlice("router"))
			return t.print(c, fleet, func() {
				for _, m := range fleet.Members {
					t.printf("%s\t%s\t%s\t%s\t%s\trevision %d\t%s\n",
						m.VM, m.Role, m.State, m.FailureDomain, m.Service, m.Revision, strings.Join(m.Models, " "))
				}
				for _, address := range fleet.Unanswered {
					t.printf("%s\tdid not answer\n", address)
				}
			})
		},
	}
}
