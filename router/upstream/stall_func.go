package upstream

import (
	"errors"
	"os"
	"time"

	"bilberrylug.dev/core/fault"
)

// StallFunc decides how long a read may stall. It is called with the time for which the read has received no data, and
// returns the time until its next call, or the error with which this read and all later ones fail.
type StallFunc func(idle time.Duration) (time.Duration, error)

// SetStallFunc makes reads call f before they start and whenever no data arrives within the time that f returned. A nil f
// disables this.
func (c *Conn) SetStallFunc(f StallFunc) { c.onStall = f }

// CheckStall makes a blocked read call the stall function now, by expiring the read deadline, and one that has not blocked yet
// call it before it does. It may be called from any goroutine.
func (c *Conn) CheckStall() {
	c.stallCheckDue.Store(true)
	_ = c.SetReadDeadline(c.pool.clock.Now())
}

// Read implements [net.Conn].
func (c *Conn) Read(p []byte) (int, error) {
	if c.headerLeft == 0 {
		return 0, c.headerTooLarge()
	}
	if c.headerLeft > 0 {
		p = p[:min(int64(len(p)), c.headerLeft)]
	}
	n, err := c.readOrStall(p)
	if c.headerLeft > 0 {
		c.headerLeft -= int64(n)
	}
	return n, err
}

func (c *Conn) headerTooLarge() error {
	return fault.New(fault.ReplyTooLarge, "a response header of more than %d bytes, upstreams.max_header_bytes", c.pool.limits.HeaderBytes)
}

// readOrStall reads, and calls the stall function while no data arrives.
func (c *Conn) readOrStall(p []byte) (int, error) {
	if c.onStall == nil {
		return c.Conn.Read(p)
	}
	if c.stallErr != nil {
		return 0, c.stallErr
	}
	start := c.pool.clock.Now()
	for {
		c.stallCheckDue.Store(false)
		wait, err := c.onStall(c.pool.clock.Since(start))
		if err != nil {
			c.stallErr = err
			return 0, err
		}
		// A read whose deadline is over does not look for data, and the stall function may have taken longer than the wait.
		if err := c.SetReadDeadline(c.pool.clock.Now().Add(wait)); err != nil {
			return 0, err
		}
		if c.stallCheckDue.Load() {
			// The deadline that the check had set may have been replaced.
			continue
		}
		n, err := c.Conn.Read(p)
		if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
	}
}
