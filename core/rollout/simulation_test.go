package rollout_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/rollout"
	"bilberrylug.dev/core/store"
)

const (
	service     = ids.Service("pool")
	oldVersion  = rollout.Version("v1")
	newVersion  = rollout.Version("v2")
	stepTime    = 250 * time.Millisecond
	storeLag    = 300 * time.Millisecond
	storeTime   = 30 * time.Millisecond
	orderLength = 15 * time.Second
)

// event is something that happens at a time of the simulation.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// upstream is a simulated upstream.
type upstream struct {
	id      ids.VM
	version rollout.Version
	domain  ids.FailureDomain
	since   time.Time
	down    bool
	running int
}

// answer is what an upstream makes of a request.
type answer struct {
	failed bool
	// factor multiplies the usual duration.
	factor float64
}

// router is a simulated router.
type router struct {
	id      ids.VM
	started int64
	tracker *rollout.Tracker
	up      bool
	// cut means that the router reaches neither the store nor other routers; away, that it does not reach the store.
	cut, away bool
	// known are the upstreams that it has learnt of.
	known []*upstream
	leads bool
}

// load describes the service and its callers.
type load struct {
	routers, upstreams, domains int
	rate                        float64
	routes                      []rollout.Route
	duration                    time.Duration
	interval                    time.Duration
	loss, repeats               float64
	maxDelay                    time.Duration
	length, before              time.Duration
	// answers tells how an upstream answers, given the time since the order.
	answers func(w *world, u *upstream, route rollout.Route, elapsed time.Duration) answer
}

// world is a simulated site.
type world struct {
	load
	rng    *rand.Rand
	now    time.Time
	queue  eventQueue
	seq    int
	fleet  []*router
	pool   []*upstream
	store  *simStore
	order  time.Time
	active bool

	requests, exposed, refused, badAnswers, cutOff int
	orders                                         []*orderStats
	violations                                     []string
	fiftieth                                       time.Time
	seed                                           uint64
	lateExposed                                    int
	exposedAt                                      []time.Time
}

func newWorld(seed uint64, l load) *world {
	if l.length == 0 {
		l.length = orderLength
	}
	if l.before == 0 {
		l.before = 20 * time.Second
	}
	if l.interval == 0 {
		l.interval = 250 * time.Millisecond
	}
	if l.duration == 0 {
		l.duration = 150 * time.Millisecond
	}
	w := &world{load: l, seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0)}
	w.store = &simStore{w: w, era: 1, count: 100}
	w.addUpstreams(oldVersion, 0)
	for i := range l.routers {
		r := &router{id: ids.VM(fmt.Sprint("router-", i)), up: true, leads: i == 0}
		w.fleet = append(w.fleet, r)
		w.start(r)
		w.every(w.interval, func() { w.update(r) })
		w.every(stepTime, func() { w.lead(r) })
	}
	w.arrive()
	return w
}

func (w *world) at(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, do})
}

func (w *world) every(d time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		w.at(d-time.Duration(w.rng.Float64()*float64(d)/4), again)
	}
	w.at(time.Duration(w.rng.Float64()*float64(d)), again)
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// start starts a router anew.
func (w *world) start(r *router) {
	r.started++
	r.known = nil
	r.tracker = rollout.New(rollout.DefaultSettings(), service, r.id, r.started, w.now)
	w.watch(r)
}

// watch gives a router the state of the store and the registered upstreams.
func (w *world) watch(r *router) {
	if !r.up || r.cut || r.away || w.store.down {
		return
	}
	r.tracker.Hear(w.now)
	r.tracker.SetOrder(w.store.order, w.now)
	r.tracker.SetRecord(w.store.record, w.store.recordRevision, w.now)
	r.tracker.SetPresent(w.present(), w.now)
	r.known = slices.Clone(w.pool)
}

func (w *world) watchAll() {
	for _, r := range w.fleet {
		w.at(time.Duration(w.rng.Float64()*float64(storeLag)), func() { w.watch(r) })
	}
}

func (w *world) present() []rollout.Presence {
	by := map[rollout.Version]*rollout.Presence{}
	domains := map[string]bool{}
	var out []rollout.Presence
	for _, u := range w.pool {
		if u.down {
			continue
		}
		p := by[u.version]
		if p == nil {
			p = &rollout.Presence{Version: u.version}
			by[u.version] = p
		}
		p.Upstreams++
		p.Age = max(p.Age, w.now.Sub(u.since))
		p.Slots += 16
		if key := string(u.version) + "/" + string(u.domain); !domains[key] {
			domains[key] = true
			p.Domains++
		}
	}
	for _, u := range w.pool {
		if p := by[u.version]; p != nil {
			out = append(out, *p)
			delete(by, u.version)
		}
	}
	return out
}

func (w *world) addUpstreams(v rollout.Version, after time.Duration) {
	for i := range w.upstreams {
		w.at(after, func() {
			w.pool = append(w.pool, &upstream{
				id: ids.VM(fmt.Sprintf("%s-%d-%d", v, i, len(w.pool))), version: v, domain: ids.FailureDomain(fmt.Sprint("fd-", i%w.domains)), since: w.now,
			})
			w.watchAll()
		})
	}
	if after == 0 {
		w.run(0)
	}
}

// update sends a router's report to the others.
func (w *world) update(r *router) {
	if !r.up || r.cut {
		return
	}
	report, ok := r.tracker.Report(w.now)
	for _, other := range w.fleet {
		if other == r || w.rng.Float64() < w.loss {
			continue
		}
		deliver := func() {
			if !other.up || other.cut || r.cut {
				return
			}
			other.tracker.Hear(w.now)
			if ok {
				other.tracker.Merge(report, w.now)
			}
		}
		w.at(w.delay(), deliver)
		if w.rng.Float64() < w.repeats {
			w.at(w.delay(), deliver)
		}
	}
}

// delay returns the time that a state update takes.
func (w *world) delay() time.Duration {
	return 5*time.Millisecond + time.Duration(w.rng.Float64()*float64(max(w.maxDelay, 100*time.Millisecond)))
}

// arrive makes the callers' requests.
func (w *world) arrive() {
	if w.rate > 0 {
		w.request(w.routes[w.rng.IntN(len(w.routes))])
	}
	w.at(time.Duration(w.rng.ExpFloat64()/max(w.rate, 0.01)*float64(time.Second)), w.arrive)
}

func (w *world) usual() time.Duration {
	return time.Duration(float64(w.duration) * math.Exp(0.25*w.rng.NormFloat64()))
}

// revision is a shorthand.
func revision(era store.Era, count uint64) store.Revision {
	r, err := store.NewRevision(era, count)
	if err != nil {
		panic(err)
	}
	return r
}
