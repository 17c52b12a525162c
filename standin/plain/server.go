// Package plain is a stand-in for a plain service. It logs every call that it executes, so that tests can detect
// duplicate executions.
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

// Faults selects the faults that the server injects.
type Faults struct {
	// SlowMS delays every response, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseReplies is the number of calls that are executed and whose replies are then lost.
	LoseReplies int `json:"lose_replies"`
	// Frozen blocks every call before it is executed.
	Frozen bool `json:"frozen"`
}

// Run is the log entry of one executed call. Key is its idempotency key, or empty.
type Run struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Body   string `json:"body"`
}

// Receipt is the reply to a call. Number is the position of the call in the run log, from one; Entry is the call's body.
type Receipt struct {
	Number int    `json:"number"`
	Entry  string `json:"entry"`
}

// Server is a stand-in plain service. It is safe for concurrent use.
type Server struct {
	mu     sync.Mutex
	faults Faults
	runs   []Run
}

// New returns a server with an empty run log.
func New() *Server { return &Server{} }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns a copy of the run log.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// Handler returns the service's HTTP API and, under /standin/, the API for faults and logs.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("PUT /standin/faults", s.putFaults)
	mux.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("/", s.handle)
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

// frozenPollInterval is how often a blocked call checks whether the service is still frozen.
const frozenPollInterval = 20 * time.Millisecond

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	for s.currentFaults().Frozen {
		if r.Context().Err() != nil {
			return
		}
		time.Sleep(frozenPollInterval)
	}
	number, lost := s.record(Run{r.Method, r.URL.Path, r.Header.Get("Idempotency-Key"), string(body)})
	time.Sleep(time.Duration(s.currentFaults().SlowMS) * time.Millisecond)
	if lost {
		panic(http.ErrAbortHandler)
	}
	httpjson.Write(w, http.StatusOK, Receipt{number, string(body)})
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// record logs a run. It returns the run's number and whether to drop its reply.
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
