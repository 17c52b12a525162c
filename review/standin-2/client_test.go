package standin

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one attempt of a client.
type request struct {
	id       string
	path     string
	model    string
	prefix   []string
	deadline time.Duration
}

// result is what a client has got for an attempt.
type result struct {
	request
	sentAt, endedAt time.Time
	// status is that of the answer, zero if the connection has ended without one.
	status int
	// events counts the events of a stream, and complete is set if its end has arrived.
	events     int
	complete   bool
	body       string
	retryAfter string
	problem    string
}

func (r result) String() string {
	if r.status == 0 {
		return fmt.Sprintf("%s: no answer, %s, %s s after it was sent", r.id, r.problem, seconds(r.endedAt.Sub(r.sentAt)))
	}
	return fmt.Sprintf("%s: status %d, %d events, complete %t, Retry-After %q, %s s after it was sent", r.id, r.status, r.events, r.complete,
		r.retryAfter, seconds(r.endedAt.Sub(r.sentAt)))
}

const (
	host = "ledger.example"
	key  = "xd9dnn2ctnfzs989anu6"
)

// send sends a request on a new connection and reads the whole answer.
func send(rec *record, address string, q request) result {
	out := result{request: q, sentAt: time.Now()}
	finish := func(err error) result {
		out.endedAt = time.Now()
		if err != nil {
			out.problem = err.Error()
		}
		rec.write("client gets %s", out)
		return out
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return finish(err)
	}
	defer func() { _ = conn.Close() }()
	body := "summarise " + q.id
	tokens := 200 * len(q.prefix)
	var prefix []string
	for _, part := range q.prefix {
		prefix = append(prefix, part+":200")
	}
	head := "POST " + q.path + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + q.id + "\r\nModel: " + q.model +
		"\r\nToken-Counts: " + strconv.Itoa(tokens) + ",80\r\nPrompt-Prefix: " + strings.Join(prefix, ",") +
		"\r\nDeadline-Ms: " + strconv.FormatInt(q.deadline.Milliseconds(), 10) + "\r\nAuthorization: Token " + key +
		"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	_ = conn.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	rec.write("client sends %s to %s", q.id, address)
	if _, err := io.WriteString(conn, head); err != nil {
		return finish(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return finish(fmt.Errorf("the connection ends: %w", err))
	}
	out.status, out.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		out.body += line
		if strings.HasPrefix(line, "data:") {
			out.events++
		}
		if errors.Is(err, io.EOF) {
			out.complete = true
			return finish(nil)
		}
		if err != nil {
			return finish(err)
		}
	}
}
