// Package kv is a stand-in for the platform's key-value store and VM list.
//
// # Usage
//
//	s := kv.New()
//	err := http.ListenAndServe("127.0.0.1:7070", s.Handler())
package kv

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"bilberrylug.dev/standin/httpjson"
)

// maxValueBytes is the platform's size limit for a value.
const maxValueBytes = 1 << 20

// value is a stored value. Index is the store index of its last change, Session the session that has acquired its key.
type value struct {
	Body    []byte `json:"body"`
	Index   uint64 `json:"index"`
	Session string `json:"session,omitempty"`
}

type vm struct {
	ID    string `json:"id"`
	State string `json:"state"`
}

type vmList struct {
	Index uint64 `json:"index"`
	VMs   []vm   `json:"vms"`
}

type writeReply struct {
	OK    bool  `json:"ok"`
	Value value `json:"value"`
}

// Stats counts calls by kind. Watches are blocking reads.
type Stats struct {
	Reads   int `json:"reads"`
	Watches int `json:"watches"`
	Writes  int `json:"writes"`
}

// Server is a stand-in key-value store. It is safe for concurrent use.
type Server struct {
	mu       sync.Mutex
	index    uint64
	values   map[string]value
	sessions map[string]session
	vms      vmList
	changed  chan struct{}
	faults   Faults
	stats    Stats
}

type session struct {
	ttl     time.Duration
	expires time.Time
}

// New returns an empty store.
func New() *Server {
	return &Server{values: make(map[string]value), sessions: make(map[string]session), changed: make(chan struct{})}
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// Stats returns the number of calls so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Handler returns the store's HTTP API and, under /standin/, the API for VMs, faults and statistics.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.injectFaults(s.get))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.injectFaults(s.put))
	mux.HandleFunc("PUT /v1/session", s.injectFaults(s.openSession))
	mux.HandleFunc("PUT /v1/session/{id}/renew", s.injectFaults(s.renewSession))
	mux.HandleFunc("GET /v1/vms", s.injectFaults(s.listVMs))
	mux.HandleFunc("PUT /standin/vms/{id}", s.setVM)
	mux.HandleFunc("PUT /standin/faults", s.putFaults)
	mux.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Stats())
	})
	return mux
}

// injectFaults wraps h with the configured faults.
func (s *Server) injectFaults(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if r.Method == http.MethodPut && s.takeLostAnswer() {
			h(discardWriter{}, r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

// takeLostAnswer reports whether to drop the response to this write, and decrements the number left to drop.
func (s *Server) takeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// notify wakes all blocking reads. The caller holds s.mu.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	v, ok := blockingRead(s, r, func() (value, uint64) { v := s.values[key]; return v, v.Index })
	s.writeResult(w, v, ok)
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	v, ok := blockingRead(s, r, func() (vmList, uint64) { return s.vms, s.vms.Index })
	s.writeResult(w, v, ok)
}

// writeResult responds with v, or with status 503 if ok is false.
func (s *Server) writeResult(w http.ResponseWriter, v any, ok bool) {
	if !ok {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	httpjson.Write(w, http.StatusOK, v)
}

// blockingRead waits until read returns an index above the requested one or the wait time ends. It returns false during
// an outage.
func blockingRead[T any](s *Server, r *http.Request, read func() (T, uint64)) (T, bool) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countRead(wait)
	for {
		v, index := read()
		if s.faults.Outage {
			return v, false
		}
		if wait == 0 || index > after {
			return v, true
		}
		changed := s.changed
		s.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-deadline.C:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
		s.mu.Lock()
		if expired {
			v, _ = read()
			return v, true
		}
	}
}

func (s *Server) countRead(wait time.Duration) {
	if wait > 0 {
		s.stats.Watches++
		return
	}
	s.stats.Reads++
}

func (s *Server) setVM(w http.ResponseWriter, r *http.Request) {
	s.SetVM(r.PathValue("id"), r.URL.Query().Get("state"))
	w.WriteHeader(http.StatusNoContent)
}

// SetVM adds a VM to the list or updates its state. An empty state removes it.
func (s *Server) SetVM(id, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	next := vmList{Index: s.index}
	for _, v := range s.vms.VMs {
		if v.ID != id {
			next.VMs = append(next.VMs, v)
		}
	}
	if state != "" {
		next.VMs = append(next.VMs, vm{id, state})
	}
	s.vms = next
	s.notify()
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	f, ok := httpjson.Read[Faults](w, r)
	if !ok {
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// discardWriter drops the response to a write whose answer is lost.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}
