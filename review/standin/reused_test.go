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
	// payDeadline and payTimeout are those of the sheet's payments.
	payDeadline = 4 * time.Second
	payTimeout  = 4000
	// payWork is how long a payment takes at its runner.
	payWork = 60 * time.Millisecond
	// reuseAfter is reuse-after-s of the settings.
	reuseAfter = 2 * time.Second
	// standStill is how long the machine of the router stands still, at most for_s (5) of node_freeze.
	standStill = 3 * time.Second
)

// reusedAddress freezes the router's machine for standStill. Meanwhile a runner of the payment service crashes for good, and its
// address is given to a runner of another service no sooner than reuseAfter later. No payment may run at the other service.
func reusedAddress(sc *scenario) (int, error) {
	st, err := newStore()
	if err != nil {
		return 0, err
	}
	services := []object{
		{"name": "desk", "health-path": "/healthz", "max-conns": 100},
		{"name": "rates", "health-path": "/healthz", "max-conns": 100},
	}
	st.put("op/config", config(1, []object{
		route("pay", "/pay/", "non_idempotent", "desk", payTimeout, nil),
		route("look", "/look/", "idempotent", "rates", payTimeout, object{"max-attempts": 2}),
	}, services, nil))

	var broken atomic.Int64
	start := func(id, service, path, zone, address string) (*runner, error) {
		r := &runner{sc: sc, store: st, id: id, service: service, zone: zone, slots: 6}
		r.handler = func(w http.ResponseWriter, q *http.Request) {
			request := q.Header.Get("Request-Id")
			r.runs.Add(1)
			if !strings.HasPrefix(q.URL.Path, path) {
				broken.Add(1)
				sc.rec.line("ROUTE broken: runner %s of service %s RUNS request %s %s, which no configuration sends there", id, service, request, q.URL.Path)
			} else {
				sc.rec.line("runner %s (%s) runs request %s %s", id, service, request, q.URL.Path)
			}
			time.Sleep(payWork)
			r.sign(w, q)
			_, _ = w.Write([]byte(strings.Repeat("x", 800)))
		}
		sc.rec.line("runner %s of service %s starts at %s", id, service, address)
		return r, r.start(address)
	}
	var list []*runner
	for _, d := range []struct{ id, service, path, zone string }{
		{"i-d1", "desk", "/pay/", "palermo"}, {"i-d2", "desk", "/pay/", "catania"}, {"i-r1", "rates", "/look/", "catania"},
	} {
		r, err := start(d.id, d.service, d.path, d.zone, "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		list = append(list, r)
	}
	rt, err := startRouter(sc.dir, "edge-1", "palermo", st.address())
	if err != nil {
		return 0, err
	}
	defer rt.stop()
	if err := rt.awaitReady(10 * time.Second); err != nil {
		return 0, err
	}

	client := newClient()
	var wg sync.WaitGroup
	var answered, sent atomic.Int64
	stopClients := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stopClients:
				return
			case <-tick.C:
			}
			wg.Add(1)
			go func() {
				defer wg.Done()
				id, method, path := newID(), http.MethodPost, "/pay/1"
				if n%5 == 4 {
					method, path = http.MethodGet, "/look/1"
				}
				sent.Add(1)
				sc.rec.line("client sends %s %s", id, path)
				a := send(client, rt.callers, method, path, id, "", payDeadline, nil)
				sc.rec.line("client has %d (signature %q, error %v) for %s", a.status, a.signature, a.err, id)
				if a.status == http.StatusOK {
					answered.Add(1)
				}
			}()
		}
	}()
	time.Sleep(3 * time.Second)
	if answered.Load() == 0 {
		return 0, fmt.Errorf("no request was answered")
	}
	if sc.trouble {
		sc.rec.line("the router's machine stands still")
		if err := rt.signal(syscall.SIGSTOP); err != nil {
			return 0, err
		}
		frozen := time.Now()
		time.Sleep(200 * time.Millisecond)
		crashed := list[0]
		sc.rec.line("runner %s crashes for good", crashed.id)
		crashed.crash()
		time.Sleep(reuseAfter + 200*time.Millisecond)
		other, err := start("i-r2", "rates", "/look/", "palermo", crashed.address)
		if err != nil {
			return 0, err
		}
		list = append(list, other)
		time.Sleep(standStill - time.Since(frozen))
		sc.rec.line("the router's machine goes on")
		if err := rt.signal(syscall.SIGCONT); err != nil {
			return 0, err
		}
	}
	time.Sleep(8 * time.Second)
	close(stopClients)
	wg.Wait()
	sc.rec.line("%d requests sent, %d answered with 200", sent.Load(), answered.Load())
	return int(broken.Load()), nil
}
