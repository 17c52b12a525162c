package load

import (
	"slices"
	"time"

	"bilberrylug.dev/agent/queue"
)

// Result holds what the callers of one run observed. Times are in milliseconds: LongP50 and similar fields are quantiles of
// the completion times of long, short and all jobs, those named First of the time to the first token, and GapP95 of the time
// between tokens.
type Result struct {
	Deployment        string  `json:"deployment"`
	Shape             string  `json:"shape"`
	Policy            Policy  `json:"policy"`
	Requests          int     `json:"requests"`
	Refused           int     `json:"refused"`
	Completed         int     `json:"completed"`
	Moved             int     `json:"moved"`
	Preempted         int     `json:"preempted"`
	LongP50           float64 `json:"long_p50_ms"`
	LongP99           float64 `json:"long_p99_ms"`
	FirstP50          float64 `json:"first_token_p50_ms"`
	FirstP95          float64 `json:"first_token_p95_ms"`
	FirstP99          float64 `json:"first_token_p99_ms"`
	ShortP50          float64 `json:"short_p50_ms"`
	ShortP99          float64 `json:"short_p99_ms"`
	ShortFirstP99     float64 `json:"short_first_token_p99_ms"`
	AllP99            float64 `json:"all_p99_ms"`
	GapP95            float64 `json:"token_gap_p95_ms"`
	FirstWithinTarget int     `json:"first_token_in_500_ms"`
	CacheHits         int     `json:"cache_hits"`
	CacheMisses       int     `json:"cache_misses"`

	first      []time.Duration
	shortFirst []time.Duration
	short      []time.Duration
	all        []time.Duration
	long       []time.Duration
	gaps       []time.Duration
}

// firstTokenTarget is the target for the time to the first token.
const firstTokenTarget = 500 * time.Millisecond

func (r *Result) recordFirstToken(j *job, d time.Duration) {
	r.first = append(r.first, d)
	if j.class == queue.Short {
		r.shortFirst = append(r.shortFirst, d)
	}
	if d <= firstTokenTarget {
		r.FirstWithinTarget++
	}
}

func (r *Result) recordGap(d time.Duration, n int) {
	for range n {
		r.gaps = append(r.gaps, d)
	}
}

func (r *Result) recordCompletion(j *job, d time.Duration) {
	r.Completed++
	r.all = append(r.all, d)
	if j.class == queue.Short {
		r.short = append(r.short, d)
		return
	}
	r.long = append(r.long, d)
}

func (r *Result) computeQuantiles() {
	r.FirstP50, r.FirstP95, r.FirstP99 = Quantile(r.first, 0.5), Quantile(r.first, 0.95), Quantile(r.first, 0.99)
	r.ShortP50, r.ShortP99 = Quantile(r.short, 0.5), Quantile(r.short, 0.99)
	r.ShortFirstP99 = Quantile(r.shortFirst, 0.99)
	r.LongP50, r.LongP99 = Quantile(r.long, 0.5), Quantile(r.long, 0.99)
	r.AllP99 = Quantile(r.all, 0.99)
	r.GapP95 = Quantile(r.gaps, 0.95)
}

// Quantile returns the q-quantile of d in milliseconds, or zero if d is empty.
func Quantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	at := min(int(q*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[at].Microseconds()) / 1000
}
