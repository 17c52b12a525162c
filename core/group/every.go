package group

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Every calls f once per interval, for the first time after one interval, until the context ends.
func Every(ctx context.Context, clock clockwork.Clock, interval time.Duration, f func()) {
	ticker := clock.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		f()
	}
}
