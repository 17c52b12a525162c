package standin_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// arrival is a request that a runner has received.
type arrival struct {
	at     time.Time
	id     string
	path   string
	answer string
}

// runner is a runner of a service. It serves one request at a time on a connection.
type runner struct {
	id, service, zone, addr string
	born                    int64
	serve                   func(u *runner, w io.Writer, r *http.Request) (answer string, keep bool)
	store                   *store
	listener                net.Listener
	// process is set for a runner that is a process of its own, which names on serving what it begins to answer.
	process *exec.Cmd
	serving chan string

	mu       sync.Mutex
	seq      int
	stopped  bool
	arrivals []arrival
}

const heartbeat = 1200 * time.Millisecond

// addRunner starts a runner in this process and registers it.
func (s *site) addRunner(service string, serve func(u *runner, w io.Writer, r *http.Request) (string, bool)) *runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	u := &runner{listener: l, addr: l.Addr().String(), serve: serve}
	s.register(u, service)
	go u.accept()
	return u
}

// addRunnerProcess starts a runner as a process of its own and registers it.
func (s *site) addRunnerProcess(service string) *runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	u := &runner{addr: l.Addr().String(), serving: make(chan string, 100)}
	_ = l.Close()
	u.id = fmt.Sprintf("i-%04d", len(s.runners)+1)
	u.process = exec.Command(os.Args[0], "runner", u.addr, u.id)
	u.process.Stderr = os.Stderr
	out, err := u.process.StdoutPipe()
	must(err)
	must(u.process.Start())
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			u.serving <- lines.Text()
		}
	}()
	for begin := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		conn, err := net.Dial("tcp", u.addr)
		if err == nil {
			_ = conn.Close()
			break
		}
		if time.Since(begin) > 5*time.Second {
			panic("the runner does not start")
		}
	}
	s.register(u, service)
	return u
}

func (s *site) register(u *runner, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u.id = fmt.Sprintf("i-%04d", len(s.runners)+1)
	u.service, u.zone, u.store, u.born = service, zones[len(s.runners)%len(zones)], s.store, time.Now().UnixMilli()
	s.runners = append(s.runners, u)
	u.beat()
	go func() {
		for {
			time.Sleep(heartbeat)
			u.mu.Lock()
			over := u.stopped
			u.mu.Unlock()
			if over {
				return
			}
			u.beat()
		}
	}()
}

// beat writes the runner's entry.
func (u *runner) beat() {
	u.mu.Lock()
	u.seq++
	seq := u.seq
	u.mu.Unlock()
	value, err := json.Marshal(map[string]any{
		"service": u.service, "address": u.addr, "zone": u.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
		"seq": seq, "born": u.born,
	})
	must(err)
	u.store.write("servers/"+u.id, value)
}

// stop ends the runner. A process is killed, as in a crash.
func (u *runner) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.stopped {
		return
	}
	u.stopped = true
	if u.process != nil {
		_ = u.process.Process.Kill()
		_ = u.process.Wait()
		return
	}
	_ = u.listener.Close()
}

func (u *runner) accept() {
	for {
		conn, err := u.listener.Accept()
		if err != nil {
			return
		}
		go u.serveConn(conn)
	}
}

func (u *runner) serveConn(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !u.handle(conn, r) {
			return
		}
	}
}

