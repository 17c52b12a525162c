package rollout_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/rollout"
)

// kill ends a router's process and starts it again after a time.
func (w *world) kill(r *router, d time.Duration) {
	r.up = false
	w.at(d, func() {
		r.up = true
		w.start(r)
	})
}

// handOverLead makes another router the leader after the lease of the last one has ended.
func (w *world) handOverLead(to *router, after time.Duration) {
	for _, r := range w.fleet {
		r.leads = false
	}
	w.at(after, func() { to.leads = true })
}

// setStoreDown takes the store away or brings it back.
func (w *world) setStoreDown(down bool) {
	w.store.down = down
	w.watchAll()
}

var _ = Describe("a rollout in which a part fails halfway", func() {
	bothWays := func(spec string, fail func(w *world, at time.Duration)) {
		for _, at := range []time.Duration{500 * time.Millisecond, 5 * time.Second, 9500 * time.Millisecond, 11 * time.Second} {
			It(fmt.Sprintf("ends with the same verdict: %s after %s", spec, at), func() {
				for seed := range uint64(4) {
					for _, bad := range []bool{false, true} {
						l, want := site(), rollout.Completed
						if bad {
							l, want = l.with(failing(0.5, 0)), rollout.RolledBack
						}
						w := newWorld(seed, l)
						w.run(w.before)
						w.begin(newVersion)
						w.run(at)
						fail(w, at)
						w.run(w.length - at)
						w.active = false
						w.run(10 * time.Second)
						Expect(w.phase()).To(Equal(want), "seed %d: %s", seed, w.reason())
						if bad {
							Expect(float64(w.exposed)).To(BeNumerically("<=", w.bound()), "seed %d", seed)
						}
					}
				}
			})
		}
	}
	bothWays("the leader is killed", func(w *world, _ time.Duration) {
		w.kill(w.fleet[0], 5*time.Second)
		w.handOverLead(w.fleet[1], 3*time.Second)
	})
	bothWays("the store is away for 4 s", func(w *world, _ time.Duration) {
		w.setStoreDown(true)
		w.at(4*time.Second, func() { w.setStoreDown(false) })
	})
	bothWays("all routers are killed", func(w *world, _ time.Duration) {
		for _, r := range w.fleet {
			w.kill(r, time.Second)
		}
	})
	bothWays("the leader is cut off and believes to lead", func(w *world, _ time.Duration) {
		w.fleet[0].cut = true
		w.at(3*time.Second, func() { w.fleet[1].leads = true })
		w.at(6*time.Second, func() { w.fleet[0].cut = false })
	})

	// Guards against a router that is cut off and goes on with a version that the others have rejected.
	It("sends nothing to the new version from a router that hears neither routers nor the store", func() {
		w := newWorld(3, site())
		w.run(w.before)
		w.begin(newVersion)
		w.run(6 * time.Second)
		r := w.fleet[2]
		Expect(r.tracker.Share(w.now)).To(BeNumerically(">", 0))
		r.cut = true
		w.run(3500 * time.Millisecond)
		Expect(r.tracker.Share(w.now)).To(BeZero())
	})
	// Guards against a rollback that is in force only once the leader has written it.
	It("is rolled back at all routers while the store is away", func() {
		w := newWorld(4, site().with(failing(1, 5*time.Second)))
		w.run(w.before)
		w.begin(newVersion)
		w.run(4 * time.Second)
		w.setStoreDown(true)
		w.run(5 * time.Second)
		for _, r := range w.fleet {
			v, _ := r.tracker.Verdict()
			Expect(v).To(Equal(rollout.Rejected))
			Expect(r.tracker.Allowed(newVersion, w.now)).To(BeFalse())
		}
		Expect(w.phase()).To(Equal(rollout.Canary))
		w.setStoreDown(false)
		w.run(2 * time.Second)
		Expect(w.phase()).To(Equal(rollout.RolledBack))
	})
})
