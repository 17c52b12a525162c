package quarantine_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/quarantine"
)

const (
	stepTime = 50 * time.Millisecond
	// maxPrefill is the longest time from sending a prompt to the start of its answer, proofTime the time from there to the
	// events that prove it sound. A poison pill crashes the engine before. A crash is evidence against all prompts that it finds there
	// without such a proof, those that still wait included.
	maxPrefill   = 1500 * time.Millisecond
	proofTime    = 150 * time.Millisecond
	runTime      = 2 * time.Second
	restartTime  = 3 * time.Second
	maxAttempts  = 5
	reportPeriod = 500 * time.Millisecond
	maxTransport = 300 * time.Millisecond
)

// prompt is the prompt of a request.
type prompt struct {
	request ids.Request
	caller  int
	parts   []quarantine.Part
	bad     bool
}

// policy decides which prompts are sent to engines.
type policy interface {
	allow(router int, p prompt, now time.Time) bool
	recordCrash(router int, p prompt, engine ids.VM, now time.Time)
	recordSound(router int, p prompt, now time.Time)
	// save keeps what the routers know, and restart replaces all routers by new ones, which know just that.
	save(now time.Time)
	restart(now time.Time)
	// report returns what a router tells the others, which merge takes over.
	report(router int, now time.Time) any
	merge(from, to int, report any, now time.Time)
}

// load is the traffic of a simulated day and its faults.
type load struct {
	seed                         uint64
	routers, engines, domains    int
	soundPerSecond, badPerSecond float64
	badFrom, length              time.Duration
	// badBatch bad requests come at once every badEvery, and soundBatch sound ones with a part of their own every soundEvery, if set.
	badBatch, soundBatch int
	badEvery, soundEvery time.Duration
	// attempts is the number of engines to which a request may be sent, maxAttempts if zero.
	attempts int
	// domainCrashUntil is zero if domains crash until the end.
	domainCrashFrom, domainCrashUntil, domainCrashEvery time.Duration
	reportLoss                                          float64
	// killEvery is the interval at which all routers are killed at the same moment, or zero.
	killEvery time.Duration
	// prompt draws the caller and the parts of a prompt.
	prompt func(rng *rand.Rand, bad bool) (int, []quarantine.Part)
}

// outcome holds the times of what happened on a simulated day.
type outcome struct {
	// poisoned are the crashes that bad prompts caused, badSent the attempts at them.
	poisoned, badSent []time.Duration
	// sound are the first attempts at sound prompts, refused those that the policy refused.
	sound, refused []time.Duration
}

// count returns the number of times that are not before from.
func count(times []time.Duration, from time.Duration) int {
	at, _ := slices.BinarySearch(times, from)
	return len(times) - at
}

type engine struct {
	id     ids.VM
	domain int
	downTo time.Duration
	runs   []*run
}

type run struct {
	prompt   prompt
	router   int
	attempts int
	beginsAt time.Duration
	proved   bool
}

type delivery struct {
	from, to int
	at       time.Duration
	report   any
}

// fleet simulates routers and engines.
type fleet struct {
	load
	policy     policy
	rng        *rand.Rand
	now        time.Duration
	fleet      []*engine
	starts     int
	requests   int
	deliveries []delivery
	reportDue  []time.Duration
	outcome    outcome
}

func simulate(l load, p policy) outcome {
	f := &fleet{load: l, policy: p, rng: rand.New(rand.NewPCG(l.seed, 0)), reportDue: make([]time.Duration, l.routers)}
	for i := range l.engines {
		f.fleet = append(f.fleet, &engine{domain: i % l.domains})
		f.start(f.fleet[i])
	}
	for ; f.now < l.length; f.now += stepTime {
		f.step()
	}
	return f.outcome
}

func (f *fleet) clock() time.Time { return start.Add(f.now) }

func (f *fleet) start(e *engine) {
	f.starts++
	e.id = ids.VM(fmt.Sprint("i-", f.starts))
}

func (f *fleet) step() {
	f.exchange()
	if f.domainCrashes() {
		domain := f.rng.IntN(f.domains)
		for _, e := range f.fleet {
			if e.domain == domain {
				f.crash(e)
			}
		}
	}
	for _, e := range f.fleet {
		f.proceed(e)
	}
	f.killRouters()
	f.policy.save(f.clock())
	for _, bad := range []bool{false, true} {
		rate := f.soundPerSecond
		if bad {
			rate = f.badPerSecond
		}
		if bad && f.now < f.badFrom {
			continue
		}
		for n := rate * stepTime.Seconds(); n > 0; n-- {
			if n < 1 && f.rng.Float64() >= n {
				continue
			}
			f.send(bad)
		}
	}
	f.sendBatches()
}

