package pace_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/pace"
)

const (
	tick           = 10 * time.Millisecond
	updateInterval = 50 * time.Millisecond
	slots          = 16
	// work is the time of a request at an upstream of normal speed that has a slot for it.
	work = 200 * time.Millisecond
)

var class = pace.Class{Service: "pool", Route: "look"}

// site is a model of routers and upstreams. A request goes to the upstream with the lowest cost, which is that of package placement. An upstream shares its slots equally among its requests, and refuses a request beyond three times its slots.
type site struct {
	now       time.Time
	rng       *rand.Rand
	routers   []*router
	upstreams []*server
	// off makes the routers ignore the windows.
	off bool
}

type router struct {
	vm      ids.VM
	tracker *pace.Tracker
	own     map[ids.VM]int
	peers   map[*router]map[ids.VM]int
}

type server struct {
	start    pace.Start
	down     bool
	slowness float64
	running  []*request
	// cold is the number of answers after which a start reaches its speed.
	cold, answered int
	// late is the number of answers that took over five times as long as at an idle upstream of normal speed.
	refused, failed, late int
	most                  int
}

type request struct {
	router *router
	sent   time.Time
	left   float64
}

func newSite(routers, upstreams int) *site {
	s := &site{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2))}
	for i := range routers {
		s.routers = append(s.routers, &router{vm: ids.VM(fmt.Sprint("r-", i)), tracker: pace.New(), own: map[ids.VM]int{}, peers: map[*router]map[ids.VM]int{}})
	}
	for i := range upstreams {
		s.upstreams = append(s.upstreams, &server{start: pace.Start{ID: ids.VM(fmt.Sprint("u-", i)), Started: 1}, slowness: 1})
	}
	return s
}

// run runs the site for a time at a number of requests a second, a part of which each router receives.
func (s *site) run(d time.Duration, rate float64) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tick) {
		arrivals := rate * tick.Seconds()
		for arrivals > 0 && (arrivals >= 1 || s.rng.Float64() < arrivals) {
			s.place(s.routers[s.rng.IntN(len(s.routers))], rate)
			arrivals--
		}
		for _, u := range s.upstreams {
			s.serve(u)
		}
		if s.now.UnixMilli()%updateInterval.Milliseconds() == 0 {
			s.exchange()
		}
	}
}

// place sends a request to an upstream.
func (s *site) place(r *router, rate float64) {
	var loads []pace.Load
	var list []*server
	for _, u := range s.upstreams {
		if u.down {
			continue
		}
		others := 0
		for _, p := range r.peers {
			others += p[u.start.ID]
		}
		list = append(list, u)
		loads = append(loads, pace.Load{Start: u.start, InFlight: r.own[u.start.ID] + others, Others: others, Slots: slots})
	}
	unseen := rate * updateInterval.Seconds() * float64(len(s.routers)-1) / float64(len(s.routers))
	if !s.off {
		r.tracker.Weigh(loads, unseen, s.rng.Float64, s.now)
	}
	best := -1
	for _, i := range s.rng.Perm(len(list)) {
		if best < 0 || cost(loads[i]) < cost(loads[best]) {
			best = i
		}
	}
	u := list[best]
	if len(u.running) >= 3*slots {
		u.refused++
		r.tracker.RecordTrouble(u.start, pace.Refused, s.now)
		return
	}
	r.own[u.start.ID]++
	u.running = append(u.running, &request{r, s.now, work.Seconds()})
	u.most = max(u.most, len(u.running))
}

// cost is what a request costs at an upstream: one beyond the slots waits for others.
func cost(l pace.Load) float64 {
	c := (float64(l.InFlight) + 2*max(0, float64(l.InFlight+1-slots))) / slots
	if l.Full {
		c++
	}
	return c
}

// serve advances the requests at an upstream by a tick.
func (s *site) serve(u *server) {
	slowness := u.slowness
	if u.answered < u.cold {
		slowness *= 4
	}
	speed := min(1, slots/float64(max(1, len(u.running)))) / slowness
	u.running = slices.DeleteFunc(u.running, func(q *request) bool {
		q.left -= speed * tick.Seconds()
		if q.left > 0 {
			return false
		}
		q.router.own[u.start.ID]--
		u.answered++
		ratio := s.now.Sub(q.sent).Seconds() / work.Seconds()
		if ratio > 5 {
			u.late++
		}
		q.router.tracker.RecordAnswer(pace.Answer{Start: u.start, Class: class, Ratio: ratio}, s.now)
		return true
	})
}

// exchange has each router tell the others of its requests in flight and its windows.
func (s *site) exchange() {
	for _, r := range s.routers {
		reports := r.tracker.Reports(s.now)
		for _, other := range s.routers {
			if other != r {
				other.peers[r] = make(map[ids.VM]int, len(r.own))
				for id, n := range r.own {
					other.peers[r][id] = n
				}
				other.tracker.Merge(r.vm, reports, s.now)
			}
		}
	}
}

// crash ends an upstream's process. Its requests fail.
func (s *site) crash(u *server) {
	u.down = true
	u.failed += len(u.running)
	for _, q := range u.running {
		q.router.own[u.start.ID]--
	}
	u.running = nil
}

// restart starts an upstream again, which all routers see.
func (s *site) restart(u *server) {
	u.down = false
	u.start.Started++
	u.answered, u.most, u.refused, u.late = 0, 0, 0, 0
	for _, r := range s.routers {
		r.tracker.Begin(u.start, pace.Registered, s.now)
	}
}

// windows returns the number of windows at all routers.
func (s *site) windows() int {
	n := 0
	for _, r := range s.routers {
		n += r.tracker.Len()
	}
	return n
}

// answered returns the answers of a part of the upstreams.
func answered(list []*server) int {
	n := 0
	for _, u := range list {
		n += u.answered
	}
	return n
}
