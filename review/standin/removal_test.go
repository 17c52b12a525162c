package standin

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// drain is drain-ms of the settings.
	drain = 2 * time.Second
	// downTime is how long killed processes are down.
	downTime = 500 * time.Millisecond
	// stays is how long the runner goes on serving after the store has removed its entry.
	stays = 6 * time.Second
	// desks is the number of runners.
	desks = 12
)

// watchers are the routers that watch the store on behalf of all: the first three in the order that the routers derive from their names.
var watchers = map[string]bool{"edge-2": true, "edge-3": true, "edge-4": true}

// missedRemoval kills three of five routers at once and starts them again, as one runner leaves: the store removes its entry. No request
// may reach that runner later than drain after that.
func missedRemoval(sc *scenario) (int, error) {
	st, err := newStore()
	if err != nil {
		return 0, err
	}
	st.put("op/config", config(1, []object{route("pay", "/pay/", "non_idempotent", "desk", payTimeout, nil)},
		[]object{{"name": "desk", "health-path": "/healthz", "max-conns": 100}}, nil))
	var mu sync.Mutex
	var removedAt time.Time
	leavingAt := func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return removedAt
	}
	var broken, cut atomic.Int64
	var runners []*runner
	for i := range desks {
		r := &runner{sc: sc, store: st, id: fmt.Sprintf("i-d%d", i+1), service: "desk", zone: "palermo", slots: 6}
		r.handler = func(w http.ResponseWriter, q *http.Request) {
			id := q.Header.Get("Request-Id")
			r.runs.Add(1)
			if at := leavingAt(); r.id == "i-d1" && !at.IsZero() {
				late := time.Since(at)
				sc.rec.line("runner %s runs request %s, %d ms after the store has removed its entry", r.id, id, late.Milliseconds())
				if late > drain {
					broken.Add(1)
					sc.rec.line("DRAIN broken: request %s", id)
				}
			} else {
				sc.rec.line("runner %s runs request %s", r.id, id)
			}
			time.Sleep(payWork)
			r.sign(w, q)
			_, _ = w.Write([]byte(strings.Repeat("x", 800)))
		}
		if err := r.start("127.0.0.1:0"); err != nil {
			return 0, err
		}
		runners = append(runners, r)
		time.Sleep(heartbeat / desks)
	}
	names := []string{"edge-2", "edge-3", "edge-4", "edge-1", "edge-5"}
	var routers []*router
	seeds, err := freeSeeds(3)
	if err != nil {
		return 0, err
	}
	for i, vm := range names {
		rt, err := startRouterWith(sc.dir, vm, "palermo", st.address(), seeds, i)
		if err != nil {
			return 0, err
		}
		routers = append(routers, rt)
	}
	defer func() {
		for _, rt := range routers {
			rt.stop()
		}
	}()
	for _, rt := range routers {
		if err := rt.awaitReady(10 * time.Second); err != nil {
			return 0, err
		}
	}
	calm := func(rt *router) bool { return !watchers[rt.vm] }
	client := newClient()
	var wg sync.WaitGroup
	stopClients := make(chan struct{})
	for _, rt := range routers {
		if !calm(rt) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stopClients:
					return
				case <-time.After(8 * time.Millisecond):
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					id := newID()
					sc.rec.line("client sends %s to %s", id, rt.vm)
					a := send(client, rt.callers, http.MethodPost, "/pay/1", id, "", payDeadline, nil)
					sc.rec.line("client has %d (error %v) for %s", a.status, a.err, id)
					if a.status == http.StatusBadGateway {
						cut.Add(1)
					}
				}()
			}
		}()
	}
	time.Sleep(4 * time.Second)
	if runners[0].runs.Load() == 0 {
		return 0, fmt.Errorf("the runner that is to leave gets no requests")
	}
	var killed []int
	if sc.trouble {
		for i, rt := range routers {
			if calm(rt) {
				continue
			}
			sc.rec.line("the process of %s is killed", rt.vm)
			if err := rt.signal(syscall.SIGKILL); err != nil {
				return 0, err
			}
			<-rt.ended
			killed = append(killed, i)
		}
	}
	time.Sleep(50 * time.Millisecond)
	runners[0].leave()
	mu.Lock()
	removedAt = time.Now()
	mu.Unlock()
	sc.rec.line("runner %s leaves: the store has removed its entry", runners[0].id)
	time.Sleep(downTime - 100*time.Millisecond)
	for _, i := range killed {
		rt, err := routers[i].again()
		if err != nil {
			return 0, err
		}
		sc.rec.line("the process of %s starts again", rt.vm)
		routers[i] = rt
	}
	time.Sleep(stays)
	sc.rec.line("runner %s exits", runners[0].id)
	_ = runners[0].server.Close()
	time.Sleep(2 * time.Second)
	close(stopClients)
	wg.Wait()
	sc.rec.line("%d requests reached the runner too late, %d payments were answered with 502", broken.Load(), cut.Load())
	return int(broken.Load()), nil
}
