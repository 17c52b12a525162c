package rollout_test

import (
	"fmt"
	"time"

	"bilberrylug.dev/core/rollout"
	"bilberrylug.dev/core/store"
)

// simStore is the store: an order, a record and its status, changed on conditions.
type simStore struct {
	w              *world
	era            store.Era
	count          uint64
	down           bool
	order          *rollout.Order
	record         *rollout.Record
	recordRevision store.Revision
	// written holds all verdicts that were ever written, by the order's count and version.
	written map[string][]rollout.Phase
	copies  []simCopy
}

// simCopy is an older state of the store.
type simCopy struct {
	at             time.Time
	count          uint64
	order          *rollout.Order
	record         *rollout.Record
	recordRevision store.Revision
}

func (s *simStore) next() store.Revision {
	s.copies = append(s.copies, simCopy{s.w.now, s.count, s.order, s.record, s.recordRevision})
	s.count++
	return revision(s.era, s.count)
}

// put writes an order.
func (s *simStore) put(to rollout.Version, d time.Duration) {
	s.order = &rollout.Order{Service: service, To: to, Duration: d, Revision: s.next()}
	s.w.watchAll()
}

// commit writes a record if the order and the record are as the writer knew them.
func (s *simStore) commit(r rollout.Record, order, known store.Revision) bool {
	if s.down || s.order == nil || s.order.Revision != order || s.recordRevision != known {
		return false
	}
	if p := s.record; p != nil && p.For(*s.order) && (p.Phase.Final() && p.Phase != r.Phase || phaseOrder[r.Phase] < phaseOrder[p.Phase]) {
		s.w.violations = append(s.w.violations, fmt.Sprintf("%s: %s after %s", s.orderName(), r.Phase, p.Phase))
	}
	s.recordRevision = s.next()
	s.record = &r
	if r.Phase.Final() {
		if s.written == nil {
			s.written = map[string][]rollout.Phase{}
		}
		key := s.orderName()
		s.written[key] = append(s.written[key], r.Phase)
	}
	s.w.watchAll()
	return true
}

func (s *simStore) orderName() string {
	return string(s.order.To) + "@" + fmt.Sprint(s.order.Revision.Count())
}

// restore brings the store back from a copy of some age.
func (s *simStore) restore(age time.Duration) {
	for len(s.copies) > 1 && s.w.now.Sub(s.copies[len(s.copies)-1].at) < age {
		s.copies = s.copies[:len(s.copies)-1]
	}
	s.era++
	if len(s.copies) > 0 {
		c := s.copies[len(s.copies)-1]
		s.count, s.order, s.record, s.recordRevision = c.count, c.order, c.record, c.recordRevision
	}
	if s.order != nil {
		o := *s.order
		o.Revision = revision(s.era, o.Revision.Count())
		s.order = &o
	}
	s.recordRevision = revision(s.era, s.recordRevision.Count())
	s.w.watchAll()
}

// lead lets a router that believes to lead do its work.
func (w *world) lead(r *router) {
	w.watch(r)
	if !r.up || r.cut || r.away || !r.leads || w.store.down || w.store.order == nil {
		return
	}
	running := 0
	for _, u := range w.pool {
		if u.version != w.store.order.To {
			running += u.running
		}
	}
	record, d := r.tracker.Step(running, w.now)
	if !d.Write {
		return
	}
	order, known := w.store.order.Revision, w.store.recordRevision
	w.at(time.Duration(w.rng.Float64()*float64(storeTime)), func() { w.store.commit(record, order, known) })
}

// request makes a request of a caller.
func (w *world) request(route rollout.Route) {
	r := w.fleet[w.rng.IntN(len(w.fleet))]
	if !r.up || len(r.known) == 0 {
		return
	}
	if w.active {
		w.requests++
	}
	u := w.pick(r)
	if u == nil {
		w.refused++
		return
	}
	elapsed := w.now.Sub(w.order)
	tracker := r.tracker
	sent := tracker.RecordRequest(rollout.Request{
		Route: route, Version: u.version, Upstream: u.id, Domain: u.domain, UpstreamAge: w.now.Sub(u.since),
	}, w.now)
	w.countOrder(u)
	isNew := w.active && u.version == newVersion
	if isNew {
		w.exposed++
		w.exposedAt = append(w.exposedAt, w.now)
		if !w.fiftieth.IsZero() && w.now.Sub(w.fiftieth) > 5*time.Second {
			w.lateExposed++
		}
	}
	a := answer{factor: 1}
	if w.answers != nil {
		a = w.answers(w, u, route, elapsed)
	}
	u.running++
	w.at(time.Duration(float64(w.usual())*a.factor), func() {
		u.running--
		if isNew && (a.failed || a.factor > 2) {
			if w.badAnswers++; w.badAnswers == 50 {
				w.fiftieth = w.now
			}
		}
		if u.down && u.version == oldVersion {
			w.cutOff++
		}
		d := w.usual()
		tracker.RecordAnswer(sent, rollout.Outcome{Failed: a.failed, Duration: time.Duration(float64(d) * a.factor)}, w.now)
	})
}

// pick chooses an upstream as a router does.
func (w *world) pick(r *router) *upstream {
	c := r.tracker.Choose(w.rng.Float64(), w.now)
	for _, allowed := range []func(rollout.Version) bool{c.Preferred, c.Fallback} {
		var list []*upstream
		for _, u := range r.known {
			if !u.down && allowed(u.version) {
				list = append(list, u)
			}
		}
		if len(list) > 0 {
			return list[w.rng.IntN(len(list))]
		}
	}
	return nil
}

// begin writes an order and starts the upstreams of its version a second later.
func (w *world) begin(to rollout.Version) {
	w.order, w.active = w.now, true
	w.store.put(to, w.length)
	w.addUpstreams(to, time.Second)
}

// outcome runs an order to its deadline and returns the phase of its record.
func (w *world) outcome() rollout.Phase {
	w.run(w.before)
	w.begin(newVersion)
	w.run(w.length)
	w.active = false
	return w.phase()
}

// bound returns the exposure that a bad version may have.
func (w *world) bound() float64 { return 0.1*float64(w.requests) + 50 }

// phase returns the phase of the record in the store.
func (w *world) phase() rollout.Phase {
	if w.store.record == nil {
		return ""
	}
	return w.store.record.Phase
}

// reason returns why the record is as it is.
func (w *world) reason() string {
	if w.store.record == nil {
		return "no record"
	}
	return fmt.Sprintf("%s at %s: %s", w.store.record.Phase, w.store.record.Elapsed, w.store.record.Reason)
}
