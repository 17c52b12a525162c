package generation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/pace"
	"bilberrylug.dev/core/placement"
)

// router places requests and tells the other routers of its work.
type router struct {
	*simulation
	vm     ids.VM
	picker placement.Picker
	// windows holds the windows of engines that have just come back, draws is the source of what the router decides at random.
	windows *pace.Tracker
	draws   *rand.Rand
	// predicted is the predicted time to the first event of the last choice, or zero.
	predicted time.Duration
	// sentAt is when the last state update was sent, and updateDue is set while one is scheduled.
	sentAt    time.Time
	updateDue bool
}

func newRouter(s *simulation, i int) *router {
	vm := ids.VM(fmt.Sprintf("entry-%d", i))
	return &router{
		simulation: s, vm: vm, windows: pace.New(), draws: newRNG(uint64(i)),
		picker: placement.Picker{
			Router: vm, Domain: domainName(i % s.scenario.Domains), Routers: s.scenario.Routers, LoadTracker: placement.NewLoadTracker(),
		},
	}
}

// place places a request on an engine, with a copy on another one.
func (r *router) place(q *request) {
	list := r.candidates()
	req := placement.Request{Prompt: promptTokens, Output: outputTokens, Seed: q.seed + uint64(q.placements)}
	prefill := promptTokens
	target := q.copyAt
	r.predicted = 0
	if target != nil && target.copies[q] > 0 && !target.down {
		req = placement.Request{Context: promptTokens, Output: outputTokens, Seed: req.Seed}
		prefill = 1
	} else {
		c, ok := r.pick(list, req)
		if !ok {
			r.After(retryDelay, func() { r.place(q) })
			return
		}
		target = r.byID[c.ID]
		prefill += q.produced
	}
	q.dropCopy()
	q.placements++
	copyAt, found := r.picker.PickCopy(list, placement.Candidate{ID: target.id, Domain: target.domain}, req, r.model, r.Now())
	reservation := r.picker.Reserve(target.id, req, copyAt.ID)
	r.stateChanged()
	predicted := r.predicted
	run := &run{request: q, router: r, engine: target, prefill: prefill, resumed: prefill == 1}
	placedAt := r.Now()
	released := false
	run.release = func() {
		if !released {
			released = true
			reservation.Release()
			r.stateChanged()
		}
	}
	run.first = func() {
		reservation.PrefillDone()
		r.recordFirstEvent(target, r.Now().Sub(placedAt), predicted)
		r.stateChanged()
		r.result.firstEvents = append(r.result.firstEvents, r.Now().Sub(placedAt))
		if found {
			q.copyAt = r.byID[copyAt.ID]
			q.copyAt.copies[q] = promptTokens
		}
	}
	r.result.count(target, run)
	r.After(networkDelay, func() { target.add(run) })
}

// failed places a request anew whose run was lost or refused.
func (r *router) failed(run *run, refused bool) {
	run.release()
	if refused {
		r.result.Refused++
		r.recordRefusal(run.engine)
	}
	r.place(run.request)
}

// stateChanged sends the router's work to the others, at most once an update interval.
func (r *router) stateChanged() {
	if r.updateDue {
		return
	}
	r.updateDue = true
	next := r.sentAt.Add(r.scenario.UpdateInterval)
	r.At(next, func() {
		r.updateDue = false
		r.sentAt = r.Now()
		work, slow, reports := maps.Clone(r.picker.OwnWork()), r.slowEngines(), r.windows.Reports(r.Now())
		r.After(networkDelay, func() {
			for _, other := range r.routers {
				if other != r {
					other.picker.UpdatePeer(r.vm, work, slow, r.Now())
					other.windows.Merge(r.vm, reports, r.Now())
				}
			}
		})
	})
}
