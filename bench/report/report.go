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
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"bilberrylug.dev/bench/dissemination"
	"bilberrylug.dev/bench/generation"
	"bilberrylug.dev/bench/load"
)

// Table writes the results as a table, one per line. Times are in milliseconds.
func Table(out io.Writer, results []*load.Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "site\tshape\tpolicy\trequests\trefused\tmoved\tpreempted\tfirst p50\tfirst p95\tfirst<0.5s\tshort p50\tshort p99\tshort first p99\tlong p50\tlong p99\tall p99\tgap p95\tcache hits\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%.1f%%\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.1f\t%s\t\n",
			r.Deployment, r.Shape, r.Policy, r.Requests, r.Refused, r.Moved, r.Preempted, r.FirstP50, r.FirstP95, 100*float64(r.FirstWithinTarget)/float64(max(r.Requests, 1)),
			r.ShortP50, r.ShortP99, r.ShortFirstP99, r.LongP50, r.LongP99, r.AllP99, r.GapP95, hitRate(r))
	}
	_ = w.Flush()
}

// DisseminationTable writes the results of experiments on the dissemination of changes, one per line.
func DisseminationTable(out io.Writer, results []*dissemination.Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "scenario\tpolicy\trouters\tslowest s\tnever\tkB/s mean\tkB/s most\tremote kB/s\tCPU\tlate events\tunanswered\tof a value\t")
	for _, r := range results {
		never := 0
		for _, v := range r.Versions {
			never = max(never, v.Missing)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%d\t%.0f\t%.0f\t%.0f\t%.1f%%\t%d\t%d\t%.2f\t\n",
			r.Scenario, r.Policy, r.Routers, r.Slowest().Seconds(), never, r.MeanBytes/1000, r.MaxBytes/1000, r.RemoteBytes/1000,
			100*r.CPUShare, r.LateEvents, r.Unanswered, r.MostReceived)
	}
	_ = w.Flush()
}

// GenerationTable writes the results of simulated generations, one per line. Times are in seconds.
func GenerationTable(out io.Writer, results []*generation.Result) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "scenario\tpolicy\trequests\tin time\tlost\trefused\tfirst p50\tfirst p90\tfirst p99\ttook mean\ttook p90\talone\tmeeting\tat back\tback first p50\tback first p90\t")
	for _, r := range results {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.1f%%\t%.1f%%\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f%%\t%.0f%%\t%.1f%%\t%.2f\t%.2f\t\n",
			r.Scenario, r.Policy, r.Requests, 100*r.InTime, 100*r.Lost, r.Refused, r.FirstP50.Seconds(), r.FirstP90.Seconds(),
			r.FirstP99.Seconds(), r.TookMean.Seconds(), r.TookP90.Seconds(), 100*r.Alone, 100*r.Colliding,
			100*r.Back, r.BackP50.Seconds(), r.BackP90.Seconds())
	}
	_ = w.Flush()
}

// hitRate formats the share of prefills that hit the prefix cache.
func hitRate(r *load.Result) string {
	if r.CacheHits+r.CacheMisses == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f%%", 100*float64(r.CacheHits)/float64(r.CacheHits+r.CacheMisses))
}

// JSON writes v to a file as indented JSON. It creates the file's directory if needed.
func JSON(path string, v any) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o750); err != nil {
		return fmt.Errorf("create result directory: %w", err)
	}
	body, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if err := os.WriteFile(path, append(body, '\n'), 0o600); err != nil {
		return fmt.Errorf("write result: %w", err)
	}
	return nil
}
