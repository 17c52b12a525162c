package standin

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// streams is the number of generations at the same time.
	streams = 60
	// breakAfter is the time from the extra answer until the faulty runner breaks off an answer.
	breakAfter = 500 * time.Millisecond
)

// foreignMemory has one runner crash for good, so that the router orders new copies of the memory of its generations elsewhere. One of the other
// runners is faulty: it sends its answer to such an order a second time, late, on a connection that is in use again, and breaks off one
// answer. No generation may go on from the memory of another one.
func foreignMemory(sc *scenario) (int, error) {
	st, err := newStore()
	if err != nil {
		return 0, err
	}
	st.put("op/config", config(1, []object{
		route("digest", "/digest/", "streaming", "pool", 25000, object{
			"max-attempts": 5, "target-latency-ms": 4500, "resumable": true, "gap-aim-ms": 700, "sticky": true, "priority": 1,
		}),
	}, []object{{
		"name": "pool", "health-path": "/healthz", "max-conns": 360,
		"engine": object{"slots": 64, "kv-capacity": 55000, "backups": true, "stride": 4},
	}}, nil))
	s := &site{sc: sc, store: st, engines: map[string]*engine{}}
	var engines []*engine
	for i, zone := range []string{"teesta-ghat", "karala-hall", "haat-mor"} {
		e, err := s.startEngine(fmt.Sprintf("i-e%d", i+1), zone)
		if err != nil {
			return 0, err
		}
		engines = append(engines, e)
	}
	rt, err := startRouter(sc.dir, "edge-1", "teesta-ghat", st.address())
	if err != nil {
		return 0, err
	}
	defer rt.stop()
	if err := rt.awaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	var wg sync.WaitGroup
	var foreignText, complete atomic.Int64
	for range streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if readStream(sc, rt.callers, &foreignText) {
				complete.Add(1)
			}
		}()
		time.Sleep(15 * time.Millisecond)
	}
	if sc.trouble {
		time.Sleep(time.Second)
		lost, faulty := choose(engines)
		if faulty == nil {
			return 0, fmt.Errorf("no two generations of one runner have their copies at the same one")
		}
		got := make(chan string, 1)
		faulty.mu.Lock()
		faulty.extra = true
		faulty.onExtra = func(request, _ string) { got <- request }
		faulty.mu.Unlock()
		lost.crashEngine()
		select {
		case request := <-got:
			time.Sleep(breakAfter)
			faulty.breakOff(request)
		case <-time.After(9 * time.Second):
			sc.rec.line("no connection carried the transfers of two requests")
		}
	}
	wg.Wait()
	n := 0
	for _, e := range engines {
		e.mu.Lock()
		n += e.answers
		sc.rec.line("runner %s gave %d answers", e.id, e.answers)
		e.mu.Unlock()
	}
	sc.rec.line("%d of %d generations complete with their own text; the first three runners gave %d answers", complete.Load(), streams, n)
	if !sc.trouble && complete.Load() != streams {
		return 0, fmt.Errorf("%d of %d generations are complete without the disruption", complete.Load(), streams)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.foreign + int(foreignText.Load()), nil
}

// choose returns the runner that is to crash and the one that is to be faulty: two generations or more run at the faulty one and have
// their copies at the other.
func choose(engines []*engine) (lost, faulty *engine) {
	most := 1
	for _, e := range engines {
		for _, host := range engines {
			if n := e.runsWithBackup(host.address); e != host && n > most {
				lost, faulty, most = host, e, n
			}
		}
	}
	return lost, faulty
}

// readStream sends a generation and reads its events. It reports whether it was complete and all of it its own text.
func readStream(sc *scenario, router string, foreignText *atomic.Int64) bool {
	id := newID()
	q, err := http.NewRequest(http.MethodPost, "http://"+router+"/digest/1", strings.NewReader(strings.Repeat("p", 1000)))
	if err != nil {
		return false
	}
	q.Host = host
	for k, v := range map[string]string{
		"Request-Id": id, "Deadline-Ms": "25000", "Model": "m", "Token-Counts": "300,800", "Prompt-Prefix": "5c1e07a2:100," + id[:8] + ":200",
	} {
		q.Header.Set(k, v)
	}
	sc.rec.line("client sends %s", id)
	resp, err := newClient().Do(q)
	if err != nil {
		sc.rec.line("client has %v for %s", err, id)
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	sc.rec.line("client has %d for %s, signature %s", resp.StatusCode, id, resp.Header.Get("Server-Signature"))
	next, own := 1, true
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		text, isData := strings.CutPrefix(lines.Text(), "data: ")
		if !isData {
			continue
		}
		if text != fmt.Sprintf("%s-%d", id, next) {
			if own {
				foreignText.Add(1)
				sc.rec.line("MIXED broken: the client of %s gets %q as event %d", id, text, next)
			}
			own = false
		}
		next++
	}
	sc.rec.line("client of %s has %d events, error %v", id, next-1, lines.Err())
	return lines.Err() == nil && next == streamEvents+1 && own
}
