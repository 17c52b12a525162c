package ratelimit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/ratelimit"
)

const (
	tick        = 10 * time.Millisecond
	contactTime = 3 * time.Second
	window      = 4 * time.Second
	maxRouters  = 320
)

// simRouter is a router of a simulated fleet.
type simRouter struct {
	id      ids.VM
	limiter *ratelimit.Limiter
	up      bool
	// rate is the rate of its callers' requests.
	rate float64
	// heard is when each other router was last heard of.
	heard        []time.Time
	peersChecked time.Time
	// sendAt is when the next update to each other router is due.
	sendAt []time.Time
}

// simFleet simulates routers that call the upstreams of one service, all of which may name limits.
type simFleet struct {
	rng      *rand.Rand
	now      time.Time
	interval time.Duration
	routers  []*simRouter
	// limits are what the upstreams name; zero stands for none.
	limits   map[ids.VM]float64
	arrivals map[ids.VM][]time.Time
	served   int
	refused  int
}

func newSimFleet(seed uint64, routers int, interval time.Duration, upstreams ...ids.VM) *simFleet {
	f := &simFleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0), interval: interval,
		limits: map[ids.VM]float64{}, arrivals: map[ids.VM][]time.Time{},
	}
	for _, u := range upstreams {
		f.limits[u] = 0
	}
	for range routers {
		f.join()
	}
	return f
}

func (f *simFleet) join() *simRouter {
	id := ids.VM(fmt.Sprint("router-", len(f.routers)))
	r := &simRouter{id: id, limiter: ratelimit.New(id), up: true, heard: make([]time.Time, maxRouters), sendAt: make([]time.Time, maxRouters)}
	f.routers = append(f.routers, r)
	return r
}

// skew gives the first routers most of the callers.
func (f *simFleet) skew(total float64) {
	sum := 0.0
	for i := range f.routers {
		sum += math.Pow(float64(i+1), -1.2)
	}
	for i, r := range f.routers {
		r.rate = total * math.Pow(float64(i+1), -1.2) / sum
	}
}

// run advances the fleet.
func (f *simFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for i, r := range f.routers {
			if r.up {
				f.exchange(i, r)
				f.call(r)
			}
		}
	}
}

// exchange sends the updates of a router that are due.
func (f *simFleet) exchange(i int, r *simRouter) {
	if f.now.Sub(r.peersChecked) >= 200*time.Millisecond {
		r.peersChecked = f.now
		var present []ids.VM
		for j, at := range r.heard {
			if f.now.Sub(at) <= 3*f.interval {
				present = append(present, f.routers[j].id)
			}
		}
		r.limiter.SetPeers(present, f.interval)
	}
	for j, other := range f.routers {
		if j == i || !other.up || f.now.Before(r.sendAt[j]) {
			continue
		}
		if r.sendAt[j].IsZero() {
			r.sendAt[j] = f.now.Add(time.Duration(f.rng.Float64() * float64(f.interval)))
			continue
		}
		r.sendAt[j] = f.now.Add(f.interval - time.Duration(f.rng.Float64()*float64(f.interval)/4))
		other.heard[i] = f.now
		other.limiter.MergeDemand(r.id, "pool", r.limiter.Announce("pool", f.now), f.now)
		other.limiter.Merge(r.limiter.Reports(f.now), f.now)
	}
}

// call makes the calls of a router's callers in one tick.
func (f *simFleet) call(r *simRouter) {
	for p := r.rate * tick.Seconds(); p > 0; p-- {
		if f.rng.Float64() >= p {
			continue
		}
		r.limiter.RecordRequest("pool", f.now)
		f.send(r)
	}
}

func (f *simFleet) send(r *simRouter) {
	for id := range f.limits {
		if r.limiter.Delay(id, f.now) > 0 {
			continue
		}
		r.limiter.Take(id, f.now)
		f.arrivals[id] = append(f.arrivals[id], f.now)
		r.limiter.Record(id, "pool", ratelimit.Statement{Named: f.limits[id] > 0, Rate: ratelimit.Rate(f.limits[id])}, f.now, f.now)
		f.served++
		return
	}
	f.refused++
}

