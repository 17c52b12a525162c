package standin

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net"
	"net/http"
	"time"
)

const host = "ficu95.example"

// newID returns a new Request-Id.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// newClient returns a client that keeps its connections open for many requests.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext, MaxIdleConnsPerHost: 256, DisableCompression: true,
	}}
}

// answer is what a client has seen of one attempt.
type answer struct {
	status    int
	signature string
	body      []byte
	err       error
}

// send sends one request and reads the whole answer.
func send(c *http.Client, router, method, path, id, key string, deadline time.Duration, body []byte) answer {
	q, err := http.NewRequest(method, "http://"+router+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	q.Host = host
	q.Header.Set("Request-Id", id)
	q.Header.Set("Deadline-Ms", itoa(deadline.Milliseconds()))
	if key != "" {
		q.Header.Set("Authorization", "Token "+key)
	}
	resp, err := c.Do(q)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("Server-Signature"), b, err}
}
