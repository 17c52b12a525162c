// Package report writes the results of load runs as a table, as JSON and as plots.
//
// # Usage
//
//	report.Table(os.Stdout, results)
//	err := report.JSON("results/policy.json", results)
package report

import (
	"encoding/json"
	"fmt"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"bilberrylug.dev/bench/load"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = 16
)

// Table writes the results, one a line.
func Table(out io.Writer, results []*load.Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "site\tshape\tpolicy\trequests\trefused\tmoved\tpreempted\tfirst p50\tfirst p95\tfirst<0.5s\tshort p50\tshort p99\tshort first p99\tlong p50\tlong p99\tall p99\tgap p95\tcache hits\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.1f%%\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%s\t\n",
			r.Deployment, r.Shape, r.Policy, r.Requests, r.Refused, r.Moved, r.Preempted, r.FirstP50, r.FirstP95, 100*float64(r.FirstWithinTarget)/float64(max(r.Requests, 1)),
			r.ShortP50, r.ShortP99, r.ShortFirstP99, r.LongP50, r.LongP99, r.AllP99, r.GapP95, hits(r))
	}
	_ = w.Flush()
}

func hits(r *load.Result) string {
	if r.CacheHits+r.CacheMisses == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", 100*float64(r.CacheHits)/float64(r.CacheHits+r.CacheMisses))
}

// JSON writes any result to a file.
func JSON(path string, v any) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode: %w", err)
	}
	if err := os.WriteFile(path, append(body, '\n'), 0o600); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// Plot writes, for each deployment and shape, the time of short work at the 99th percentile by policy.
func Plot(dir string, results []*load.Result) error {
	groups := make(map[string][]*load.Result)
	for _, r := range results {
		name := r.Deployment + "-" + r.Shape
		groups[name] = append(groups[name], r)
	}
	for name, rows := range groups {
		if err := plotBars(filepath.Join(dir, name+".png"), name, rows); err != nil {
			return err
		}
	}
	return nil
}

func plotBars(path, title string, rows []*load.Result) error {
	p := plot.New()
	p.Title.Text = title + ": short work, 99th percentile"
	p.Y.Label.Text = "ms"
	var values plotter.Values
	var names []string
	for _, r := range rows {
		values = append(values, r.ShortP99)
		names = append(names, string(r.Policy))
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
