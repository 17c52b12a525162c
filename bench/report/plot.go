package report

import (
	"fmt"
	"image/color"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"bilberrylug.dev/bench/dissemination"
	"bilberrylug.dev/bench/generation"
	"bilberrylug.dev/bench/load"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 16
)

// bar is one bar of a chart.
type bar struct {
	name  string
	value float64
}

// Plot writes a bar chart for each deployment and shape to DIR/DEPLOYMENT-SHAPE.png: the 99th percentile of the completion
// time of short work by policy.
func Plot(dir string, results []*load.Result) error {
	groups := make(map[string][]bar)
	for _, r := range results {
		name := r.Deployment + "-" + r.Shape
		groups[name] = append(groups[name], bar{string(r.Policy), r.ShortP99})
	}
	return plotGroups(dir, groups, ": short work, 99th percentile", "ms")
}

// PlotGenerations writes a bar chart for each scenario to DIR/generations-SCENARIO.png: the mean time of a stream by policy.
func PlotGenerations(dir string, results []*generation.Result) error {
	groups := make(map[string][]bar)
	for _, r := range results {
		name := "generations-" + strings.ReplaceAll(r.Scenario, " ", "-")
		groups[name] = append(groups[name], bar{string(r.Policy), r.TookMean.Seconds()})
	}
	return plotGroups(dir, groups, ": mean time of a stream", "s")
}

// PlotDissemination writes line charts over the number of routers to DIR: the time until a change is active everywhere, and
// the bytes that a router sends and receives.
func PlotDissemination(dir string, results []*dissemination.Result) error {
	slowest := make(map[string]plotter.XYs)
	bytes := make(map[string]plotter.XYs)
	for _, r := range results {
		name := string(r.Policy) + ", " + r.Scenario
		slowest[name] = append(slowest[name], plotter.XY{X: float64(r.Routers), Y: r.Slowest().Seconds()})
		bytes[name] = append(bytes[name], plotter.XY{X: float64(r.Routers), Y: r.MeanBytes / 1000})
	}
	if err := plotLines(filepath.Join(dir, "dissemination-time.png"), "change active at all routers", "s", slowest); err != nil {
		return err
	}
	return plotLines(filepath.Join(dir, "dissemination-bytes.png"), "bytes of a router, both directions", "kB/s", bytes)
}

func plotGroups(dir string, groups map[string][]bar, title, unit string) error {
	for name, bars := range groups {
		if err := plotBars(filepath.Join(dir, name+".png"), name+title, unit, bars); err != nil {
			return err
		}
	}
	return nil
}

func plotBars(path, title, unit string, list []bar) error {
	p := plot.New()
	p.Title.Text = title
	p.Y.Label.Text = unit
	var values plotter.Values
	var names []string
	for _, b := range list {
		values = append(values, b.value)
		names = append(names, b.name)
	}
	bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
	if err != nil {
		return fmt.Errorf("plot %s: %w", title, err)
	}
	bars.Color = color.Gray{96}
	p.Add(bars)
	p.NominalX(names...)
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save %s: %w", path, err)
	}
	return nil
}

func plotLines(path, title, unit string, lines map[string]plotter.XYs) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "routers"
	p.Y.Label.Text = unit
	p.Legend.Top = true
	var args []any
	for name, points := range lines {
		args = append(args, name, points)
	}
	if err := plotutil.AddLinePoints(p, args...); err != nil {
		return fmt.Errorf("plot %s: %w", title, err)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return fmt.Errorf("save %s: %w", path, err)
	}
	return nil
}
