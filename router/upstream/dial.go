package upstream

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which the syscall package does not name.
	tcpUserTimeout = 0x12
	// unackedTime closes a connection whose peer has not acknowledged anything for that long.
	unackedTime = 3 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount find idle connections whose peer has fallen silent.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dial opens a TCP connection that notices a silent peer.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTime.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return d.DialContext(ctx, network, address)
}
