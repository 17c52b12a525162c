package standin_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// unframedStream kills the runner of a stream, which has no length and cannot go on elsewhere, between two events.
func unframedStream(s *site) bool {
	return s.killHalfway("/read/7", 25*time.Second, s.addRunnerProcesses("pool"), streamOf)
}

// unframedCall kills the runner of a call, the answer to which has no length, halfway through it.
func unframedCall(s *site) bool {
	return s.killHalfway("/slip/7", 4*time.Second, s.addRunnerProcesses("desk"), callOf)
}

// addRunnerProcesses writes the configuration and adds a runner process of a service in each zone.
func (s *site) addRunnerProcesses(service string) (out []*runner) {
	s.configure()
	for range zones {
		out = append(out, s.addRunnerProcess(service))
	}
	return out
}

// killHalfway sends a request, kills its runner halfway through the answer, and reports whether a part of it passes as the whole answer.
func (s *site) killHalfway(path string, deadline time.Duration, list []*runner, whole func(id string) string) bool {
	s.startRouters(2)
	id := newID()
	done := make(chan reply, 1)
	go func() { done <- send(s.routers[0], path, id, deadline, prompt(id, pieces)) }()
	u := await(id, list)
	s.note("runner %s begins to answer %s", u.id, id)
	time.Sleep(pieces/2*piecePause - piecePause/2)
	if s.trouble {
		u.stop()
		s.note("runner %s killed, one of %d", u.id, len(list))
	}
	got := <-done
	s.note("sent %s to %s, answered %s", id, path, got)
	s.note("the client has %d of %d bytes", len(got.body), len(whole(id)))
	return got.status == http.StatusOK && got.complete && got.body != whole(id)
}

