package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// crashPlan describes requests with a part that crashes runners, beside sound ones.
type crashPlan struct {
	resumable bool
	runners   int
	length    time.Duration
	// prefix returns the parts of a request's prompt, the last one of its own, and the model.
	prefix func(n int, crashes bool) (model string, parts []string)
	// batch is the number of requests that are sent at once, every is the time between two batches.
	batch int
	every time.Duration
}

const (
	crashPart = "deadbeef"
	// crashesBefore is the number of crashes after which the rule counts, maxAfter the number of requests that it allows then.
	crashesBefore = 5
	maxAfter      = 3
	soundEvery    = 200 * time.Millisecond
)

// playCrashes plays requests with a part that crashes runners: BUDGET. Without trouble the part crashes none.
func playCrashes(rec *record, root string, trouble bool, p crashPlan) (verdict, error) {
	s, err := newSite(rec, root, siteOptions{routers: 2, runners: p.runners, resumable: p.resumable, configure: func(u *runner) {
		u.events, u.pause = 60, 50*time.Millisecond
		if trouble {
			u.crashPart = crashPart
		}
	}})
	defer s.close()
	if err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	var sound, bad []result
	var wg sync.WaitGroup
	post := func(name string, n, router int, crashes bool, out *[]result) {
		model, parts := p.prefix(n, crashes)
		q := request{id: name + "-" + token()[:8], path: "/digest/a", model: model, prefix: parts, deadline: routeTimeout}
		r := send(rec, s.routers[router%len(s.routers)].callers, q)
		mu.Lock()
		defer mu.Unlock()
		*out = append(*out, r)
	}
	end := time.Now().Add(p.length)
	wg.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			wg.Go(func() { post(fmt.Sprintf("sound-%d", n), n, n, false, &sound) })
			time.Sleep(soundEvery)
		}
	})
	wg.Go(func() {
		time.Sleep(2 * time.Second)
		for n := 0; time.Now().Before(end); n++ {
			for i := range p.batch {
				wg.Go(func() { post(fmt.Sprintf("bad-%d.%d", n, i), n, i+n, true, &bad) })
			}
			time.Sleep(p.every)
		}
	})
	wg.Wait()
	for _, r := range s.routers {
		if r.ended() {
			return verdict{}, fmt.Errorf("%s has ended by itself", r.name)
		}
	}
	var reached []arrival
	for _, a := range s.arrivals() {
		if slices.Contains(a.parts, crashPart) && !a.turnedAway {
			reached = append(reached, a)
		}
	}
	slices.SortFunc(reached, func(a, b arrival) int { return a.at.Compare(b.at) })
	var crashed []arrival
	for _, a := range reached {
		if a.crashed {
			crashed = append(crashed, a)
		}
	}
	lostSound := 0
	for _, r := range sound {
		if r.status != 200 || !r.complete {
			lostSound++
		}
	}
	rec.write("%d requests with the part sent, %d arrivals of them at runners, %d crashes; %d of %d sound requests got no whole answer",
		len(bad), len(reached), len(crashed), lostSound, len(sound))
	if len(crashed) < crashesBefore {
		if trouble {
			return verdict{false, fmt.Sprintf("only %d crashes", len(crashed))}, nil
		}
		return verdict{lostSound > 0, fmt.Sprintf("no runner crashed, %d of %d sound requests got no whole answer", lostSound, len(sound))}, nil
	}
	fifth := crashed[crashesBefore-1].at.Add(s.runners[0].prefill)
	from := fifth.Add(contact)
	after := map[string]int{}
	arrivals := 0
	for _, r := range bad {
		for _, a := range reached {
			if a.request == r.id && a.at.After(from) {
				after[a.request]++
				arrivals++
				rec.write("counted: %s reached a runner at %.3f, %.3f s after the fifth crash", a.request, rec.since(a.at), a.at.Sub(fifth).Seconds())
			}
		}
	}
	return verdict{arrivals > maxAfter, fmt.Sprintf("%d arrivals of %d requests with the part at runners later than %s after the fifth crash, %d are allowed; %d crashes in all; %d of %d sound requests got no whole answer",
		arrivals, len(after), contact, maxAfter, len(crashed), lostSound, len(sound))}, nil
}

// batchThatCrashes sends the requests with the part in batches, on a route whose streams may not be resumed.
func batchThatCrashes(rec *record, root string, trouble bool) (verdict, error) {
	return playCrashes(rec, root, trouble, crashPlan{
		runners: 8, length: 30 * time.Second, batch: 8, every: 6 * time.Second,
		prefix: func(_ int, crashes bool) (string, []string) {
			if crashes {
				return "m", []string{"5c1e07a2", crashPart, token()[:8]}
			}
			return "m", []string{"5c1e07a2", "91bd3f06", token()[:8]}
		},
	})
}

// latePartThatCrashes sends prompts of forty parts, of which the thirty-sixth crashes runners.
func latePartThatCrashes(rec *record, root string, trouble bool) (verdict, error) {
	const parts, at = 40, 35
	return playCrashes(rec, root, trouble, crashPlan{
		resumable: true, runners: 8, length: 40 * time.Second, batch: 1, every: 3 * time.Second,
		prefix: func(_ int, crashes bool) (string, []string) {
			var out []string
			for i := range parts - 1 {
				out = append(out, fmt.Sprintf("5c1e%04x", i))
			}
			if crashes {
				out[at] = crashPart
			}
			return "m", append(out, token()[:8])
		},
	})
}

// modelsThatCrash sends the requests with the part for one model after the other.
func modelsThatCrash(rec *record, root string, trouble bool) (verdict, error) {
	const models = 7
	return playCrashes(rec, root, trouble, crashPlan{
		resumable: true, runners: 8, length: 40 * time.Second, batch: 1, every: 3 * time.Second,
		prefix: func(n int, crashes bool) (string, []string) {
			model := fmt.Sprintf("m-%d", n%models+1)
			if crashes {
				return model, []string{"5c1e07a2", crashPart, token()[:8]}
			}
			return model, []string{"5c1e07a2", "91bd3f06", token()[:8]}
		},
	})
}
