package standin_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync/atomic"
	"time"
)

var requests atomic.Int64

func newID() string { return fmt.Sprintf("%04x%012x", os.Getpid()&0xffff, requests.Add(1)) }

// reply is what a client sees of an answer.
type reply struct {
	id         string
	sent       time.Time
	status     int
	retryAfter string
	signed     bool
	body       string
	// complete is set if the answer has ended as its framing says.
	complete bool
	err      error
}

// String describes the reply for the record.
func (r reply) String() string {
	if r.status == 0 {
		return fmt.Sprintf("%s: no answer: %v", r.id, r.err)
	}
	return fmt.Sprintf("%s: status %d, signed %v, %d bytes, complete %v, Retry-After %q, error %v", r.id, r.status, r.signed, len(r.body), r.complete,
		r.retryAfter, r.err)
}

// send sends a request on a new connection and reads the answer to its end.
func send(r *router, path, id string, deadline time.Duration, headers map[string]string) reply {
	out := reply{id: id, sent: time.Now()}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: deadline + time.Second}
	req, err := http.NewRequest(http.MethodPost, "http://"+r.front+path, strings.NewReader("a lot"))
	must(err)
	req.Host = "mandi.example"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Authorization", "Token k1")
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		out.err = err
		return out
	}
	defer func() { _ = resp.Body.Close() }()
	out.status, out.retryAfter, out.signed = resp.StatusCode, resp.Header.Get("Retry-After"), resp.Header.Get("Server-Signature") != ""
	body, err := io.ReadAll(resp.Body)
	out.body, out.err, out.complete = string(body), err, err == nil
	return out
}

// prompt returns the headers of a generation with a prompt of its own.
func prompt(id string, events int) map[string]string {
	return map[string]string{"Model": "m", "Token-Counts": fmt.Sprintf("1200,%d", 4*events), "Prompt-Prefix": "aa11:200," + id + ":1000"}
}

func itoa(n int) string { return fmt.Sprint(n) }

func sortArrivals(list []arrival) {
	sort.Slice(list, func(a, b int) bool { return list[a].at.Before(list[b].at) })
}
