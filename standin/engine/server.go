// Package engine is a stand-in for a model engine with continuous batching. It resumes from given tokens, cancels
// requests, reports its load with a delay and executes load and unload orders. Package tokens computes its output.
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

// frozenPollInterval is how often a blocked request checks whether the engine is still frozen.
const frozenPollInterval = 20 * time.Millisecond

// Server is a stand-in engine. It is safe for concurrent use.
type Server struct {
	opts Options

	mu             sync.Mutex
	faults         Faults
	running        int
	runs           []*Run
	models         []Model
	fence          uint64
	orders         []order
	cancelled      map[string]chan struct{}
	cachedPrefixes map[string]bool
	report         loadReport
	reportAt       time.Time
}

// New returns a server with the given options.
func New(o Options) *Server {
	return &Server{
		opts: o, models: slices.Clone(o.Models), cancelled: make(map[string]chan struct{}), cachedPrefixes: make(map[string]bool),
	}
}

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
	out := make([]Run, 0, len(s.runs))
	for _, r := range s.runs {
		out = append(out, *r)
	}
	return out
}

// Handler returns the engine's HTTP API and, under /standin/, the API for faults and logs.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", s.complete)
	mux.HandleFunc("POST /v1/cancel/{id}", s.cancel)
	mux.HandleFunc("GET /v1/load", s.load)
	mux.HandleFunc("GET /v1/models", s.listModels)
	mux.HandleFunc("POST /v1/orders", s.handleOrder)
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

// waitUnfrozen blocks while the engine is frozen. It returns false if the request is cancelled meanwhile.
func (s *Server) waitUnfrozen(r *http.Request) bool {
	for s.currentFaults().Frozen {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(frozenPollInterval):
		}
	}
	return true
}

func (s *Server) health(w http.ResponseWriter, r *http.Request) {
	if s.waitUnfrozen(r) {
		w.WriteHeader(http.StatusOK)
	}
}

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	req, ok := httpjson.Read[completionRequest](w, r)
	if !ok {
		return
	}
	if !s.hasModel(Model{req.Model, req.Version}) {
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	run := &Run{RequestID: req.RequestID, Model: req.Model, Version: req.Version, First: len(req.ResumeTokens), Outcome: "running"}
	cancelled := s.startRun(req.RequestID, run)
	outcome := s.generate(w, r, req, run, cancelled)
	s.finishRun(req.RequestID, run, outcome)
	if outcome == "dropped" {
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) hasModel(m Model) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.models, m)
}

// startRun adds a run to the log and returns the channel that is closed if the run is cancelled.
func (s *Server) startRun(id string, run *Run) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	cancelled := make(chan struct{})
	s.cancelled[id] = cancelled
	s.runs = append(s.runs, run)
	s.running++
	return cancelled
}

func (s *Server) finishRun(id string, run *Run, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run.Outcome = outcome
	delete(s.cancelled, id)
	s.running--
}

// wait sleeps for d, scaled by the slow factor. It returns false if the run was cancelled or its caller disconnected.
func (s *Server) wait(r *http.Request, cancelled chan struct{}, d time.Duration) bool {
	if factor := s.currentFaults().SlowFactor; factor > 0 {
		d = time.Duration(float64(d) * factor)
	}
	select {
	case <-r.Context().Done():
		return false
	case <-cancelled:
		return false
	case <-time.After(d):
		return s.waitUnfrozen(r)
	}
}

// generate streams the tokens of a run and returns its outcome.
func (s *Server) generate(w http.ResponseWriter, r *http.Request, req completionRequest, run *Run, cancelled chan struct{}) string {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	if err := flusher.Flush(); err != nil {
		return "gone"
	}
	if !s.wait(r, cancelled, s.prefillTime(req)) {
		return "cancelled"
	}
	total := tokens.Length(req.Prompt, req.MaxTokens)
	for i := len(req.ResumeTokens); i < total; i++ {
		if !s.wait(r, cancelled, s.opts.Cadence) {
			return "cancelled"
		}
		if drop := s.currentFaults().DropAfter; drop > 0 && run.Produced >= drop {
			return "dropped"
		}
		s.countToken(run)
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

func (s *Server) countToken(run *Run) {
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

// prefixBytes is the length of the prompt prefix that identifies a cache entry.
const prefixBytes = 256

// prefillTime returns a quarter of the configured time if the prompt's prefix is cached. Otherwise it returns the full
// time and caches the prefix.
func (s *Server) prefillTime(req completionRequest) time.Duration {
	prefix := req.Prompt[:min(len(req.Prompt), prefixBytes)]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cachedPrefixes[prefix] {
		return s.opts.Prefill / 4
	}
	s.cachedPrefixes[prefix] = true
	return s.opts.Prefill
}
