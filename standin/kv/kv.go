package kv

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"bilberrylug.dev/standin/httpjson"
)

// put acquires the key for a session if the request names one, and otherwise writes it if its index equals cas.
func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil || len(body) > maxValueBytes {
		http.Error(w, "value is over a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Writes++
	key := r.PathValue("key")
	old := s.values[key]
	if holder := q.Get("acquire"); holder != "" {
		s.acquire(w, key, old, body, holder)
		return
	}
	cas, err := strconv.ParseUint(q.Get("cas"), 10, 64)
	if err != nil || cas != old.Index {
		httpjson.Write(w, http.StatusOK, writeReply{false, old})
		return
	}
	v := s.set(key, body, old.Session)
	v.Body = nil
	httpjson.Write(w, http.StatusOK, writeReply{true, v})
}

func (s *Server) set(key string, body []byte, session string) value {
	s.index++
	v := value{body, s.index, session}
	s.values[key] = v
	s.notify()
	return v
}

// acquire locks a key for a live session unless another live session holds it.
func (s *Server) acquire(w http.ResponseWriter, key string, old value, body []byte, holder string) {
	now := time.Now()
	if now.After(s.sessions[holder].expires) {
		httpjson.Write(w, http.StatusOK, writeReply{false, old})
		return
	}
	if old.Session != "" && old.Session != holder && now.Before(s.sessions[old.Session].expires) {
		httpjson.Write(w, http.StatusOK, writeReply{false, old})
		return
	}
	if old.Session == holder {
		httpjson.Write(w, http.StatusOK, writeReply{true, old})
		return
	}
	httpjson.Write(w, http.StatusOK, writeReply{true, s.set(key, body, holder)})
}
