package command

import (
	"context"
	"fmt"
	"io"
	"path/filepath"

	"github.com/urfave/cli/v3"

	"bilberrylug.dev/bench/dissemination"
	"bilberrylug.dev/bench/report"
)

const (
	// configBytes is the size of the configurations in the experiment.
	configBytes = 350_000
	// maxPushRouters is the size of a fleet up to which the baseline is simulated: beyond it, its links carry nothing else.
	maxPushRouters = 100
)

func disseminate(out io.Writer) *cli.Command {
	return &cli.Command{
		Name: "dissemination", Usage: "compare ways to bring changes to all routers, in simulated time",
		Flags: append(experimentFlags(), &cli.IntSliceFlag{Name: "routers", Value: []int{4, 33, 100, 300}, Usage: "sizes of the fleet"}),
		Action: func(_ context.Context, c *cli.Command) error {
			var results []*dissemination.Result
			for _, n := range c.IntSlice("routers") {
				for _, sc := range []dissemination.Scenario{
					dissemination.GrowingConfig(n, configBytes, c.Uint64("seed")), dissemination.Storm(n, configBytes, c.Uint64("seed")),
				} {
					results = append(results, dissemination.Run(sc, dissemination.Pull, c.Uint64("seed")))
					if n <= maxPushRouters {
						results = append(results, dissemination.Run(sc, dissemination.Push, c.Uint64("seed")))
					}
				}
			}
			report.DisseminationTable(out, results)
			if err := report.JSON(filepath.Join(c.String("results"), "dissemination.json"), results); err != nil {
				return fmt.Errorf("save results: %w", err)
			}
			return report.PlotDissemination(c.String("results"), results)
		},
	}
}
