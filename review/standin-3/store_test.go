package standin_test

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

// item is a key with its value, or the removal of a key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"create-revision"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is the platform's store.
type store struct {
	server *http.Server
	addr   string

	mu       sync.Mutex
	changed  chan struct{}
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]*lease
	down     bool
}

func newStore() *store {
	s := &store{items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), revision: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.addr = l.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.expire()
		down := s.down
		s.mu.Unlock()
		w.Header().Set("Store-Era", "1")
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// setDown begins or ends an outage, during which all calls get 503 and have no effect.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// wake wakes the watches. The caller must hold s.mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a key as the operator or a runner does. It reports false during an outage.
func (s *store) write(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.put(key, value, 0)
	return true
}

func (s *store) put(key string, value []byte, lease uint64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, known := s.items[key]; known {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
	s.wake()
}

func (s *store) remove(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	s.wake()
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.drop(id)
		}
	}
}

func (s *store) drop(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("path-prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, map[string]any{"items": items, "has-more": false, "current-rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	due := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("path-prefix")) {
				events = append(events, i)
			}
		}
		changed, down, revision := s.changed, s.down, s.revision
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case len(events) > 0 || over:
			writeJSON(w, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-due:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
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
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict, current := false, []item{}
	for _, e := range body.Expected {
		i := s.items[e.Key]
		i.Key = e.Key
		current = append(current, i)
		conflict = conflict || i.Revision != e.Revision
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	if conflict {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]any{"items": current})
		return
	}
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	writeJSON(w, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.revision] = &lease{ttl, time.Now().Add(ttl)}
	writeJSON(w, map[string]any{"lease": s.revision, "ttl-ms": body.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.expires = time.Now().Add(l.ttl)
	writeJSON(w, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.drop(id)
	writeJSON(w, map[string]any{})
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
