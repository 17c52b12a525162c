package generation

import (
	"slices"
	"time"
)

// Result is the outcome of a run.
type Result struct {
	Scenario string
	Policy   Policy
	Requests int
	// InTime is the share of requests that were answered whole, with their first event and all pauses in time.
	InTime float64
	// FirstP50 and so on are percentiles of the time to the first event, TookMean and so on of the time to the last one.
	FirstP50, FirstP90, FirstP99 time.Duration
	TookMean, TookP90            time.Duration
	// Alone is the share of runs that were placed on an engine without another one, Colliding the share of those placed on
	// an engine at which another prompt is being read.
	Alone, Colliding float64
	// Lost is the share of requests with a pause that is too long, Refused the number of runs that an engine refused.
	Lost    float64
	Refused int
	// Back is the share of placements on engines that had come back lately, BackP50 and BackP90 are percentiles of the time to the first
	// event there.
	Back             float64
	BackP50, BackP90 time.Duration

	requests    []*request
	firstEvents []time.Duration
	backFirst   []time.Duration
	back        int
	placements  int
	alone       int
	colliding   int
}

// count counts a placement by what runs at its engine.
func (r *Result) count(e *engine, placed *run) {
	r.placements++
	if e.isBack(e.Now()) {
		r.back++
	}
	if len(e.runs) == 0 {
		r.alone++
	}
	if placed.prefill > 1 && slices.ContainsFunc(e.runs, func(other *run) bool { return other.prefill > 0 }) {
		r.colliding++
	}
}

func (r *Result) summarize() {
	var first, took []time.Duration
	var sum time.Duration
	inTime, lost := 0, 0
	for _, q := range r.requests {
		if q.inTime() {
			inTime++
		}
		if q.longestPause > maxPause {
			lost++
		}
		if !q.endedAt.IsZero() {
			first = append(first, q.firstAt.Sub(q.arrivedAt))
			took = append(took, q.endedAt.Sub(q.arrivedAt))
			sum += q.endedAt.Sub(q.arrivedAt)
		}
	}
	n := max(1, len(r.requests))
	r.Requests = len(r.requests)
	r.InTime = float64(inTime) / float64(n)
	r.Lost = float64(lost) / float64(n)
	r.TookMean = sum / time.Duration(max(1, len(took)))
	r.FirstP50, r.FirstP90, r.FirstP99 = percentile(first, 0.5), percentile(first, 0.9), percentile(first, 0.99)
	r.TookP90 = percentile(took, 0.9)
	r.Back = float64(r.back) / float64(max(1, r.placements))
	r.BackP50, r.BackP90 = percentile(r.backFirst, 0.5), percentile(r.backFirst, 0.9)
	r.Alone = float64(r.alone) / float64(max(1, r.placements))
	r.Colliding = float64(r.colliding) / float64(max(1, r.placements))
}

func percentile(list []time.Duration, p float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[min(len(list)-1, int(p*float64(len(list))))]
}
