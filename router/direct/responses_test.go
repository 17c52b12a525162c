package direct

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// ok answers a call.
func ok(w net.Conn, r *http.Request) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: y\r\nContent-Length: 4\r\n\r\nfine", r.Header.Get("Id"))
}

// event returns one event of a stream.
func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n) }

// streamed sends the events of a stream of four after the last one that the caller has, with a pause before each.
func streamed(pause time.Duration) respondFunc {
	return func(w net.Conn, r *http.Request) {
		last, _ := strconv.Atoi(r.Header.Get("Last-Event"))
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: y\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		for n := last + 1; n <= 4; n++ {
			time.Sleep(pause)
			_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(eventText(n)), eventText(n))
		}
		_, _ = io.WriteString(w, "0\r\n\r\n")
	}
}

// wholeStream is the body of a complete stream.
var wholeStream = eventText(1) + eventText(2) + eventText(3) + eventText(4)

// begins sends the header of a stream with the first event, and then calls more.
func begins(more respondFunc) respondFunc {
	return func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: y\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Id"))
		_, _ = fmt.Fprintf(w, "%x\r\n%s\r\n", len(eventText(1)), eventText(1))
		more(w, r)
	}
}

// drips sends a text every 50 ms until the connection is closed.
func drips(text string) respondFunc {
	return func(w net.Conn, _ *http.Request) {
		for {
			if _, err := io.WriteString(w, text); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// signedHead begins a response with the given further header lines.
func signedHead(lines string) respondFunc {
	return func(w net.Conn, r *http.Request) {
		_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: y\r\n%s\r\n", r.Header.Get("Id"), lines)
	}
}

// then sends one thing after the other.
func then(list ...respondFunc) respondFunc {
	return func(w net.Conn, r *http.Request) {
		for _, f := range list {
			f(w, r)
		}
	}
}

func text(s string) respondFunc {
	return func(w net.Conn, _ *http.Request) { _, _ = io.WriteString(w, s) }
}

// closes closes the connection; resets does so with a reset.
func closes(w net.Conn, _ *http.Request) { _ = w.Close() }

func resets(w net.Conn, _ *http.Request) {
	if tcp, ok := w.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = w.Close()
}
