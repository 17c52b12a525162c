package generation

import (
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// stepTime is the duration of a decoding step, stepTimePerRun is added to it for each run that decodes. Prompts are read in
	// chunks of chunkTokens between the steps, at prefillPerMs tokens a millisecond.
	stepTime       = 6550 * time.Microsecond
	stepTimePerRun = 165 * time.Microsecond
	chunkTokens    = 125
	prefillPerMs   = 5
)

// engine is a model engine with continuous batching.
type engine struct {
	*simulation
	id     ids.VM
	domain ids.FailureDomain
	// slowness is the factor by which noisy neighbours slow the engine down.
	slowness float64
	runs     []*run
	copies   map[*request]int
	stepping bool
	// incarnation is incremented when the engine is lost.
	incarnation int
	down        bool
	// backAt is when the engine last came back, promptsRead the number of prompts that it has read since.
	backAt      time.Time
	promptsRead int
}

// run is a request at an engine.
type run struct {
	request *request
	router  *router
	engine  *engine
	// prefill is the number of prompt tokens that are still to be read.
	prefill int
	// resumed is set if the run goes on from a copy of the KV cache.
	resumed bool
	started bool
	release func()
	first   func()
}

// add starts a run and the engine's steps.
func (e *engine) add(r *run) {
	if e.down || len(e.runs) >= e.scenario.Slots {
		e.After(networkDelay, func() { r.router.failed(r, !e.down) })
		return
	}
	if r.resumed {
		// An engine reads what a copy lacks before the prompts that wait.
		e.runs = slices.Insert(e.runs, 0, r)
	} else {
		e.runs = append(e.runs, r)
	}
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

// step processes one chunk of the oldest prompt and one token of each run that decodes.
func (e *engine) step() {
	var duration time.Duration
	decoding := 0
	var reading *run
	for _, r := range e.runs {
		if r.prefill == 0 {
			decoding++
		} else if reading == nil {
			reading = r
		}
	}
	if decoding == 0 && reading == nil {
		e.stepping = false
		return
	}
	if decoding > 0 {
		duration = stepTime + time.Duration(decoding)*stepTimePerRun
	}
	chunk := 0
	if reading != nil {
		chunk = min(chunkTokens, reading.prefill)
		duration += time.Duration(chunk) * time.Millisecond / prefillPerMs
	}
	incarnation := e.incarnation
	e.After(time.Duration(float64(duration)*e.slowness*e.warming()), func() {
		if e.incarnation != incarnation {
			return
		}
		for _, r := range slices.Clone(e.runs) {
			if r.prefill == 0 {
				r.token()
			}
		}
		if reading != nil {
			e.read(reading, chunk)
		}
		e.step()
	})
}

// token produces one token of a run.
func (r *run) token() {
	q := r.request
	if !r.started {
		r.started = true
		r.first()
	}
	q.produced++
	if q.produced%eventTokens != 0 && q.produced < q.output {
		return
	}
	now := r.engine.Now()
	if q.firstAt.IsZero() {
		q.firstAt = now
	} else {
		q.longestPause = max(q.longestPause, now.Sub(q.lastAt))
	}
	q.lastAt = now
	if q.produced >= q.output {
		r.engine.remove(r)
		q.end(now)
	}
}

func (e *engine) remove(r *run) {
	e.runs = slices.DeleteFunc(e.runs, func(other *run) bool { return other == r })
	r.release()
}

// lose ends all runs of the engine and keeps it down for a time. The routers learn of it after detectionTime.
func (e *engine) lose(duration time.Duration) {
	lost := e.runs
	e.runs = nil
	e.incarnation++
	e.stepping = false
	e.down = true
	clear(e.copies)
	for _, r := range lost {
		r.release()
		e.After(detectionTime, func() { r.router.failed(r, false) })
	}
	e.After(detectionTime, func() { e.lostKnown = append(e.lostKnown, e.id) })
	e.After(duration, func() { e.down = false })
	e.After(duration+registrationTime, func() {
		e.lostKnown = slices.DeleteFunc(e.lostKnown, func(id ids.VM) bool { return id == e.id })
		e.comeBack()
	})
}
