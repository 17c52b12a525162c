package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// generateUnframed answers with neither a length nor chunks; the answer ends with its connection. A crash cuts a stream that has begun in the
// middle of an event.
func (u *runner) generateUnframed(w http.ResponseWriter, r *http.Request, id, request string) {
	first := 1
	if v := r.Header.Get("Last-Event-Id"); v != "" {
		_, _ = fmt.Sscan(v, &first)
		first++
	}
	_, _ = io.Copy(io.Discard, r.Body)
	u.mu.Lock()
	dying := u.dying
	u.mu.Unlock()
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	gone := watchClose(conn)
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Signature: s.%s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n", request, request); err != nil {
		return
	}
	wait := u.prefill
	for e := first; e <= u.events; e++ {
		event := fmt.Sprintf("id: %d\ndata: %s %d\n\n", e, id, e)
		select {
		case <-gone:
			u.rec.write("runner %s drops %s before event %d: its connection is closed", id, request, e)
			return
		case <-dying:
			if e == first {
				u.rec.write("the crash of runner %s ends %s before event %d, the first of the run", id, request, e)
				return
			}
			u.rec.write("the crash of runner %s ends %s in the middle of event %d", id, request, e)
			_, _ = io.WriteString(conn, event[:len(event)/2])
			return
		case <-time.After(wait):
		}
		if _, err := io.WriteString(conn, event); err != nil {
			return
		}
		wait = u.pause
	}
	u.rec.write("runner %s has run %s", id, request)
}

// watchClose returns a channel that is closed as the other side closes the connection.
func watchClose(conn net.Conn) <-chan struct{} {
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = conn.Read(make([]byte, 1))
	}()
	return gone
}

// crashUnframed ends the process as the kernel does: connections are closed, not reset.
func (u *runner) crashUnframed() {
	u.mu.Lock()
	if !u.up {
		u.mu.Unlock()
		return
	}
	u.up = false
	u.stopBeat()
	server := u.server
	id := u.id
	close(u.dying)
	u.mu.Unlock()
	u.rec.write("runner %s crashes", id)
	_ = server.Close()
	time.AfterFunc(u.backAfter, func() {
		for range 20 {
			if u.start() == nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
}
