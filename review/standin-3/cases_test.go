package standin_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// unframedStream kills the only runner of a stream, which has no length, between two events.
func unframedStream(s *site) bool {
	const deadline = 25 * time.Second
	s.configure()
	u := s.addRunnerProcess("pool")
	s.startRouters(2)
	id := newID()
	done := make(chan reply, 1)
	go func() { done <- send(s.routers[0], "/read/7", id, deadline, prompt(id, pieces)) }()
	time.Sleep(pieces / 2 * piecePause)
	if s.trouble {
		u.stop()
		s.note("runner %s killed", u.id)
	}
	got := <-done
	s.note("sent %s, a stream of %d events", id, pieces)
	s.note("answered %s", got)
	s.note("the client has %d of %d events", strings.Count(got.body, "id: "), pieces)
	return got.status == http.StatusOK && got.complete && got.body != streamOf(id, pieces)
}

// unframedCall kills the runner of a call, the answer to which has no length, halfway through it.
func unframedCall(s *site) bool {
	const deadline = 4 * time.Second
	s.configure()
	var all []*runner
	for range 3 {
		all = append(all, s.addRunnerProcess("desk"))
	}
	s.startRouters(2)
	broken := false
	for i, path := range []string{"/slip/7", "/look/7"} {
		id := newID()
		done := make(chan reply, 1)
		go func() { done <- send(s.routers[i], path, id, deadline, nil) }()
		time.Sleep(pieces / 2 * piecePause)
		if s.trouble && i == 0 {
			for _, u := range all {
				u.stop()
			}
			s.note("runners killed")
		}
		got := <-done
		s.note("sent %s to %s", id, path)
		s.note("answered %s", got)
		s.note("the client has %d of %d bytes", len(got.body), len(callOf(id)))
		broken = broken || got.status == http.StatusOK && got.complete && got.body != callOf(id)
		if s.trouble {
			break
		}
	}
	return broken
}

// pauseWaiting has requests wait for a runner that names a limit, and then turns one of them away with a pause.
func pauseWaiting(s *site) bool {
	const (
		limit    = "Server-Limit: 2\r\n"
		pause    = 6 * time.Second
		deadline = 25 * time.Second
		requests = 12
	)
	s.configure()
	var mu sync.Mutex
	var asked time.Time
	u := s.addRunner("pool", func(u *runner, w io.Writer, r *http.Request) (string, bool) {
		mu.Lock()
		now := time.Now()
		if s.trouble && asked.IsZero() && len(u.all()) == 4 {
			asked = now
		}
		left := asked.Add(pause).Sub(now)
		mu.Unlock()
		if left > 0 {
			return turnAway(u, w, r, left)
		}
		return stream(u, w, r, 4, 10*time.Millisecond, limit)
	})
	s.startRouters(1)
	first := newID()
	s.note("answered %s", send(s.routers[0], "/digest/7", first, deadline, prompt(first, 4)))
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			id := newID()
			s.note("sent %s", id)
			s.note("answered %s", send(s.routers[0], "/digest/7", id, deadline, prompt(id, 4)))
		})
	}
	wg.Wait()
	n := 0
	for _, a := range u.all() {
		s.note("runner %s got %s %.3f s after the pause was asked for: %s", u.id, a.id, a.at.Sub(asked).Seconds(), a.answer)
		if a.at.After(asked.Add(500*time.Millisecond)) && a.at.Before(asked.Add(pause)) {
			n++
		}
	}
	s.note("%d requests between half a second after the pause was asked for and its end; at most two are allowed", n)
	return n > 2
}

// limitLowered has requests wait for a runner that names a limit, and then lowers the limit.
func limitLowered(s *site) bool {
	const (
		before, after = 8.0, 1.0
		deadline      = 25 * time.Second
		requests      = 60
		window        = 4 * time.Second
		settle        = 500 * time.Millisecond
	)
	s.configure()
	var mu sync.Mutex
	var lowered time.Time
	u := s.addRunner("pool", func(u *runner, w io.Writer, r *http.Request) (string, bool) {
		mu.Lock()
		if s.trouble && lowered.IsZero() && len(u.all()) == 34 {
			lowered = time.Now()
		}
		limit := "Server-Limit: 8\r\n"
		if !lowered.IsZero() {
			limit = "Server-Limit: 1\r\n"
		}
		mu.Unlock()
		answer, keep := stream(u, w, r, 4, 10*time.Millisecond, limit)
		return answer + ", " + strings.TrimSpace(limit), keep
	})
	s.startRouters(1)
	first := newID()
	s.note("answered %s", send(s.routers[0], "/digest/7", first, deadline, prompt(first, 4)))
	named := time.Now()
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			id := newID()
			s.note("sent %s", id)
			s.note("answered %s", send(s.routers[0], "/digest/7", id, deadline, prompt(id, 4)))
		})
	}
	wg.Wait()
	all := u.all()
	limit, from := before, named.Add(3*time.Second)
	if !lowered.IsZero() {
		limit, from = after, lowered.Add(settle)
		if from.Before(named.Add(3 * time.Second)) {
			from = named.Add(3 * time.Second)
		}
	}
	most := 0
	for i, a := range all {
		s.note("runner %s got %s %.3f s after its first answer: %s", u.id, a.id, a.at.Sub(named).Seconds(), a.answer)
		if a.at.Before(from) {
			continue
		}
		n := 0
		for _, b := range all[i:] {
			if b.at.Sub(a.at) < window {
				n++
			}
		}
		most = max(most, n)
	}
	allowed := 1.5*limit*window.Seconds() + 5
	s.note("at most %d requests in some 4 s that begin %.3f s after the first answer or later, at a limit of %v a second; %v are allowed",
		most, from.Sub(named).Seconds(), limit, allowed)
	return float64(most) > allowed
}

