package standin

import (
	"fmt"
	"sync"
	"time"
)

// crashAfterCrash crashes one of eight runners, and another one while it reads the prompts of streams that go on there: ORDER.
func crashAfterCrash(rec *record, root string, trouble bool) (verdict, error) {
	const (
		rounds    = 10
		roundTime = 5 * time.Second
		every     = 80 * time.Millisecond
		// secondAfter is the time from the first crash of a round to the second one, within which prompts are read again.
		secondAfter = 400 * time.Millisecond
	)
	s, err := newSite(rec, root, siteOptions{routers: 2, runners: 8, resumable: true, configure: func(u *runner) {
		u.unframed = true
		u.prefill, u.events, u.pause = 800*time.Millisecond, 60, 50*time.Millisecond
	}})
	defer s.close()
	if err != nil {
		return verdict{}, err
	}
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	end := time.Now().Add(rounds*roundTime + 2*time.Second)
	wg.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			wg.Go(func() {
				q := request{id: fmt.Sprintf("stream-%d-%s", n, token()[:6]), path: "/digest/a", model: "m", prefix: []string{"5c1e07a2", token()[:8]}, deadline: routeTimeout}
				r := send(rec, s.routers[n%len(s.routers)].callers, q)
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
			time.Sleep(every)
		}
	})
	time.Sleep(2 * time.Second)
	for n := range rounds {
		if trouble {
			s.runners[2*n%len(s.runners)].crashUnframed()
			time.Sleep(secondAfter)
			s.runners[(2*n+1)%len(s.runners)].crashUnframed()
		}
		time.Sleep(roundTime - secondAfter)
	}
	wg.Wait()
	short, whole := 0, 0
	for _, r := range results {
		if r.status != 200 || !r.complete {
			continue
		}
		whole++
		// All runs that a crash has cut after their first event were cut in the middle of one, so that the client knows of more.
		if problem, missing := checkPieces(parsePieces(r.body), s.runners[0].events); missing {
			short++
			rec.write("%s ends as complete, but %s", r.id, problem)
		}
	}
	if !trouble && whole < len(results) {
		return verdict{true, fmt.Sprintf("only %d of %d streams ended as complete", whole, len(results))}, nil
	}
	return verdict{short > 0, fmt.Sprintf("%d of %d streams that ended as complete lack pieces, of %d in all", short, whole, len(results))}, nil
}
