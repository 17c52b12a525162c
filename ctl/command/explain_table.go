package command

import (
	"cmp"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"bilberrylug.dev/core/explain"
)

// printReport prints a report as lines on the request and a table of the upstreams, in the order of the report: the choice
// first and the others by cost.
func (t *Tool) printReport(r *explain.Report) {
	t.printf("router %s, configuration %d\n", r.Router, r.ConfigVersion)
	if r.Route != "" {
		t.printf("route %s (%s), service %s, workspace %s, rank %d\n", r.Route, r.Kind, r.Service, cmp.Or(string(r.Workspace), "-"), r.Rank)
	}
	for _, s := range r.Split {
		t.printf("  %.0f%% of the requests go to service %s\n", 100*s.Share, s.Service)
	}
	t.printf("%s\n", outcomeText(r))
	if l := r.Limiter; l != nil {
		t.printf("concurrency limit %.1f: %d running, %d waiting, mean call time %s\n", l.Limit, l.Running, l.Waiting, duration(l.MeanCallTimeMS))
	}
	if r.CachedAt != "" {
		t.printf("the prompt is cached at %s\n", r.CachedAt)
	}
	if len(r.Upstreams) > 0 {
		t.printUpstreams(r)
	}
}

func outcomeText(r *explain.Report) string {
	wait := ""
	if r.WaitMS > 0 {
		wait = fmt.Sprintf(", after a wait of about %s %s", duration(r.WaitMS), r.WaitReason)
	}
	trial := ""
	if r.QuarantineTrial {
		trial = ", as the trial of a quarantined prompt part"
	}
	if f := r.Fault; f != nil {
		return fmt.Sprintf("refused with %s, status %d, %s: %s (%s)%s", f.Number, f.Status, retryAfter(f), f.Title, cmp.Or(f.Detail, string(f.Code)), wait)
	}
	return fmt.Sprintf("sent to %s%s%s", r.Choice, wait, trial)
}

func retryAfter(f *explain.Fault) string {
	switch {
	case f.RetryAfterMS == 0:
		return "no Retry-After"
	case f.RetryAfterMaxMS > f.RetryAfterMS:
		return "Retry-After " + duration(f.RetryAfterMS) + " to " + duration(f.RetryAfterMaxMS)
	}
	return "Retry-After " + duration(f.RetryAfterMS)
}

func (t *Tool) printUpstreams(r *explain.Report) {
	w := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	generation := r.CostUnit == "ms"
	work := "OWN CALLS\tOTHERS'\tREPORTED BUSY"
	if generation {
		work = "FIRST EVENT\tFITS\tOWN RUN/PENDING/MEMORY\tOTHERS'"
	}
	_, _ = fmt.Fprintf(w, "\tUPSTREAM\tDOMAIN\tSTATE\tCHANCE\tCOST (%s)\t%s\tREPORTS/AGE\tSLOWNESS\tLIMIT\tREASON\n", r.CostUnit, work)
	for _, u := range r.Upstreams {
		mark := ""
		if u.Chosen {
			mark = "*"
		}
		cells := callCells(u)
		if generation {
			cells = generationCells(u)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.0f%%\t%s\t%s\t%d/%s\t%.2f\t%s\t%s\n", mark, u.ID, u.FailureDomain, u.State, 100*u.Chance,
			number(u.Cost), strings.Join(cells, "\t"), u.Others.Routers, duration(u.Others.OldestAgeMS), u.Slowness, limitText(u.Limit), reasonText(u))
	}
	_ = w.Flush()
}

func generationCells(u explain.Upstream) []string {
	fits := "-"
	if u.Fits != nil {
		fits = map[bool]string{true: "yes", false: "no"}[*u.Fits]
	}
	return []string{number(u.FirstEventMS), fits, workText(u.Own), workText(u.Others.Work)}
}

func workText(w explain.Work) string {
	return fmt.Sprintf("%d/%d/%d", w.Running, w.PendingPromptTokens, w.MemoryTokens)
}

func callCells(u explain.Upstream) []string {
	reported := "-"
	if l := u.Reported; l != nil {
		reported = fmt.Sprintf("%d x%.2f (%s ago)", l.Busy, l.Slowness, duration(l.AgeMS))
	}
	return []string{fmt.Sprint(u.Own.Calls), fmt.Sprint(u.Others.Calls), reported}
}

func limitText(l explain.Limit) string {
	text := "-"
	if l.PerSecond > 0 || l.Closed {
		text = fmt.Sprintf("%.2f/s of %.2f/s", l.OwnPerSecond, l.PerSecond)
	}
	switch {
	case l.Closed:
		text += ", nothing now"
	case l.DelayMS > 0:
		text += ", in " + duration(l.DelayMS)
	}
	return text
}

func reasonText(u explain.Upstream) string {
	if u.StateAgeMS == 0 {
		return u.Reason
	}
	return fmt.Sprintf("%s (%s ago)", u.Reason, duration(u.StateAgeMS))
}

func number(v *float64) string {
	if v == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f", *v)
}

func duration(ms float64) string {
	d := time.Duration(ms * float64(time.Millisecond))
	if d >= time.Second {
		return d.Round(100 * time.Millisecond).String()
	}
	return d.Round(time.Millisecond).String()
}
