// Package plain is a stand-in for a plain service: it answers lookups and records entries, and keeps a log of every
// run, against which tests judge whether an entry was made twice.
//
// # Usage
//
//	s := plain.New()
//	err := http.ListenAndServe("127.0.0.1:8101", s.Handler())
package plain

import (
	"io"
	"net/http"
	"sync"
	"time"

	"bilberrylug.dev/standin/httpjson"
)

// Faults are the switches of the stand-in.
type Faults struct {
	// SlowMS delays every answer, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseReplies makes that many calls run and then lose their replies.
	LoseReplies int `json:"lose_replies"`
	// Frozen holds every call without running it.
	Frozen bool `json:"frozen"`
}

// Run is one row of the run log.
type Run struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Body   string `json:"body"`
}

// Receipt is the reply to a recorded entry.
type Receipt struct {
	Number int    `json:"number"`
	Entry  string `json:"entry"`
}

// Server is the stand-in.
type Server struct {
	mu     sync.Mutex
	faults Faults
	runs   []Run
}

// New returns a stand-in.
func New() *Server { return &Server{} }

// SetFaults sets the switches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns the run log.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("PUT /standin/faults", s.putFaults)
	mux.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("/", s.run)
	return mux
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	f, ok := httpjson.Read[Faults](w, r)
	if !ok {
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// frozenPoll is how often a held call looks whether it may go on.
const frozenPoll = 20 * time.Millisecond

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for s.current().Frozen {
		if r.Context().Err() != nil {
			return
		}
		time.Sleep(frozenPoll)
	}
	number, lost := s.record(Run{r.Method, r.URL.Path, r.Header.Get("Idempotency-Key"), string(body)})
	time.Sleep(time.Duration(s.current().SlowMS) * time.Millisecond)
	if lost {
		panic(http.ErrAbortHandler)
	}
	httpjson.Write(w, http.StatusOK, Receipt{number, string(body)})
}

func (s *Server) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// record logs a run and tells whether its reply is to be lost.
func (s *Server) record(r Run) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs = append(s.runs, r)
	lost := s.faults.LoseReplies > 0
	if lost {
		s.faults.LoseReplies--
	}
	return len(s.runs), lost
}
