package upstream

import (
	"errors"
	"os"
	"time"
)

// StallFunc decides how long a read may stall. It is called with the time for which the read has received no data, and
// returns the time until its next call, or the error with which the read fails.
type StallFunc func(idle time.Duration) (time.Duration, error)

// SetStallFunc makes reads call f before they start and whenever no data arrives within the time that f returned. A nil f
// disables this.
func (c *Conn) SetStallFunc(f StallFunc) { c.onStall = f }

// CheckStall makes a blocked read call the stall function now, by expiring the read deadline. It may be called from any
// goroutine.
func (c *Conn) CheckStall() { _ = c.SetReadDeadline(c.pool.clock.Now()) }

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