// pauseAndLapse has a runner ask for a pause, in which the store is down and the entries of the runners lapse.
func pauseAndLapse(s *site) bool {
	const (
		pause    = 20 * time.Second
		outage   = 5 * time.Second
		deadline = 4 * time.Second
	)
	s.configure()
	var mu sync.Mutex
	asked := map[*runner]time.Time{}
	var paused *runner
	serve := func(u *runner, w io.Writer, r *http.Request) (string, bool) {
		mu.Lock()
		now := time.Now()
		if paused == nil {
			paused = u
			asked[u] = now
		}
		left := asked[u].Add(pause).Sub(now)
		mu.Unlock()
		if u == paused && left > 0 {
			return turnAway(u, w, r, left)
		}
		time.Sleep(30 * time.Millisecond)
		body := "done " + r.Header.Get("Request-Id")
		_, err := io.WriteString(w, head(u, r, "200 OK", signature(r))+"Content-Length: "+itoa(len(body))+"\r\n\r\n"+body)
		return "200", err == nil
	}
	for range 3 {
		s.addRunner("desk", serve)
	}
	s.startRouters(1)
	begin := time.Now()
	down, back := begin.Add(2*time.Second), begin.Add(2*time.Second+outage)
	over := begin.Add(pause - time.Second)
	lapsed := false
	for i := 0; time.Now().Before(over); i++ {
		now := time.Now()
		switch {
		case !s.trouble:
		case now.After(down) && !down.IsZero():
			s.note("the store is down")
			s.store.setDown(true)
			down = time.Time{}
		case !lapsed && down.IsZero() && now.After(back.Add(-outage+3*heartbeat)):
			lapsed = true
			for _, u := range s.runners {
				s.store.lapse(u.key())
			}
			s.note("the entries of the runners have lapsed")
		case now.After(back) && !back.IsZero():
			s.note("the store is back")
			s.store.setDown(false)
			back = time.Time{}
		}
		id := newID()
		got := send(s.routers[0], "/slip/7", id, deadline, nil)
		s.note("sent %s at %.3f, answered %s", id, got.sent.Sub(s.begin).Seconds(), got)
		time.Sleep(20 * time.Millisecond)
	}
	at := asked[paused]
	n := 0
	for _, a := range paused.all() {
		s.note("runner %s got %s %.3f s after it had asked for a pause of %s: %s", paused.id, a.id, a.at.Sub(at).Seconds(), pause, a.answer)
		if a.at.After(at.Add(500*time.Millisecond)) && a.at.Before(at.Add(pause)) {
			n++
		}
	}
	s.note("%d requests between half a second after the pause was asked for and its end; at most two are allowed", n)
	return n > 2
}

// budgetHerdKill has all runners of a service turn requests away, and kills all routers at once.
func budgetHerdKill(s *site) bool {
	const (
		ratio, slack = 0.8, 150
		window       = 10 * time.Second
		deadline     = 25 * time.Second
		perRequest   = 100 * time.Millisecond
		length       = 24 * time.Second
		routers      = 4
	)
	s.configure()
	full := func(u *runner, w io.Writer, r *http.Request) (string, bool) { return turnAway(u, w, r, 0) }
	for range 8 {
		s.addRunner("pool", full)
	}
	s.startRouters(routers)
	begin := time.Now()
	kills := []time.Duration{13 * time.Second}
	var sent []time.Time
	var wg sync.WaitGroup
	for i := 0; time.Since(begin) < length; i++ {
		if s.trouble && len(kills) > 0 && time.Since(begin) > kills[0] {
			kills = kills[1:]
			s.note("all routers killed")
			for _, r := range s.routers {
				wg.Go(func() {
					r.kill()
					time.Sleep(700 * time.Millisecond)
					r.start()
				})
			}
		}
		id := newID()
		sent = append(sent, time.Now())
		r := s.routers[i%routers]
		wg.Go(func() { s.note("answered %s", send(r, "/digest/7", id, deadline, prompt(id, 4))) })
		time.Sleep(perRequest)
	}
	wg.Wait()
	seen := map[string]bool{}
	var repeats []time.Time
	var all []arrival
	for _, u := range s.runners {
		all = append(all, u.all()...)
	}
	sortArrivals(all)
	for _, a := range all {
		if seen[a.id] {
			repeats = append(repeats, a.at)
		}
		seen[a.id] = true
	}
	in := func(list []time.Time, from time.Time) (n int) {
		for _, t := range list {
			if !t.Before(from) && t.Before(from.Add(window)) {
				n++
			}
		}
		return n
	}
	s.note("%d requests, %d arrivals, %d repeats", len(sent), len(all), len(repeats))
	worst := -1e9
	for _, from := range repeats {
		requests := max(in(sent, from), in(sent, from.Add(-window/2)), in(sent, from.Add(-window)))
		n := in(repeats, from)
		if over := float64(n) - ratio*float64(requests) - slack; over > worst {
			worst = over
			s.note("%d repeats in the 10 s from %.1f s on, %d requests: %.1f allowed", n, from.Sub(s.begin).Seconds(), requests, ratio*float64(requests)+slack)
		}
	}
	return worst > 0
}
