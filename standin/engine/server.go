// Package engine is a stand-in for a model engine: it batches continuously, resumes from given tokens, cancels, reports
// its load late and takes orders. Its tokens are those of package tokens.
//
// # Usage
//
//	s := engine.New(engine.Options{Cadence: 20 * time.Millisecond, Slots: 16})
//	err := http.ListenAndServe("127.0.0.1:8001", s.Handler())
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"bilberrylug.dev/standin/httpjson"
	"bilberrylug.dev/standin/tokens"
)

// frozenPoll is how often frozen work looks whether it may go on.
const frozenPoll = 20 * time.Millisecond

// Server is the stand-in.
type Server struct {
	opts Options

	mu       sync.Mutex
	faults   Faults
	running  int
	runs     []*Run
	models   []Model
	fence    uint64
	orders   []order
	cancels  map[string]chan struct{}
	prefixes map[string]bool
	report   loadReport
	reportAt time.Time
}

// New returns a stand-in.
func New(o Options) *Server {
	return &Server{
		opts: o, models: slices.Clone(o.Models), cancels: make(map[string]chan struct{}), prefixes: make(map[string]bool),
	}
}

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
	out := make([]Run, 0, len(s.runs))
	for _, r := range s.runs {
		out = append(out, *r)
	}
	return out
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.complete)
	mux.HandleFunc("POST /v1/cancel/{id}", s.cancel)
	mux.HandleFunc("GET /v1/load", s.load)
	mux.HandleFunc("GET /v1/models", s.listModels)
	mux.HandleFunc("POST /v1/orders", s.takeOrder)
	mux.HandleFunc("GET /healthz", s.health)
	mux.HandleFunc("PUT /standin/faults", s.putFaults)
	mux.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) {
		httpjson.Write(w, http.StatusOK, s.Runs())
	})
	mux.HandleFunc("GET /standin/orders", s.listOrders)
	return mux
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// thaw blocks while the engine is frozen; it is false when the request has ended.
func (s *Server) thaw(r *http.Request) bool {
	for s.currentFaults().Frozen {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(frozenPoll):
		}
	}
	return true
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	if s.thaw(r) {
		w.WriteHeader(http.StatusOK)
	}
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	req, ok := httpjson.Read[completionRequest](w, r)
	if !ok {
		return
	}
	if !s.holds(Model{req.Model, req.Version}) {
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	run := &Run{RequestID: req.RequestID, Model: req.Model, Version: req.Version, First: len(req.ResumeTokens), Outcome: "running"}
	cancelled := s.begin(req.RequestID, run)
	outcome := s.stream(w, r, req, run, cancelled)
	s.end(req.RequestID, run, outcome)
	if outcome == "dropped" {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) holds(m Model) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.models, m)
}

func (s *Server) begin(id string, run *Run) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled := make(chan struct{})
	s.cancels[id] = cancelled
	s.runs = append(s.runs, run)
	s.running++
	return cancelled
}

func (s *Server) end(id string, run *Run, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Outcome = outcome
	delete(s.cancels, id)
	s.running--
}

// pause waits for a span, slowed by the faults; it is false when the run must end.
func (s *Server) pause(r *http.Request, cancelled chan struct{}, span time.Duration) bool {
	if factor := s.currentFaults().SlowFactor; factor > 0 {
		span = time.Duration(float64(span) * factor)
	}
	select {
	case <-r.Context().Done():
		return false
	case <-cancelled:
		return false
	case <-time.After(span):
		return s.thaw(r)
	}
}

func (s *Server) stream(w http.ResponseWriter, r *http.Request, req completionRequest, run *Run, cancelled chan struct{}) string {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	if err := flusher.Flush(); err != nil {
		return "gone"
	}
	if !s.pause(r, cancelled, s.prefillTime(req)) {
		return "cancelled"
	}
	total := tokens.Length(req.Prompt, req.MaxTokens)
	for i := len(req.ResumeTokens); i < total; i++ {
		if !s.pause(r, cancelled, s.opts.Cadence) {
			return "cancelled"
		}
		if drop := s.currentFaults().DropAfter; drop > 0 && run.Produced >= drop {
			return "dropped"
		}
		s.count(run)
		text := tokens.At(req.Prompt, req.Version, req.Seed, i)
		if !writeChunk(w, completionChunk{req.RequestID, i, []choice{{Text: text}}}) || flusher.Flush() != nil {
			return "gone"
		}
	}
	reason := "length"
	if total < req.MaxTokens {
		reason = "stop"
	}
	writeChunk(w, completionChunk{req.RequestID, total, []choice{{FinishReason: &reason}}})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	return "finished"
}

func (s *Server) count(run *Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Produced++
}

func writeChunk(w http.ResponseWriter, c completionChunk) bool {
	body, err := json.Marshal(c)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(w, "data: %s\n\n", body)
	return err == nil
}

// prefixBytes is the length of the prompt's start that the stand-in caches.
const prefixBytes = 256

// prefillTime is short for a prompt whose start is cached.
func (s *Server) prefillTime(req completionRequest) time.Duration {
	prefix := req.Prompt[:min(len(req.Prompt), prefixBytes)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prefixes[prefix] {
		return s.opts.Prefill / 4
	}
	s.prefixes[prefix] = true
	return s.opts.Prefill
}
