package standin

import (
	"fmt"
	"sync"
	"time"
)

// spoiledID lets two of four runners spoil a byte in one of fifty streams, in the id of an event: ORDER.
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
	twice, missing, whole := 0, 0, 0
	for _, r := range results {
		if r.status != 200 || !r.complete {
			continue
		}
		whole++
		problem, isMissing := checkPieces(parsePieces(r.body), s.runners[0].events)
		switch {
		case problem == "":
			continue
		case isMissing:
			missing++
		default:
			twice++
		}
		rec.write("%s is complete but wrong: %s", r.id, problem)
		rec.write("%s got: %q", r.id, r.body)
	}
	if !trouble && whole < streams {
		return verdict{true, fmt.Sprintf("only %d of %d streams ended as complete", whole, len(results))}, nil
	}
	return verdict{twice+missing > 0, fmt.Sprintf("of %d streams that ended as complete, %d lack pieces, and %d hold a piece twice", whole, missing, twice)}, nil
}
