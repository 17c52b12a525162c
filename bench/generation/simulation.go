// Package generation simulates routers that place generations on model engines with continuous batching.
//
// The routers' decisions are the production code; engines, state updates between routers and time are simulated, so that a
// minute of load takes a second and a run with the same seed repeats.
//
// # Usage
//
//	result := generation.Run(generation.Large(), generation.Production, 1)
package generation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrylug.dev/bench/simtime"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
)

const (
	// promptTokens is the length of a prompt, outputTokens the mean length of an answer and maxOutputTokens its limit;
	// eventTokens is the number of tokens in an event.
	promptTokens    = 5200
	outputTokens    = 560
	maxOutputTokens = 800
	outputSpread    = 0.5
	eventTokens     = 4
	// networkDelay is the time of a message between a router and an engine, or between two routers.
	networkDelay = time.Millisecond
	// detectionTime is the time until a router notices that an engine is lost, registrationTime the one until it learns that
	// the engine is back.
	detectionTime    = 200 * time.Millisecond
	registrationTime = 200 * time.Millisecond
	// retryDelay is the pause before a generation is placed again after it found no engine.
	retryDelay = 100 * time.Millisecond
	// noiseFactor is how much slower an engine is beside a noisy neighbour, noiseTime how long that lasts.
	noiseFactor = 2.5
	noiseTime   = 600 * time.Millisecond
	// targetFirstEvent and maxPause are what callers expect.
	targetFirstEvent = 4500 * time.Millisecond
	maxPause         = 700 * time.Millisecond
)

// simulation is the state of one run.
type simulation struct {
	*simtime.Scheduler
	scenario Scenario
	policy   Policy
	rng      *rand.Rand
	model    placement.EngineModel
	engines  []*engine
	byID     map[ids.VM]*engine
	routers  []*router
	result   *Result
	// lostKnown holds the engines that the routers know to be lost.
	lostKnown []ids.VM
}

// Run simulates a scenario under a policy.
func Run(sc Scenario, p Policy, seed uint64) *Result {
	model := placement.DefaultEngineModel
	model.Slots, model.MemoryTokens = sc.Slots, sc.MemoryTokens
	s := &simulation{
		Scheduler: simtime.New(), scenario: sc, policy: p, rng: rand.New(rand.NewPCG(seed, 3)), model: model,
		byID: map[ids.VM]*engine{}, result: &Result{Scenario: sc.Name, Policy: p},
	}
	for i := range sc.Engines {
		e := &engine{
			simulation: s, id: ids.VM(fmt.Sprintf("engine-%d", i)), domain: domainName(i % sc.Domains), slowness: 1, copies: map[*request]int{},
		}
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
		s.After(time.Duration(s.rng.Float64()*float64(noiseTime)), e.noise)
	}
	for i := range sc.Routers {
		s.routers = append(s.routers, newRouter(s, i))
	}
	for _, l := range sc.Losses {
		s.After(l.At, func() { s.lose(l) })
	}
	s.After(0, s.arrive)
	s.Run(sc.Duration + settleTime)
	s.result.summarize()
	return s.result
}

// settleTime is how long the simulation goes on after the last arrival.
const settleTime = 30 * time.Second

func domainName(i int) ids.FailureDomain { return ids.FailureDomain(fmt.Sprint("domain-", i)) }

func (s *simulation) lose(l Loss) {
	for _, e := range s.engines {
		if e.id == l.Engine || l.Engine == "" && e.domain == domainName(l.Domain) && s.rng.Float64() < l.Share {
			e.lose(l.For)
		}
	}
}

// noise slows the engine down from time to time.
func (e *engine) noise() {
	e.slowness = 1
	if e.rng.Float64() < e.scenario.Noise {
		e.slowness = noiseFactor
	}
	e.After(noiseTime, e.noise)
}

// arrive creates a request at a random router and schedules the next one.
func (s *simulation) arrive() {
	if s.Elapsed() > s.scenario.Duration {
		return
	}
	s.After(time.Duration(s.rng.ExpFloat64()/s.scenario.Rate(s.Elapsed())*float64(time.Second)), s.arrive)
	output := int(math.Exp(s.rng.NormFloat64()*outputSpread-outputSpread*outputSpread/2) * outputTokens)
	q := &request{simulation: s, arrivedAt: s.Now(), output: min(maxOutputTokens, max(eventTokens, output)), seed: s.rng.Uint64()}
	s.result.requests = append(s.result.requests, q)
	s.routers[s.rng.IntN(len(s.routers))].place(q)
}

// request is one generation.
type request struct {
	*simulation
	arrivedAt, firstAt, lastAt, endedAt time.Time
	longestPause                        time.Duration
	output, produced                    int
	seed                                uint64
	// copyAt is the engine that has a copy of the KV cache, or nil.
	copyAt *engine
	// placements counts the runs.
	placements int
}

func (q *request) end(now time.Time) {
	q.endedAt = now
	q.dropCopy()
}

func (q *request) dropCopy() {
	if q.copyAt != nil {
		delete(q.copyAt.copies, q)
		q.copyAt = nil
	}
}

// inTime reports whether the answer is whole and on time.
func (q *request) inTime() bool {
	return !q.endedAt.IsZero() && q.firstAt.Sub(q.arrivedAt) <= targetFirstEvent && q.longestPause <= maxPause
}

// candidates returns the engines that routers believe to be available.
func (s *simulation) candidates() []placement.Candidate {
	out := make([]placement.Candidate, 0, len(s.engines))
	for _, e := range s.engines {
		if !slices.Contains(s.lostKnown, e.id) {
			out = append(out, placement.Candidate{ID: e.id, Domain: e.domain})
		}
	}
	return out
}
