package upstream

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Conn is one connection to an upstream.
type Conn struct {
	net.Conn
	pool    *Pool
	address string
	br      *bufio.Reader
	resp    *http.Response
	// idleTime is how long the upstream keeps the connection open without a request.
	idleTime  time.Duration
	idleSince time.Time
	reused    bool
	// spent marks a connection that carries no further request.
	spent   bool
	silence StallFunc
}

// Reused tells whether the connection has carried an earlier request.
func (c *Conn) Reused() bool { return c.reused }

// Close closes the connection at once, which also ends a request under way at the upstream.
func (c *Conn) Close() { _ = c.Conn.Close() }

// Release keeps the connection for the next request if its answer was read to the end and nothing speaks against it.
func (c *Conn) Release() {
	c.silence = nil
	if c.spent || c.resp == nil || c.resp.Close || c.br.Buffered() > 0 || c.unframed() {
		c.Close()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	c.pool.Put(c)
}

// unframed tells whether the answer ended with the connection.
func (c *Conn) unframed() bool {
	return c.resp.ContentLength < 0 && len(c.resp.TransferEncoding) == 0
}

func (c *Conn) expired(now time.Time) bool {
	return now.Sub(c.idleSince) >= time.Duration(float64(c.idleTime)*idleShare)
}

// sound tells whether an idle connection is still open and silent, as far as this end knows.
func (c *Conn) sound(now time.Time) bool {
	if c.expired(now) || c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(fd), one[:])
		// Anything but "nothing to read" is an end, a reset, or bytes that belong to no request.
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// noteKeepAlive takes the idle time that the upstream states.
func (c *Conn) noteKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "timeout" {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err == nil && seconds >= 0 {
			c.idleTime = time.Duration(seconds) * time.Second
		}
	}
}
