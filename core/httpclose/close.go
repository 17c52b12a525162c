// Package httpclose closes an HTTP server at the end of a planned stop without cutting requests that it has just accepted.
//
// # Usage
//
//	cut := httpclose.Close(server, httpclose.Options{Clock: clock, Listener: l, Active: active, Left: left})
package httpclose

import (
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// quietTime is how long no request may have been active before the connections are closed. The header of a request that was
	// sent just before the listener was closed arrives within it.
	quietTime = 150 * time.Millisecond
	// pollInterval is the interval at which the active requests are counted.
	pollInterval = 10 * time.Millisecond
)

// Options configure [Close].
type Options struct {
	Clock clockwork.Clock
	// Listener is the one on which the server accepts connections.
	Listener net.Listener
	// Active returns the number of requests that are being read or served.
	Active func() int64
	// Left returns the time for which active requests may still be waited for.
	Left func() time.Duration
	// OnCut is called before active requests are cut; it may be nil.
	OnCut func()
}

// Close accepts no further connections, closes the open ones as they become idle, waits for the active requests and closes the
// server. It returns the number of requests that were cut because no time was left.
func Close(s *http.Server, o Options) (cut int64) {
	defer func() { _ = s.Close() }()
	_ = o.Listener.Close()
	// Shutdown would drop the requests whose header the server reads from now on. This closes the idle connections, too.
	s.SetKeepAlivesEnabled(false)
	idleSince := o.Clock.Now()
	for o.Clock.Since(idleSince) < quietTime {
		o.Clock.Sleep(pollInterval)
		active := o.Active()
		if active == 0 {
			continue
		}
		if o.Left() <= 0 {
			if o.OnCut != nil {
				o.OnCut()
			}
			return active
		}
		idleSince = o.Clock.Now()
	}
	return 0
}