// unframedResume kills the runner of a stream, which has no length and could go on elsewhere, between two events, while the only other
// runner of the service has asked for a pause of some seconds.
func unframedResume(s *site) bool {
	const (
		deadline = 25 * time.Second
		pause    = 8 * time.Second
	)
	s.configure()
	u := s.addRunnerProcess("pool")
	other := s.addRunner("pool", func(u *runner, w io.Writer, r *http.Request) (string, bool) {
		if all := u.all(); time.Since(all[0].at) < pause {
			return turnAway(u, w, r, pause-time.Since(all[0].at))
		}
		return stream(u, w, r, pieces, piecePause, "")
	})
	s.startRouters(1)
	for len(other.all()) == 0 {
		var wg sync.WaitGroup
		for range 6 {
			wg.Go(func() {
				id := newID()
				s.note("answered %s", send(s.routers[0], "/digest/7", id, deadline, prompt(id, pieces)))
			})
		}
		wg.Wait()
	}
	s.note("runner %s has asked for a pause of %s", other.id, pause)
	id := newID()
	done := make(chan reply, 1)
	go func() { done <- send(s.routers[0], "/digest/7", id, deadline, prompt(id, pieces)) }()
	await(id, []*runner{u})
	s.note("runner %s begins to answer %s", u.id, id)
	time.Sleep(pieces/2*piecePause - piecePause/2)
	if s.trouble {
		u.stop()
		s.note("runner %s killed", u.id)
	}
	got := <-done
	s.note("sent %s, a stream of %d events", id, pieces)
	s.note("answered %s", got)
	s.note("the client has %d of %d events after %.1f s of its %s", strings.Count(got.body, "id: "), pieces, time.Since(got.sent).Seconds(), deadline)
	return got.status == http.StatusOK && got.complete && got.body != streamOf(id)
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
	if !asked.IsZero() {
		s.note("runner %s asked for a pause of %s at %.3f", u.id, pause, asked.Sub(s.begin).Seconds())
	}
	n := 0
	for _, a := range u.all() {
		s.note("runner %s got %s at %.3f: %s", u.id, a.id, a.at.Sub(s.begin).Seconds(), a.answer)
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

// limitQuiet has many users come at once, some quiet seconds after the only answer of a runner that names a limit which never changes.
func limitQuiet(s *site) bool {
	const (
		limit    = 2.0
		quiet    = 12 * time.Second
		deadline = 25 * time.Second
		requests = 60
		calm     = 12
		work     = 300 * time.Millisecond
		window   = 4 * time.Second
	)
	s.configure()
	u := s.addRunner("pool", func(u *runner, w io.Writer, r *http.Request) (string, bool) {
		time.Sleep(work)
		answer, keep := stream(u, w, r, 4, 10*time.Millisecond, "Server-Limit: 2\r\n")
		return answer + ", Server-Limit: 2", keep
	})
	s.startRouters(1)
	first := newID()
	s.note("answered %s", send(s.routers[0], "/digest/7", first, deadline, prompt(first, 4)))
	time.Sleep(quiet)
	var wg sync.WaitGroup
	request := func() {
		wg.Go(func() {
			id := newID()
			s.note("sent %s", id)
			s.note("answered %s", send(s.routers[0], "/digest/7", id, deadline, prompt(id, 4)))
		})
	}
	if s.trouble {
		for range requests {
			request()
		}
	} else {
		for range calm {
			request()
			time.Sleep(time.Second / limit)
		}
	}
	wg.Wait()
	all := u.all()
	most := 0
	for i, a := range all[1:] {
		s.note("runner %s got %s at %.3f: %s", u.id, a.id, a.at.Sub(s.begin).Seconds(), a.answer)
		n := 0
		for _, b := range all[1+i:] {
			if b.at.Sub(a.at) < window {
				n++
			}
		}
		most = max(most, n)
	}
	allowed := 1.5*limit*window.Seconds() + 5
	s.note("at most %d requests in some 4 s, %s after the limit was named, at a limit of %v a second; %v are allowed", most, quiet, limit, allowed)
	return float64(most) > allowed
}

// budgetHerdKill has all runners of a service turn requests away, and kills all routers at once.
func budgetHerdKill(s *site) bool {
	const (
		ratio, slack = 0.8, 150
		window       = 10 * time.Second
		deadline     = 25 * time.Second
		perRequest   = 100 * time.Millisecond
		calm         = 10 * time.Second
		length       = 26 * time.Second
		routers      = 4
	)
	s.configure()
	var full atomic.Bool
	for range 8 {
		s.addRunner("pool", func(u *runner, w io.Writer, r *http.Request) (string, bool) {
			if full.Load() {
				return turnAway(u, w, r, 0)
			}
			return stream(u, w, r, 4, 10*time.Millisecond, "")
		})
	}
	s.startRouters(routers)
	begin := time.Now()
	// The runners are full after the calm, and the routers are killed once they have used the budget.
	killAt := calm + 5*time.Second
	var sent []time.Time
	var wg sync.WaitGroup
	for i := 0; time.Since(begin) < length; i++ {
		if !full.Load() && time.Since(begin) > calm {
			full.Store(true)
			s.note("all runners are full")
		}
		if s.trouble && killAt > 0 && time.Since(begin) > killAt {
			killAt = 0
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

// stopQueued stops a router while some of its requests wait: streams in the queue of a runner, all of whose places are taken, and calls at
// the router itself, since the runners of their service are busy.
func stopQueued(s *site) bool {
	const (
		slots, streams = 8, 12
		events         = 150
		pause          = 60 * time.Millisecond
		calls          = 40
		work           = 3 * time.Second
		deadline       = 20 * time.Second
		grace          = 8 * time.Second
		lost           = 200 * time.Millisecond
	)
	s.configure()
	var mu sync.Mutex
	began := map[string]time.Time{}
	places := map[*runner]chan struct{}{}
	serve := func(u *runner, w io.Writer, r *http.Request) (string, bool) {
		mu.Lock()
		place := places[u]
		if place == nil {
			place = make(chan struct{}, slots)
			places[u] = place
		}
		mu.Unlock()
		place <- struct{}{}
		defer func() { <-place }()
		mu.Lock()
		began[r.Header.Get("Request-Id")] = time.Now()
		mu.Unlock()
		if u.service == "pool" {
			return stream(u, w, r, events, pause, "")
		}
		time.Sleep(work)
		body := "done " + r.Header.Get("Request-Id")
		_, err := io.WriteString(w, head(u, r, "200 OK", signature(r))+"Content-Length: "+itoa(len(body))+"\r\n\r\n"+body)
		return "200", err == nil
	}
	s.addRunner("pool", serve)
	s.addRunner("desk", serve)
	s.startRouters(4)
	r := s.routers[0]
	type request struct {
		path string
		reply
		answered time.Time
	}
	var all []request
	var wg sync.WaitGroup
	ask := func(path string, headers map[string]string, id string) {
		wg.Go(func() {
			got := send(r, path, id, deadline, headers)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, request{path, got, time.Now()})
		})
	}
	for range streams {
		id := newID()
		ask("/digest/7", prompt(id, events), id)
	}
	for range calls {
		ask("/entry/7", nil, newID())
	}
	time.Sleep(time.Second)
	stopped := time.Now()
	if s.trouble {
		must(r.cmd.Process.Signal(syscall.SIGTERM))
		s.note("SIGTERM of %s", r.name)
		select {
		case <-r.exited:
			s.note("%s has ended by itself", r.name)
		case <-time.After(grace):
			r.kill()
			s.note("SIGKILL of %s", r.name)
		}
	}
	ended := time.Now()
	wg.Wait()
	arrived := map[string]bool{}
	for _, u := range s.runners {
		for _, a := range u.all() {
			arrived[a.id] = true
		}
	}
	broken := map[string]int{}
	for _, got := range all {
		at, ran := began[got.id]
		what := "a runner was at work on it"
		switch {
		case !arrived[got.id]:
			what = "not passed on"
		case !ran || at.After(ended):
			what = "passed on, no runner had begun to work on it"
		}
		s.note("%s %s, sent %.3f s before the SIGTERM and ended %.3f s after it; %s; answered %s", got.path, got.id, stopped.Sub(got.sent).Seconds(),
			got.answered.Sub(stopped).Seconds(), what, got.reply)
		if s.trouble && !got.complete && !(ran && at.Before(ended)) && got.answered.Sub(got.sent) > lost {
			broken[got.path+", "+what]++
		}
	}
	s.note("requests without a complete answer although no runner was at work on them: %v", broken)
	return len(broken) > 0
}
