package standin

import (
	"fmt"
	"sync"
	"time"
)

// drain is drain-ms of the sheet of paanhat-lug.
const drain = 2 * time.Second

// entryFromAnotherWriter lets another writer put an entry with fields missing for a runner that has left: DRAIN.
func entryFromAnotherWriter(rec *record, root string, trouble bool) (verdict, error) {
	s, err := newSite(rec, root, siteOptions{routers: 2, runners: 3, configure: func(u *runner) {
		u.events, u.pause = 40, 50*time.Millisecond
	}})
	defer s.close()
	if err != nil {
		return verdict{}, err
	}
	leaving := s.runners[0]
	leaving.mu.Lock()
	id := leaving.id
	leaving.mu.Unlock()
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	end := time.Now().Add(14 * time.Second)
	wg.Go(func() {
		for n := 0; time.Now().Before(end); n++ {
			wg.Go(func() {
				q := request{id: fmt.Sprintf("stream-%d-%s", n, token()[:6]), path: "/digest/a", model: "m", prefix: []string{"5c1e07a2", token()[:8]}, deadline: routeTimeout}
				r := send(rec, s.routers[n%2].callers, q)
				mu.Lock()
				defer mu.Unlock()
				results = append(results, r)
			})
			time.Sleep(200 * time.Millisecond)
		}
	})
	time.Sleep(2 * time.Second)
	leaving.stopBeat()
	time.Sleep(50 * time.Millisecond)
	s.store.delete("servers/" + id)
	gone := rec.write("the entry of runner %s is removed: it leaves, and serves on for drain-ms and a little longer", id)
	time.Sleep(drain + time.Second)
	if trouble {
		rec.write("another writer puts an entry for %s with the fields version, cold-left-ms, seq and born missing", id)
		s.store.write("servers/"+id, map[string]any{"service": "lug-pool", "address": leaving.address, "zone": leaving.zone, "slots": 64, "state": "ready"})
	}
	time.Sleep(5 * time.Second)
	rec.write("runner %s exits", id)
	leaving.stop()
	wg.Wait()
	late := 0
	for _, a := range leaving.all() {
		if a.at.After(gone.Add(drain)) {
			late++
			rec.write("counted: %s reached the runner %.3f s after its entry was removed", a.request, a.at.Sub(gone).Seconds())
		}
	}
	lostStreams := 0
	for _, r := range results {
		if r.status != 200 || !r.complete {
			lostStreams++
		}
	}
	return verdict{late > 0, fmt.Sprintf("%d requests reached the runner later than %s after its entry was removed; %d of %d streams got no whole answer", late, drain, lostStreams, len(results))}, nil
}
