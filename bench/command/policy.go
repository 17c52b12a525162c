package command

import (
	"context"
	"fmt"
	"io"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"bilberrylug.dev/bench/generation"
	"bilberrylug.dev/bench/load"
	"bilberrylug.dev/bench/report"
)

// defaultSeed makes runs without --seed reproducible.
const defaultSeed = 20261204

func experimentFlags() []cli.Flag {
	return []cli.Flag{
		&cli.Uint64Flag{Name: "seed", Value: defaultSeed, Usage: "seed of the load"},
		&cli.StringFlag{Name: "results", Value: "results", Usage: "directory for the JSON result and the plots"},
	}
}

// experiment is a shape and the policies that are simulated under it.
type experiment struct {
	shape    load.Shape
	policies []load.Policy
}

func experiments() []experiment {
	baselines := []load.Policy{load.Predicted, load.NoReserve, load.LeastOutstanding, load.RoundRobin}
	return []experiment{
		{load.Crest(), baselines},
		{load.ShortOnly(), []load.Policy{load.Predicted}},
		{load.Stragglers(), baselines},
		{load.Unslowed(), []load.Policy{load.Predicted}},
		{load.Slowed(), baselines},
		{load.Prefixes(), []load.Policy{load.Predicted, load.NoAffinity, load.LeastOutstanding}},
	}
}

func simulateGenerations(seed uint64) []*generation.Result {
	var out []*generation.Result
	for _, sc := range []generation.Scenario{generation.Small(), generation.Large(), generation.DomainLosses(), generation.Crest()} {
		for _, p := range generation.Policies() {
			out = append(out, generation.Run(sc, p, seed))
		}
	}
	for _, sc := range generation.PaceScenarios() {
		for _, p := range generation.PacePolicies() {
			out = append(out, generation.Run(sc, p, seed))
		}
	}
	return out
}

func policy(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "policy", Usage: "compare load-balancing policies in simulated time",
		Flags: experimentFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			var results []*load.Result
			for _, d := range []load.Deployment{load.Mandi(), load.Fondazione()} {
				for _, e := range experiments() {
					for _, p := range e.policies {
						results = append(results, load.Run(d, e.shape, p, c.Uint64("seed")))
					}
				}
			}
			report.Table(out, results)
			generations := simulateGenerations(c.Uint64("seed"))
			report.GenerationTable(out, generations)
			saved := map[string]any{"load": results, "generations": generations}
			if err := report.JSON(filepath.Join(c.String("results"), "policy.json"), saved); err != nil {
				return fmt.Errorf("save policy results: %w", err)
			}
			if err := report.PlotGenerations(c.String("results"), generations); err != nil {
				return err
			}
			return report.Plot(c.String("results"), results)
		},
	}
}
