package upstream

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package syscall does not define.
	tcpUserTimeout = 0x12
	// unackedTimeout is the time after which a connection with unacknowledged data is closed.
	unackedTimeout = 3 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect idle connections whose peer no longer responds.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// Dial opens a TCP connection with timeouts that detect an unresponsive peer.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockErr error
			err := c.Control(func(fd uintptr) {
				sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}
	return d.DialContext(ctx, network, address)
}
