package standin

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// contact, applyTime are contact-ms and config-apply-ms of the settings.
	contact   = 3 * time.Second
	applyTime = 2 * time.Second
	// turnedAway is how long the store turns the router's machine away, at most 9 s in the site file.
	turnedAway = 5 * time.Second
	// storm and stormGap are for_s and gap_s of the site file's config_storm.
	storm    = 4 * time.Second
	stormGap = 330 * time.Millisecond
	// tenants is the number of tenants, with which a configuration takes about 0.9 MB of at most value-bytes (1,048,576).
	tenants = 13000
)

// staleConfig has the store turn the only router away for turnedAway while the operator writes versions of a large configuration in
// quick succession. Afterwards, from contact after the store serves all again, no request may be handled as only an older version
// allows.
func staleConfig(sc *scenario) (int, error) {
	st, err := newStore()
	if err != nil {
		return 0, err
	}
	var list []object
	for n := range tenants {
		list = append(list, object{"name": fmt.Sprintf("tenant-%05d", n), "api-keys": []string{fmt.Sprintf("k%05dxd9dnn2ctnfzs989anu6", n)}})
	}
	const key, revoked, added = "q-kept-by-all", "q-revoked", "q-added"
	write := func(version int, keys ...string) time.Time {
		all := append([]object{{"name": "mandi", "api-keys": keys}}, list...)
		value := config(version, []object{route("pay", "/pay/", "non_idempotent", "desk", payTimeout, nil)},
			[]object{{"name": "desk", "health-path": "/healthz", "max-conns": 100}}, all)
		st.put("op/config", value)
		sc.rec.line("the store acknowledges version %d (%d bytes), keys of the tenant: %v", version, len(value), keys)
		return time.Now()
	}
	write(1, key, revoked)
	r := &runner{sc: sc, store: st, id: "i-d1", service: "desk", zone: "catania", slots: 6}
	r.handler = func(w http.ResponseWriter, q *http.Request) {
		r.runs.Add(1)
		sc.rec.line("runner %s runs request %s of tenant %s", r.id, q.Header.Get("Request-Id"), q.Header.Get("Tenant"))
		time.Sleep(payWork)
		r.sign(w, q)
	}
	if err := r.start("127.0.0.1:0"); err != nil {
		return 0, err
	}
	rt, err := startRouter(sc.dir, "edge-1", "catania", st.address())
	if err != nil {
		return 0, err
	}
	defer rt.stop()
	if err := rt.awaitReady(10 * time.Second); err != nil {
		return 0, err
	}
	client := newClient()
	pay := func(key string) answer {
		id := newID()
		sc.rec.line("client sends %s with key %s", id, key)
		a := send(client, rt.callers, http.MethodPost, "/pay/1", id, key, payDeadline, nil)
		sc.rec.line("client has %d (error %v) for %s", a.status, a.err, id)
		return a
	}
	for _, k := range []string{key, revoked} {
		if a := pay(k); a.status != http.StatusOK {
			return 0, fmt.Errorf("before the disruption a request with key %s gets %d %v", k, a.status, a.err)
		}
	}
	if a := pay(added); a.status != http.StatusUnauthorized {
		return 0, fmt.Errorf("before the disruption a request with an unknown key gets %d %v", a.status, a.err)
	}
	time.Sleep(2 * time.Second)

	if sc.trouble {
		sc.rec.line("the store turns the router's machine away")
		st.turnAway(true)
		go func() {
			time.Sleep(turnedAway)
			sc.rec.line("the store serves the router's machine again")
			st.turnAway(false)
		}()
	}
	begin := time.Now()
	time.Sleep(500 * time.Millisecond)
	version, acked := 1, time.Now()
	for time.Since(begin) < storm {
		version += 3
		acked = write(version, key, added)
		time.Sleep(stormGap)
	}
	inTouch := begin.Add(turnedAway + contact)
	if t := acked.Add(applyTime); t.After(inTouch) {
		inTouch = t
	}
	time.Sleep(time.Until(inTouch) + 500*time.Millisecond)
	sc.rec.line("from now on the router is in touch, and version %d was acknowledged more than %s ago", version, applyTime)
	broken := 0
	for range 8 {
		if a := pay(revoked); a.status == http.StatusOK {
			broken++
			sc.rec.line("CONFIG broken: run with a dropped key")
		}
		if a := pay(added); a.status == http.StatusUnauthorized {
			broken++
			sc.rec.line("CONFIG broken: refused with 401 though the key is there")
		}
		time.Sleep(time.Second)
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		if a := pay(added); a.status == http.StatusOK {
			sc.rec.line("the newest version is in force")
			break
		}
	}
	return broken, nil
}