// most returns the largest number of requests that have reached an upstream in a window since a time.
func (f *simFleet) most(id ids.VM, since time.Time) int {
	most, first := 0, 0
	list := f.arrivals[id]
	for i, at := range list {
		for list[first].Before(since) && first < i || at.Sub(list[first]) > window {
			first++
		}
		if !at.Before(since) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// used returns the rate of the requests that have reached an upstream since a time.
func (f *simFleet) used(id ids.VM, since time.Time) float64 {
	n := 0
	for _, at := range f.arrivals[id] {
		if at.After(since) {
			n++
		}
	}
	return float64(n) / f.now.Sub(since).Seconds()
}

func allowed(limit float64) float64 { return 1.5*limit*window.Seconds() + 5 }

var _ = Describe("a fleet whose upstreams all name limits", func() {
	DescribeTable("keeps them although each router knows the others' demand only as it was, and uses them",
		func(routers int, interval time.Duration, limit, demand float64) {
			for seed := range uint64(1 + 100/routers) {
				f := newSimFleet(seed, routers, interval, "a", "b", "c")
				f.skew(demand)
				f.run(2*time.Second + 2*interval)
				for id := range f.limits {
					f.limits[id] = limit
				}
				named := f.now
				f.run(contactTime + 12*time.Second)
				for id := range f.limits {
					Expect(float64(f.most(id, named.Add(contactTime)))).To(BeNumerically("<=", allowed(limit)), "seed %d", seed)
					Expect(f.used(id, named.Add(contactTime))).To(BeNumerically(">=", 0.8*limit), "seed %d", seed)
				}
			}
		},
		Entry("4 routers, 5.5 a second", 4, 500*time.Millisecond, 5.5, 50.0),
		Entry("4 routers, 1.5 a second", 4, 500*time.Millisecond, 1.5, 50.0),
		Entry("26 routers, 5.5 a second", 26, 500*time.Millisecond, 5.5, 300.0),
		Entry("26 routers, 1.5 a second", 26, 500*time.Millisecond, 1.5, 300.0),
		Entry("100 routers, 20 a second", 100, 700*time.Millisecond, 20.0, 1000.0),
		Entry("300 routers, 1.5 a second", 300, 1900*time.Millisecond, 1.5, 600.0),
		Entry("300 routers, 200 a second", 300, 1900*time.Millisecond, 200.0, 1500.0),
	)
	It("keeps them while the traffic moves from router to router", func() {
		f := newSimFleet(7, 8, 500*time.Millisecond, "a", "b")
		f.skew(80)
		f.run(3 * time.Second)
		f.limits["a"], f.limits["b"] = 6, 3
		named := f.now
		f.run(contactTime)
		for range 12 {
			f.rng.Shuffle(len(f.routers), func(i, j int) {
				f.routers[i].rate, f.routers[j].rate = f.routers[j].rate, f.routers[i].rate
			})
			f.run(time.Duration(300+f.rng.IntN(2000)) * time.Millisecond)
		}
		for id, limit := range f.limits {
			Expect(float64(f.most(id, named.Add(contactTime)))).To(BeNumerically("<=", allowed(limit)))
			Expect(f.used(id, named.Add(contactTime))).To(BeNumerically(">=", 0.7*limit))
		}
	})
	It("keeps them while all callers come at once after a pause", func() {
		for _, limit := range []float64{1.5, 6, 40} {
			f := newSimFleet(9, 30, 500*time.Millisecond, "a")
			f.limits["a"] = limit
			named := f.now
			f.skew(3)
			f.run(20 * time.Second)
			f.skew(600)
			f.run(8 * time.Second)
			Expect(float64(f.most("a", named.Add(contactTime)))).To(BeNumerically("<=", allowed(limit)), "limit %v", limit)
		}
	})
	It("wastes no capacity for long where routers come and go", func() {
		f := newSimFleet(11, 6, 500*time.Millisecond, "a")
		f.skew(60)
		f.run(3 * time.Second)
		f.limits["a"] = 10
		named := f.now
		f.run(contactTime + 3*time.Second)
		for i := range 3 {
			f.routers[i].up = false
			f.routers[3+i].rate += f.routers[i].rate
			f.run(2500 * time.Millisecond)
			f.join().rate = 10
			f.run(2500 * time.Millisecond)
		}
		Expect(float64(f.most("a", named.Add(contactTime)))).To(BeNumerically("<=", allowed(10)))
		Expect(f.used("a", named.Add(contactTime))).To(BeNumerically(">=", 8))
	})
})
