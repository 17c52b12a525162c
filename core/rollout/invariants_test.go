package rollout_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/rollout"
)

const thirdVersion = rollout.Version("v3")

var phaseOrder = map[rollout.Phase]int{rollout.Canary: 1, rollout.Ramp: 2, rollout.Handover: 3, rollout.Completed: 4, rollout.RolledBack: 4}

// orderStats counts the requests of the service since an order, and those sent to its version, until the deadline or the next order.
type orderStats struct {
	name              string
	version           rollout.Version
	until             time.Time
	requests, exposed int
}

// countOrder counts a request for the orders whose time is not over.
func (w *world) countOrder(u *upstream) {
	counted := map[rollout.Version]bool{}
	for _, o := range slices.Backward(w.orders) {
		if w.now.After(o.until) {
			continue
		}
		o.requests++
		if u.version == o.version && !counted[u.version] {
			counted[u.version] = true
			o.exposed++
		}
	}
}

// place writes an order and starts upstreams of its version if there are none.
func (w *world) place(v rollout.Version) {
	if w.store.down {
		return
	}
	w.order, w.active = w.now, true
	w.store.put(v, w.length)
	w.orders = append(w.orders, &orderStats{name: w.store.orderName(), version: v, until: w.now.Add(w.length)})
	if !slices.ContainsFunc(w.pool, func(u *upstream) bool { return u.version == v }) {
		w.addUpstreams(v, 500*time.Millisecond)
	}
}

// check returns what is broken.
func (w *world) check(known map[string]rollout.Verdict, bad bool) []string {
	out := slices.Clone(w.violations)
	for name, phases := range w.store.written {
		if slices.Contains(phases, rollout.Completed) && slices.Contains(phases, rollout.RolledBack) {
			out = append(out, fmt.Sprintf("%s: both verdicts: %v", name, phases))
		}
	}
	for _, r := range w.fleet {
		v, _ := r.tracker.Verdict()
		if w.store.order == nil || v != rollout.WrittenCompleted && v != rollout.WrittenRolledBack {
			continue
		}
		report, ok := r.tracker.Report(w.now)
		if !ok {
			continue
		}
		key := fmt.Sprint(r.id, r.started, report.Order.Count(), report.To)
		if before, ok := known[key]; ok && before != v {
			out = append(out, fmt.Sprintf("%s: knew %s, now %s", key, before, v))
		}
		known[key] = v
		if v == rollout.WrittenRolledBack && (r.tracker.Share(w.now) > 0 || r.tracker.Allowed(report.To, w.now)) {
			out = append(out, key+": a version that was rolled back may get requests")
		}
	}
	if bad {
		out = append(out, w.overexposed()...)
	}
	return out
}

// overexposed returns the orders whose bad version got more requests than allowed.
func (w *world) overexposed() []string {
	var out []string
	for _, o := range w.orders {
		if o.version != oldVersion && float64(o.exposed) > 0.1*float64(o.requests)+50 {
			out = append(out, fmt.Sprintf("%s: %d of %d requests exposed", o.name, o.exposed, o.requests))
		}
	}
	return out
}

// disturb draws one failure, or the end of one.
func (w *world) disturb(t *rapid.T) {
	r := w.fleet[rapid.IntRange(0, len(w.fleet)-1).Draw(t, "router")]
	switch rapid.SampledFrom([]string{"kill", "cut", "join", "away", "lead", "resign", "store", "return", "order", "nothing"}).Draw(t, "event") {
	case "kill":
		w.kill(r, time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond)
	case "cut":
		r.cut = true
	case "join":
		r.cut, r.away = false, false
	case "away":
		r.away = !r.away
	case "lead":
		r.leads = true
	case "resign":
		r.leads = false
	case "store":
		w.setStoreDown(!w.store.down)
	case "return":
		w.returnStore(time.Duration(rapid.IntRange(500, 5000).Draw(t, "age")) * time.Millisecond)
	case "order":
		w.place(rapid.SampledFrom([]rollout.Version{newVersion, thirdVersion, oldVersion}).Draw(t, "version"))
	}
}

// returnStore lets the store return from an older copy. A verdict is kept only as far as a router remembers it, so all routers are there, have
// learnt of the last one and can tell the others.
func (w *world) returnStore(age time.Duration) {
	w.setStoreDown(false)
	for _, r := range w.fleet {
		r.cut, r.away = false, false
	}
	w.run(3500 * time.Millisecond)
	w.store.restore(age)
	w.run(3500 * time.Millisecond)
}

var _ = Describe("a fleet whose parts fail in any order", func() {
	// Guards against two verdicts for one order, a step back after a verdict and more requests to a bad version than allowed, while messages
	// are lost, repeated and reordered, several routers believe to lead, routers restart and the store returns from older copies.
	It("keeps one verdict for an order and bounds the exposure to a bad version", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			part := rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, "bad part")
			w := newWorld(rapid.Uint64Max(1<<32).Draw(t, "seed"), load{
				routers: rapid.IntRange(1, 6).Draw(t, "routers"), upstreams: rapid.IntRange(1, 4).Draw(t, "upstreams"), domains: 2,
				rate: rapid.SampledFrom([]float64{2, 24, 60}).Draw(t, "rate"), routes: []rollout.Route{"a", "b"}, before: time.Second,
				loss: rapid.Float64Range(0, 0.3).Draw(t, "loss"), repeats: 0.2, maxDelay: time.Second,
				answers: func(w *world, u *upstream, _ rollout.Route, _ time.Duration) answer {
					return answer{failed: u.version != oldVersion && w.rng.Float64() < part, factor: 1}
				},
			})
			known := map[string]rollout.Verdict{}
			w.run(12 * time.Second)
			w.place(newVersion)
			for range rapid.IntRange(4, 16).Draw(t, "events") {
				w.run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "pause")) * time.Millisecond)
				w.disturb(t)
				if broken := w.check(known, part > 0); len(broken) > 0 {
					t.Fatalf("%v", broken)
				}
			}
			w.run(w.length)
			if broken := w.check(known, part > 0); len(broken) > 0 {
				t.Fatalf("%v", broken)
			}
		})
	})
})
