package engine

import (
	"net/http"
	"slices"
	"time"

	"bilberrylug.dev/standin/httpjson"
)

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	if !s.waitUnfrozen(r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, known := s.cancelled[r.PathValue("id")]; known {
		close(c)
		delete(s.cancelled, r.PathValue("id"))
	}
	w.WriteHeader(http.StatusNoContent)
}

// load returns a load report that may be stale by up to Options.ReportLag.
func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	if !s.waitUnfrozen(r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Since(s.reportAt) >= s.opts.ReportLag {
		s.report = loadReport{min(s.running, s.opts.Slots), max(0, s.running-s.opts.Slots)}
		s.reportAt = time.Now()
	}
	httpjson.Write(w, http.StatusOK, s.report)
}

func (s *Server) listModels(w http.ResponseWriter, r *http.Request) {
	if !s.waitUnfrozen(r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, s.models)
}

// handleOrder executes a load or unload order. With Options.ChecksFence, it rejects an order with a stale fencing number.
func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	o, ok := httpjson.Read[order](w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.ChecksFence && o.Fence < s.fence {
		http.Error(w, "stale fence", http.StatusConflict)
		return
	}
	s.fence = max(s.fence, o.Fence)
	s.orders = append(s.orders, o)
	m := Model{o.Model, o.Version}
	switch o.Action {
	case "load":
		if !slices.Contains(s.models, m) {
			s.models = append(s.models, m)
		}
	case "unload":
		s.models = slices.DeleteFunc(s.models, func(loaded Model) bool { return loaded == m })
	default:
		http.Error(w, "unknown action", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) listOrders(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, s.orders)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	f, ok := httpjson.Read[Faults](w, r)
	if !ok {
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
