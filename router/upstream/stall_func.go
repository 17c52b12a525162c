package upstream

import (
	"errors"
	"os"
	"time"
)

// SilenceFunc decides how long a read may stall. It is called with the time since the last data arrived and returns the
// time until its next call, or the error with which the read fails.
type SilenceFunc func(idle time.Duration) (time.Duration, error)

// Watch has reads call f before they start and whenever no data arrives in the time that f returned. A nil f ends this.
func (c *Conn) Watch(f SilenceFunc) { c.onStall = f }

// Wake expires the read deadline, so that a blocked read calls the stall function now. It may be called from any goroutine.
func (c *Conn) Wake() { _ = c.SetReadDeadline(c.pool.clock.Now()) }

// Read implements [net.Conn].
func (c *Conn) Read(p []byte) (int, error) {
	if c.onStall == nil {
		return c.Conn.Read(p)
	}
	start := c.pool.clock.Now()
	for {
		now := c.pool.clock.Now()
		wait, err := c.onStall(now.Sub(start))
		if err != nil {
			return 0, err
		}
		if err := c.SetReadDeadline(now.Add(wait)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}
