package upstream

import (
	"errors"
	"os"
	"time"
)

// StallFunc is asked while nothing arrives; quiet is how long that has been so. It returns how long to wait before it is
// asked again, or the error with which reading ends.
type StallFunc func(quiet time.Duration) (time.Duration, error)

// SetStallFunc has f asked whenever the upstream is silent while an answer is read. A nil f ends that.
func (c *Conn) SetStallFunc(f StallFunc) { c.silence = f }

// CheckStall has the silence looked at now. It may be called from any goroutine.
func (c *Conn) CheckStall() { _ = c.SetReadDeadline(c.pool.clock.Now()) }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.silence == nil {
		return c.Conn.Read(p)
	}
	began := c.pool.clock.Now()
	for {
		now := c.pool.clock.Now()
		wait, err := c.silence(now.Sub(began))
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
