package testkit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// RawServer is an HTTP server whose responses are raw bytes, for peers that do not keep to the protocol.
type RawServer struct {
	listener net.Listener
	wg       sync.WaitGroup

	mu    sync.Mutex
	conns []net.Conn
}

// NewRawServer starts a server on loopback. respond is called with each request, in order for each connection, and with what
// was read of its body.
func NewRawServer(respond func(w net.Conn, r *http.Request, body []byte)) *RawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // The listener is closed by Close.
	if err != nil {
		panic(err)
	}
	s := &RawServer{listener: l}
	s.wg.Go(func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			s.wg.Go(func() { serveRaw(conn, respond) })
		}
	})
	return s
}

func serveRaw(conn net.Conn, respond func(w net.Conn, r *http.Request, body []byte)) {
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		respond(conn, r, body)
	}
}

// Address returns the host and port of the server.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// Close closes the listener and all connections, and waits for their requests.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Pour returns a function that sends a head, and then text without end until the connection is closed.
func Pour(head, text string) func(w net.Conn, r *http.Request, body []byte) {
	const pause = 5 * time.Millisecond
	return func(w net.Conn, _ *http.Request, _ []byte) {
		_, _ = io.WriteString(w, head)
		block := make([]byte, 0, 64<<10)
		for len(block)+len(text) <= cap(block) {
			block = append(block, text...)
		}
		for {
			if _, err := w.Write(block); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}
}
