package caller

import (
	"context"
	"time"

	"bilberrylug.dev/core/activeconfig"
)

// startupWait is how long after the router's start requests wait for its first configuration. The other routers may be starting, too, so
// that a refused caller has nowhere else to go.
const startupWait = 2 * time.Second

// awaitConfig returns the active configuration, or nil if there is none. Shortly after the start it waits for one.
func (s *Server) awaitConfig(ctx context.Context) *activeconfig.Config {
	var timeout <-chan time.Time
	for {
		changed := s.Config.Changed()
		if c := s.Config.Current(); c != nil {
			return c
		}
		if timeout == nil {
			timeout = s.Clock.After(startupWait - s.Clock.Since(s.startedAt))
		}
		select {
		case <-changed:
		case <-timeout:
			return nil
		case <-ctx.Done():
			return nil
		}
	}
}
