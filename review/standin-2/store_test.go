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

// item is a key of the store as it is on the wire.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Revision       uint64 `json:"revision"`
	CreateRevision uint64 `json:"create-revision"`
	Lease          uint64 `json:"lease"`
}

// change is an event of a watch.
type change struct {
	item
	Removed bool
}

// store is a stand-in of the platform's store. It keeps its whole history.
type store struct {
	address string
	server  *http.Server
	done    chan struct{}

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []change
	changed  chan struct{}
	// leases holds when each lease ends, and ttls how long each lasts from a renewal.
	leases    map[uint64]time.Time
	ttls      map[uint64]time.Duration
	nextLease uint64
	// beats holds when the entry of each runner lapses.
	beats map[string]time.Time
}

const (
	heartbeat = 1200 * time.Millisecond
	// entryLife is the silence after which the entry of a runner is removed: three heartbeats.
	entryLife = 3 * heartbeat
)

func startStore() (*store, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), done: make(chan struct{}), revision: 100, items: map[string]item{}, changed: make(chan struct{}),
		leases: map[uint64]time.Time{}, ttls: map[uint64]time.Duration{}, nextLease: 1, beats: map[string]time.Time{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.getKey)
	mux.HandleFunc("GET /v1/kv-range", s.getRange)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.endLease)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	go s.expire()
	return s, nil
}

func (s *store) close() {
	close(s.done)
	_ = s.server.Close()
}

// put writes a key. The caller must hold s.mu.
func (s *store) put(key string, value []byte, lease uint64) {
	old, known := s.items[key]
	i := item{Key: key, Value: value, Revision: s.revision, CreateRevision: s.revision, Lease: lease}
	if known {
		i.CreateRevision = old.CreateRevision
	}
	s.items[key] = i
	s.history = append(s.history, change{item: i})
}

// remove removes a key. The caller must hold s.mu.
func (s *store) remove(key string) {
	if _, known := s.items[key]; !known {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, change{item: item{Key: key, Revision: s.revision}, Removed: true})
}

// notify wakes the watches. The caller must hold s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// write writes a key as the operator or a runner does.
func (s *store) write(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, text, 0)
	s.notify()
}

// delete removes a key as the operator or a runner does.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.beats, key)
	s.revision++
	s.remove(key)
	s.notify()
}

// beat writes the entry of a runner, which lapses unless it is written again.
func (s *store) beat(id string, value any) {
	s.write("servers/"+id, value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beats["servers/"+id] = time.Now().Add(entryLife)
}

// expire removes the keys whose leases or heartbeats have ended.
func (s *store) expire() {
	for {
		select {
		case <-s.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
		s.mu.Lock()
		now := time.Now()
		for key, at := range s.beats {
			if now.After(at) {
				delete(s.beats, key)
				s.revision++
				s.remove(key)
				s.notify()
			}
		}
		for lease, at := range s.leases {
			if now.After(at) {
				s.drop(lease)
			}
		}
		s.mu.Unlock()
	}
}

// drop ends a lease. The caller must hold s.mu.
func (s *store) drop(lease uint64) {
	delete(s.leases, lease)
	delete(s.ttls, lease)
	s.revision++
	for key, i := range s.items {
		if i.Lease == lease {
			s.remove(key)
		}
	}
	s.notify()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, known := s.items[r.URL.Query().Get("key")]
	if !known {
		reply(w, http.StatusNotFound, map[string]any{"current-rev": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		CurrentRev uint64 `json:"current-rev"`
	}{i, s.revision})
}

// pageItems bounds the items of a page.
const pageItems = 500

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, i)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	more := len(out) > pageItems
	out = out[:min(len(out), pageItems)]
	reply(w, http.StatusOK, map[string]any{"items": out, "has-more": more, "current-rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait-ms"))
	deadline := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []any{}
		for _, c := range s.history {
			switch {
			case c.Revision <= after || !strings.HasPrefix(c.Key, q.Get("path-prefix")):
			case c.Removed:
				events = append(events, map[string]any{"key": c.Key, "revision": c.Revision, "removed": true})
			default:
				events = append(events, c.item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	current := []item{}
	for _, e := range body.ExpectedRev {
		i := s.items[e.Key]
		conflict = conflict || i.Revision != e.Revision
		i.Key = e.Key
		current = append(current, i)
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current, "current-rev": s.revision})
		return
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if _, alive := s.leases[p.Lease]; p.Lease != 0 && !alive {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttl-ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(min(max(body.TTLMs, 1000), 600_000)) * time.Millisecond
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextLease++
	s.leases[s.nextLease], s.ttls[s.nextLease] = time.Now().Add(ttl), ttl
	reply(w, http.StatusOK, map[string]any{"lease": s.nextLease, "ttl-ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl, alive := s.ttls[id]
	if !alive {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.leases[id] = time.Now().Add(ttl)
	reply(w, http.StatusOK, map[string]any{"ttl-ms": ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, alive := s.ttls[id]; !alive {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	s.drop(id)
	reply(w, http.StatusOK, map[string]any{})
}
