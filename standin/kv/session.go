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
	sess, ok := s.sessions[id]
	if !ok || time.Now().After(sess.expires) {
		httpjson.Write(w, http.StatusOK, writeReply{})
		return
	}
	sess.expires = time.Now().Add(sess.ttl)
	s.sessions[id] = sess
	httpjson.Write(w, http.StatusOK, writeReply{OK: true})
}
