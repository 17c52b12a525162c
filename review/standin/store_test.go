package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// historyTime is history-s of the settings.
	historyTime = 20 * time.Second
	// pageItems and pageBytes bound one page of a listing.
	pageItems, pageBytes = 500, 1 << 20
)

type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create-revision,omitempty"`
	Lease          uint64 `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
	at             time.Time
}

// store is the platform's store.
type store struct {
	ln net.Listener
	// turnsAway makes the store answer all calls of the system with 503, while the operator and the runners are served.
	turnsAway bool

	mu        sync.Mutex
	changed   *sync.Cond
	revision  uint64
	items     map[string]item
	history   []item
	compacted uint64
	leases    map[uint64]time.Time
	ttls      map[uint64]time.Duration
}

func newStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{ln: ln, revision: 1, compacted: 1, items: map[string]item{}, leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}}
	s.changed = sync.NewCond(&s.mu)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "1")
		s.mu.Lock()
		away := s.turnsAway
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(ln) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s, nil
}

func (s *store) address() string { return s.ln.Addr().String() }

// turnAway starts or ends the time in which the store turns the system's machines away. Waiting watches are cut.
func (s *store) turnAway(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnsAway = on
	s.changed.Broadcast()
}

// put writes a key as the operator or a runner does, and returns the revision: the acknowledgement.
func (s *store) put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set(key, value, 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
}

func (s *store) set(key string, value []byte, lease uint64) uint64 {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision, Lease: lease, at: time.Now()}
	if old, ok := s.items[key]; ok {
		i.CreateRevision = old.CreateRevision
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.changed.Broadcast()
	return s.revision
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true, at: time.Now()})
	s.changed.Broadcast()
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, end := range s.leases {
		if now.After(end) {
			s.endLease(id)
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
	s.changed.Broadcast()
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	delete(s.ttls, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.drop(key)
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"current-rev": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		CurrentRev uint64 `json:"current-rev"`
	}{i, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	out := []item{}
	more, size := false, 0
	for _, key := range keys {
		if len(out) == pageItems || size > pageBytes {
			more = true
			break
		}
		out = append(out, s.items[key])
		size += len(s.items[key].Value)
	}
	revision := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": out, "has-more": more, "current-rev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	for {
		if s.turnsAway {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after < s.compacted || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path-prefix")) {
				events = append(events, i)
			}
		}
		if len(events) > 0 || !time.Now().Before(end) {
			revision := s.revision
			s.mu.Unlock()
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		s.changed.Wait()
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var b struct {
		ExpectedRev []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected-rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range b.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	failed, current := false, []item{}
	for _, e := range b.ExpectedRev {
		i := s.items[e.Key]
		i.Key = e.Key
		current = append(current, i)
		failed = failed || i.Revision != e.Revision
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range b.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range b.Remove {
		s.drop(key)
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTL int64 `json:"ttl-ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	id := s.revision
	s.ttls[id] = time.Duration(b.TTL) * time.Millisecond
	s.leases[id] = time.Now().Add(s.ttls[id])
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": b.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": s.ttls[id].Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id)
	w.WriteHeader(http.StatusOK)
}
