package kv

import (
	"net/http"
	"strconv"
	"time"

	"bilberrylug.dev/standin/httpjson"
)

func (s *Server) openSession(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil {
		http.Error(w, "ttl is not a time span", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Writes++
	s.index++
	id := "session-" + strconv.FormatUint(s.index, 10)
	s.sessions[id] = session{ttl, time.Now().Add(ttl)}
	httpjson.Write(w, http.StatusOK, map[string]string{"id": id})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Writes++
	id := r.PathValue("id")
	one, known := s.sessions[id]
	if !known || time.Now().After(one.expires) {
		httpjson.Write(w, http.StatusOK, swapReply{})
		return
	}
	one.expires = time.Now().Add(one.ttl)
	s.sessions[id] = one
	httpjson.Write(w, http.StatusOK, swapReply{OK: true})
}
