package main

import (
	"fmt"
	"sync"
	"time"
)

// spoiledID lets two of four runners spoil a byte in one of fifty streams, in the name of one event's id: ORDER.
func spoiledID(rec *record, root string, trouble bool) (verdict, error) {
	const (
		streams    = 600
		every      = 40 * time.Millisecond
		spoilEvery = 50
	)
	s, err := newSite(rec, root, siteOptions{routers: 2, runners: 4, resumable: true})
	defer s.close()
	if err != nil {
		return verdict{}, err
	}
	for _, u := range s.runners[:2] {
		if !trouble {
			break
		}
		u.mu.Lock()
		u.spoilEvery = spoilEvery
		rec.write("runner %s spoils one of %d answers", u.id, spoilEvery)
		u.mu.Unlock()
	}
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			q := request{id: fmt.Sprintf("stream-%d-%s", i, token()[:6]), path: "/digest/a", model: "m", prefix: []string{"5c1e07a2", token()[:8]}, deadline: routeTimeout}
			r := send(rec, s.routers[i%len(s.routers)].callers, q)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
		time.Sleep(every)
	}
	wg.Wait()
	broken, joined, whole := 0, 0, 0
	for _, r := range results {
		if r.status != 200 || !r.complete {
			continue
		}
		whole++
		pieces := parsePieces(r.body)
		if runsOf(pieces) > 1 {
			joined++
		}
		if problem := checkPieces(pieces, s.runners[0].events); problem != "" {
			broken++
			rec.write("%s is complete but wrong: %s", r.id, problem)
			rec.write("%s got: %q", r.id, r.body)
		}
	}
	if !trouble && whole < streams {
		return verdict{true, fmt.Sprintf("only %d of %d streams ended as complete", whole, len(results))}, nil
	}
	return verdict{broken > 0, fmt.Sprintf("%d of %d streams that ended as complete are wrong; %d of all went on at another runner", broken, whole, joined)}, nil
}
