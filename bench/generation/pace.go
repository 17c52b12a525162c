package generation

import (
	"math/rand/v2"
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/pace"
	"bilberrylug.dev/core/placement"
)

// The policies for engines that have just come back, beside Production, which has none. Windows is that of package pace. TimedStart ranks
// an engine behind others for a part of the requests that falls to zero within timedStart.
const (
	Windows    Policy = "windows"
	TimedStart Policy = "slow start by time"
)

// PacePolicies returns the policies for engines that have just come back.
func PacePolicies() []Policy { return []Policy{Production, TimedStart, Windows} }

const (
	timedStart = 10 * time.Second
	// backTime is the time after an engine's return over which its part of the load is measured.
	backTime = 6 * time.Second
)

// Warming describes an engine that has just come back: it works Factor times slower until it has read Prompts prompts, or if that is zero for
// the time For.
type Warming struct {
	Factor  float64
	Prompts int
	For     time.Duration
}

// warming returns how much slower the engine works because it has just come back.
func (e *engine) warming() float64 {
	w := e.scenario.Warming
	if e.backAt.IsZero() || w.Prompts > 0 && e.promptsRead >= w.Prompts || w.Prompts == 0 && e.Now().Sub(e.backAt) >= w.For {
		return 1
	}
	return w.Factor
}

// read processes a part of a run's prompt.
func (e *engine) read(r *run, tokens int) {
	r.prefill -= tokens
	if r.prefill == 0 {
		e.promptsRead++
	}
}

// isBack reports whether an engine has come back lately.
func (e *engine) isBack(now time.Time) bool {
	return !e.backAt.IsZero() && now.Sub(e.backAt) < backTime
}

func (e *engine) start() pace.Start { return pace.Start{ID: e.id, Started: int64(e.incarnation)} }

// comeBack records at all routers that the engine has registered again.
func (e *engine) comeBack() {
	e.backAt, e.promptsRead = e.Now(), 0
	for _, r := range e.routers {
		r.windows.Begin(e.start(), pace.Registered, e.Now())
	}
}

// holdBack marks the candidates that should come after others because they have just come back.
func (r *router) holdBack(list []placement.Candidate) {
	now := r.Now()
	switch r.policy {
	case TimedStart:
		for i, c := range list {
			if e := r.byID[c.ID]; !e.backAt.IsZero() {
				list[i].WindowFull = r.draws.Float64() >= float64(now.Sub(e.backAt))/float64(timedStart)
			}
		}
	case Windows:
		loads := make([]pace.Load, len(list))
		for i, c := range list {
			own, others := r.picker.InFlight(c.ID, now)
			loads[i] = pace.Load{Start: r.byID[c.ID].start(), InFlight: own + others, Others: others, Slots: r.scenario.Slots}
		}
		share := float64(r.scenario.Routers-1) / float64(r.scenario.Routers)
		unseen := r.scenario.Rate(r.Elapsed()) * r.scenario.UpdateInterval.Seconds() * share
		r.windows.Weigh(loads, unseen, r.draws.Float64, now)
		for i, l := range loads {
			list[i].WindowFull = l.Full
		}
	case Production, OwnTime, LeastRunning, Random:
	}
}

// recordFirstEvent records the time to a run's first event against the predicted one.
func (r *router) recordFirstEvent(e *engine, took, predicted time.Duration) {
	now := r.Now()
	if predicted <= 0 {
		return
	}
	if r.scenario.Warming.Factor > 0 {
		r.picker.RecordFirstEvent(e.id, took, predicted, now)
	}
	ratio := float64(took) / float64(predicted)
	r.windows.RecordAnswer(pace.Answer{Start: e.start(), Ratio: ratio, Slow: r.picker.IsSlow(e.id, now)}, now)
	if e.isBack(now) {
		r.result.backFirst = append(r.result.backFirst, took)
	}
}

// recordRefusal records that an engine has refused a run.
func (r *router) recordRefusal(e *engine) {
	r.windows.RecordTrouble(e.start(), pace.Refused, r.Now())
}

// slowEngines returns the engines that the router reports as slow.
func (r *router) slowEngines() map[ids.VM]float64 {
	if r.scenario.Warming.Factor == 0 {
		return nil
	}
	return r.picker.SlowEngines(r.Now())
}

// loadedSite is a site of 90 engines in four failure domains behind 24 routers. With a quarter of the engines lost, most others have no room
// beside the copies of KV caches.
func loadedSite(name string, w Warming) Scenario {
	const rate = 50
	return Scenario{
		Name: name, Routers: 24, Engines: 90, Domains: 4, Slots: 16, MemoryTokens: 55_000,
		Rate: func(time.Duration) float64 { return rate }, Duration: 30 * time.Second, UpdateInterval: 50 * time.Millisecond,
		Noise: 0.05, Warming: w,
	}
}

// DomainBack is the site while some twenty engines of a failure domain come back at once from a crash.
func DomainBack(name string, w Warming) Scenario {
	s := loadedSite("domain back, "+name, w)
	s.Losses = []Loss{{At: 8 * time.Second, Domain: 0, Share: 0.9, For: 2 * time.Second}}
	return s
}

// Flapping is the site while one engine crashes every three seconds.
func Flapping(name string, w Warming) Scenario {
	s := loadedSite("one engine flaps, "+name, w)
	for at := 4 * time.Second; at < s.Duration; at += 3 * time.Second {
		s.Losses = append(s.Losses, Loss{At: at, Engine: "engine-0", For: 800 * time.Millisecond})
	}
	return s
}

// PaceScenarios returns the scenarios in which engines come back.
func PaceScenarios() []Scenario {
	var out []Scenario
	for _, w := range []struct {
		name string
		Warming
	}{
		{"warm", Warming{Factor: 1, For: 1}},
		{"slow for 4 prompts", Warming{Factor: 4, Prompts: 4}},
		{"slow for 4 s", Warming{Factor: 4, For: 4 * time.Second}},
	} {
		out = append(out, DomainBack(w.name, w.Warming), Flapping(w.name, w.Warming))
	}
	return out
}

// newRNG returns the source of the routers' draws, which leaves those of the load as they are.
func newRNG(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 4)) }
