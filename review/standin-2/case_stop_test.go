package standin

import (
	"fmt"
	"sync"
	"time"
)

// stopWhileRunnersPause stops one of two routers as planned while both runners of a service have asked for a pause: LOST.
func stopWhileRunnersPause(rec *record, root string, trouble bool) (verdict, error) {
	const (
		pause   = 10 * time.Second
		clients = 4
	)
	s, err := newSite(rec, root, siteOptions{routers: 2, runners: 2})
	defer s.close()
	if err != nil {
		return verdict{}, err
	}
	for _, u := range s.runners {
		u.mu.Lock()
		u.pausedUntil = time.Now().Add(pause)
		u.mu.Unlock()
	}
	stopping := s.routers[0]
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	// Each client sends one request, and once more if it is told that the request has not run.
	for i := range clients {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 150 * time.Millisecond)
			q := request{path: "/digest/a", model: "m", prefix: []string{"5c1e07a2", token()[:8]}, deadline: routeTimeout}
			address := stopping.callers
			for attempt := range 2 {
				q.id = fmt.Sprintf("client-%d-%d-%s", i+1, attempt+1, token()[:6])
				r := send(rec, address, q)
				mu.Lock()
				results = append(results, r)
				mu.Unlock()
				if r.status != 503 && r.status != 429 {
					return
				}
				var after float64
				_, _ = fmt.Sscan(r.retryAfter, &after)
				time.Sleep(time.Duration(after * float64(time.Second)))
				q.deadline -= time.Since(r.sentAt)
				address = s.routers[1].callers
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	var termAt time.Time
	if trouble {
		termAt = rec.write("SIGTERM to %s", stopping.name)
		stopping.terminate()
	}
	wg.Wait()
	if trouble {
		select {
		case <-stopping.done:
			rec.write("%s has ended", stopping.name)
		case <-time.After(grace):
			return verdict{}, fmt.Errorf("%s has not ended", stopping.name)
		}
	}
	reached := map[string]bool{}
	for _, a := range s.arrivals() {
		if !a.turnedAway {
			reached[a.request] = true
		}
	}
	broken := 0
	for _, r := range results {
		if r.status != 0 && (r.status != 200 || r.complete) {
			continue
		}
		// The rule counts an end later than lost-ms after the request was sent, up to a second after grace-s. A runner that was at work
		// on the request would excuse it.
		inTime := trouble && r.endedAt.Sub(r.sentAt) > lost && r.endedAt.Sub(termAt) <= grace+time.Second
		rec.write("%s has no complete answer; a runner was at work on it: %t; it counts: %t", r.id, reached[r.id], inTime && !reached[r.id])
		if !trouble || inTime && !reached[r.id] {
			broken++
		}
	}
	return verdict{broken > 0, fmt.Sprintf("%d of %d requests ended without an answer, although no runner was at work on them", broken, len(results))}, nil
}
