// Package httpjson has the JSON helpers that the stand-in servers share.
//
// # Usage
//
//	v, ok := httpjson.Read[Faults](w, r)
//	httpjson.Write(w, http.StatusOK, v)
package httpjson

import (
	"encoding/json"
	"net/http"
)

// Read decodes the body of a request. If that fails, it responds with status 400 and returns false.
func Read[T any](w http.ResponseWriter, r *http.Request) (T, bool) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return v, false
	}
	return v, true
}

// Write sends v as a JSON response.
func Write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