// send sends a request with the given further parts.
func (f *fleet) send(bad bool, more ...quarantine.Part) {
	f.requests++
	caller, parts := f.prompt(f.rng, bad)
	f.place(&run{
		prompt: prompt{request: ids.Request(fmt.Sprint(f.requests)), caller: caller, parts: append(parts, more...), bad: bad},
		router: f.rng.IntN(f.routers),
	})
}

// sendBatches sends the batches that are due.
func (f *fleet) sendBatches() {
	if f.badEvery > 0 && f.now >= f.badFrom && (f.now-f.badFrom)%f.badEvery == 0 {
		for range f.badBatch {
			f.send(true)
		}
	}
	if f.soundEvery > 0 && f.now%f.soundEvery == 0 {
		for range f.soundBatch {
			f.send(false, quarantine.Part(1<<20+f.now))
		}
	}
}

// killRouters kills all routers at the same moment if that is due. What was under way between them is lost.
func (f *fleet) killRouters() {
	if f.killEvery == 0 || f.now == 0 || f.now%f.killEvery != 0 {
		return
	}
	f.policy.restart(f.clock())
	f.deliveries = nil
}

func (f *fleet) domainCrashes() bool {
	if f.domainCrashEvery == 0 || f.now == 0 || f.now < f.domainCrashFrom || f.domainCrashUntil > 0 && f.now >= f.domainCrashUntil {
		return false
	}
	return f.now%f.domainCrashEvery == 0
}

// place makes the next attempt at a prompt.
func (f *fleet) place(r *run) {
	up := slices.DeleteFunc(slices.Clone(f.fleet), func(e *engine) bool { return e.downTo > f.now })
	if len(up) == 0 || r.attempts == cmp.Or(f.attempts, maxAttempts) {
		return
	}
	allowed := f.policy.allow(r.router, r.prompt, f.clock())
	if !r.prompt.bad && r.attempts == 0 {
		f.outcome.sound = append(f.outcome.sound, f.now)
		if !allowed {
			f.outcome.refused = append(f.outcome.refused, f.now)
		}
	}
	if !allowed {
		return
	}
	if r.prompt.bad {
		f.outcome.badSent = append(f.outcome.badSent, f.now)
	}
	r.attempts++
	r.beginsAt = f.now + time.Duration(f.rng.Float64()*float64(maxPrefill))
	r.proved = false
	e := up[f.rng.IntN(len(up))]
	e.runs = append(e.runs, r)
}

// proceed lets the runs of an engine go on.
func (f *fleet) proceed(e *engine) {
	if e.downTo > f.now {
		return
	}
	for _, r := range e.runs {
		if r.prompt.bad && f.now >= r.beginsAt+proofTime/2 {
			f.outcome.poisoned = append(f.outcome.poisoned, f.now)
			f.crash(e)
			return
		}
		if !r.prompt.bad && !r.proved && f.now >= r.beginsAt+proofTime {
			r.proved = true
			f.policy.recordSound(r.router, r.prompt, f.clock())
		}
	}
	e.runs = slices.DeleteFunc(e.runs, func(r *run) bool { return !r.prompt.bad && f.now >= r.beginsAt+runTime })
}

// crash ends an engine with its runs, which are placed again.
func (f *fleet) crash(e *engine) {
	if e.downTo > f.now {
		return
	}
	lost, id := e.runs, e.id
	e.runs, e.downTo = nil, f.now+restartTime
	f.start(e)
	for _, r := range lost {
		if !r.proved {
			f.policy.recordCrash(r.router, r.prompt, id, f.clock())
			f.reportDue[r.router] = f.now
		}
	}
	for _, r := range lost {
		f.place(r)
	}
}

// exchange delivers the reports that have arrived and sends those that are due.
func (f *fleet) exchange() {
	f.rng.Shuffle(len(f.deliveries), func(i, j int) { f.deliveries[i], f.deliveries[j] = f.deliveries[j], f.deliveries[i] })
	f.deliveries = slices.DeleteFunc(f.deliveries, func(d delivery) bool {
		if d.at > f.now {
			return false
		}
		f.policy.merge(d.from, d.to, d.report, f.clock())
		return true
	})
	for from := range f.routers {
		if f.reportDue[from] > f.now {
			continue
		}
		f.reportDue[from] = f.now + reportPeriod
		report := f.policy.report(from, f.clock())
		for to := range f.routers {
			if to != from && f.rng.Float64() >= f.reportLoss {
				at := f.now + time.Duration(f.rng.Float64()*float64(maxTransport))
				f.deliveries = append(f.deliveries, delivery{from: from, to: to, at: at, report: report})
			}
		}
	}
}