// handle answers one request and reports whether the connection stays open.
func (u *runner) handle(w io.Writer, r *http.Request) bool {
	switch {
	case r.URL.Path == "/healthz":
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nInstance: %s\r\nContent-Length: 0\r\n\r\n", u.id)
		return err == nil
	case r.URL.Path == "/v1/kv-list":
		body := `{"epoch":1,"next-token":1,"held":[]}`
		_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return err == nil
	case strings.HasPrefix(r.URL.Path, "/v1/"):
		_, err := io.WriteString(w, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	if want := r.Header.Get("Target-Instance"); want != "" && want != u.id {
		_, err := fmt.Fprintf(w, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Request-Id"), u.id)
		return err == nil
	}
	at := time.Now()
	u.mu.Lock()
	n := len(u.arrivals)
	u.arrivals = append(u.arrivals, arrival{at: at, id: r.Header.Get("Request-Id"), path: r.URL.Path})
	u.mu.Unlock()
	answer, keep := u.serve(u, w, r)
	u.mu.Lock()
	u.arrivals[n].answer = answer
	u.mu.Unlock()
	return keep
}

// all returns the arrivals so far.
func (u *runner) all() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.arrivals...)
}

// head returns the head of a sound answer up to its framing.
func head(u *runner, r *http.Request, status, more string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: %s\r\nInstance: %s\r\n%s", status, r.Header.Get("Request-Id"), u.id, more)
}

// signature is the header line that a runner adds to what it has run.
func signature(r *http.Request) string {
	return "Server-Signature: sig-" + r.Header.Get("Request-Id") + "\r\n"
}

// turnAway answers that the request has not run. Retry is the pause that the runner asks for, or zero.
func turnAway(u *runner, w io.Writer, r *http.Request, retry time.Duration) (string, bool) {
	more, text := "Not-Executed: 1\r\n", "503, not run"
	if retry > 0 {
		more += fmt.Sprintf("Retry-After: %.3f\r\n", retry.Seconds())
		text = fmt.Sprintf("503, not run, Retry-After %.3f", retry.Seconds())
	}
	_, err := io.WriteString(w, head(u, r, "503 Service Unavailable", more)+"Content-Length: 0\r\n\r\n")
	return text, err == nil
}

// event returns an event of a stream.
func event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s.%d\n\n", n, id, n) }

// streamOf returns the whole stream of a request at a runner process.
func streamOf(id string) string {
	var b strings.Builder
	for n := 1; n <= pieces; n++ {
		b.WriteString(event(id, n))
	}
	return b.String()
}

// stream answers with a chunked stream of events, with further header lines.
func stream(u *runner, w io.Writer, r *http.Request, events int, pause time.Duration, more string) (string, bool) {
	id := r.Header.Get("Request-Id")
	if _, err := io.WriteString(w, head(u, r, "200 OK", signature(r)+more)+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return "cut", false
	}
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	for n := last + 1; n <= events; n++ {
		time.Sleep(pause)
		e := event(id, n)
		if _, err := fmt.Fprintf(w, "%x\r\n%s\r\n", len(e), e); err != nil {
			return "cut", false
		}
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return fmt.Sprintf("200, %d events", events-last), err == nil
}

// await returns the runner process that begins to answer a request.
func await(id string, list []*runner) *runner {
	for begin := time.Now(); time.Since(begin) < 5*time.Second; time.Sleep(time.Millisecond) {
		for _, u := range list {
			select {
			case got := <-u.serving:
				if got == id {
					return u
				}
			default:
			}
		}
	}
	panic("no runner begins to answer " + id)
}

// The answers of a runner process, which come without a length and without chunks.
const (
	pieces     = 20
	piecePause = 50 * time.Millisecond
)

// piece is a part of the answer to a call.
func piece(id string, n int) string { return fmt.Sprintf("%s piece %02d of %02d\n", id, n, pieces) }

// callOf returns the whole answer to a call.
func callOf(id string) string {
	var b strings.Builder
	for n := 1; n <= pieces; n++ {
		b.WriteString(piece(id, n))
	}
	return b.String()
}

// serveRunnerProcess serves the requests of a runner that is a process of its own. Its answers end with their connections.
func serveRunnerProcess(addr, id string) {
	l, err := net.Listen("tcp", addr)
	must(err)
	u := &runner{id: id, addr: addr, listener: l, serve: unframed}
	u.accept()
}

// unframed answers with neither a length nor chunks, a part at a time.
func unframed(u *runner, w io.Writer, r *http.Request) (string, bool) {
	id := r.Header.Get("Request-Id")
	isStream := strings.HasPrefix(r.URL.Path, "/read/") || strings.HasPrefix(r.URL.Path, "/digest/")
	more := signature(r) + "Connection: close\r\n"
	if isStream {
		more += "Content-Type: text/event-stream\r\n"
	}
	fmt.Println(id)
	_, _ = io.WriteString(w, head(u, r, "200 OK", more)+"\r\n")
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	for n := last + 1; n <= pieces; n++ {
		text := piece(id, n)
		if isStream {
			text = event(id, n)
		}
		if _, err := io.WriteString(w, text); err != nil {
			return "cut", false
		}
		time.Sleep(piecePause)
	}
	return "whole", false
}
