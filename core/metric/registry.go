// Package metric provides counters, gauges and histograms with labels, based on go-metrics.
//
// # Usage
//
//	reg := metric.New()
//	reg.Histogram("first_token_ms", "workspace", ws, "class", "short").Update(12)
//	reg.Write(w)
package metric

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// The usual parameters of an exponentially decaying sample: 1028 values, weighted towards the last five minutes.
const (
	reservoirSize = 1028
	decayAlpha    = 0.015
)

// Registry holds the metrics of a process. It is safe for concurrent use.
type Registry struct {
	registry metrics.Registry
}

// New returns an empty registry.
func New() *Registry { return &Registry{metrics.NewRegistry()} }

// Counter returns the counter with the given name and labels, which are alternating keys and values.
func (r *Registry) Counter(name string, labels ...string) metrics.Counter {
	return metrics.GetOrRegisterCounter(fullName(name, labels), r.registry)
}

// Gauge returns the gauge with the given name and labels.
func (r *Registry) Gauge(name string, labels ...string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(fullName(name, labels), r.registry)
}

// Histogram returns the histogram with the given name and labels. If another kind of metric has that name, it returns one
// that discards its updates.
func (r *Registry) Histogram(name string, labels ...string) metrics.Histogram {
	sample := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayAlpha))
	}
	h, ok := r.registry.GetOrRegister(fullName(name, labels), sample).(metrics.Histogram)
	if !ok {
		return metrics.NilHistogram{}
	}
	return h
}

func fullName(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	pairs := make([]string, 0, len(labels)/2)
	for i := 0; i+1 < len(labels); i += 2 {
		pairs = append(pairs, fmt.Sprintf("%s=%q", labels[i], labels[i+1]))
	}
	return name + "{" + strings.Join(pairs, ",") + "}"
}

type line struct {
	name  string
	value string
}

// Write writes all metrics as text, one per line, sorted by name and prefixed with bilberrylug_. A histogram is written as
// its count, mean, quantiles and maximum.
func (r *Registry) Write(w io.Writer) {
	var lines []line
	r.registry.Each(func(name string, m any) { lines = append(lines, render(name, m)...) })
	slices.SortFunc(lines, func(a, b line) int { return cmp.Compare(a.name, b.name) })
	for _, l := range lines {
		_, _ = fmt.Fprintf(w, "bilberrylug_%s %s\n", l.name, l.value)
	}
}

func render(name string, m any) []line {
	switch m := m.(type) {
	case metrics.Counter:
		return []line{{name, fmt.Sprint(m.Count())}}
	case metrics.Gauge:
		return []line{{name, fmt.Sprint(m.Value())}}
	case metrics.Histogram:
		return renderHistogram(name, m.Snapshot())
	}
	return nil
}

func renderHistogram(name string, h metrics.Histogram) []line {
	base, labels, labelled := strings.Cut(name, "{")
	suffix := ""
	if labelled {
		suffix = "{" + labels
	}
	out := []line{{base + "_count" + suffix, fmt.Sprint(h.Count())}, {base + "_mean" + suffix, fmt.Sprintf("%.3f", h.Mean())}}
	for _, q := range []float64{0.5, 0.95, 0.99} {
		out = append(out, line{fmt.Sprintf("%s_p%02.0f%s", base, q*100, suffix), fmt.Sprintf("%.3f", h.Percentile(q))})
	}
	return append(out, line{base + "_max" + suffix, fmt.Sprint(h.Max())})
}
