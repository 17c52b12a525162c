// Package kv is a stand-in for the platform's key-value service and list of VMs.
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

// maxValueBytes is the platform's limit for a value.
const maxValueBytes = 1 << 20

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

type swapReply struct {
	OK    bool  `json:"ok"`
	Value value `json:"value"`
}

// Stats count the calls by kind.
type Stats struct {
	Reads   int `json:"reads"`
	Watches int `json:"watches"`
	Writes  int `json:"writes"`
}

// Server is the stand-in.
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

// New returns an empty stand-in.
func New() *Server {
	return &Server{values: make(map[string]value), sessions: make(map[string]session), changed: make(chan struct{})}
}

// SetFaults sets the switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notify()
}

// Stats returns the calls so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", s.guard(s.get))
	mux.HandleFunc("PUT /v1/kv/{key...}", s.guard(s.put))
	mux.HandleFunc("PUT /v1/session", s.guard(s.openSession))
	mux.HandleFunc("PUT /v1/session/{id}/renew", s.guard(s.renewSession))
	mux.HandleFunc("GET /v1/vms", s.guard(s.listVMs))
	mux.HandleFunc("PUT /standin/vms/{id}", s.setVM)
	mux.HandleFunc("PUT /standin/faults", s.putFaults)
	mux.HandleFunc("GET /standin/stats", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Stats())
	})
	return mux
}

// guard applies the fault switches before and after a call.
func (s *Server) guard(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if r.Method == http.MethodPut && s.losesAnswer() {
			h(discard{}, r)
			panic(http.ErrAbortHandler)
		}
		h(w, r)
	}
}

func (s *Server) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// notify wakes all waiting reads; the lock is held.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	v, ok := blocking(s, r, func() (value, uint64) { v := s.values[key]; return v, v.Index })
	s.answer(w, v, ok)
}

func (s *Server) listVMs(w http.ResponseWriter, r *http.Request) {
	v, ok := blocking(s, r, func() (vmList, uint64) { return s.vms, s.vms.Index })
	s.answer(w, v, ok)
}

func (s *Server) answer(w http.ResponseWriter, v any, ok bool) {
	if !ok {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	httpjson.Write(w, http.StatusOK, v)
}

// blocking waits until the index that read returns is above the requested one. It is false during an outage.
func blocking[T any](s *Server, r *http.Request, read func() (T, uint64)) (T, bool) {
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

// SetVM adds a VM to the list or changes its state; the empty state removes it.
func (s *Server) SetVM(id, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	next := vmList{Index: s.index}
	for _, one := range s.vms.VMs {
		if one.ID != id {
			next.VMs = append(next.VMs, one)
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

// discard takes the answer of a call whose answer is lost.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
