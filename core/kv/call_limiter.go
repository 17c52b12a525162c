package kv

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"bilberrylug.dev/core/fault"
)

// CallLimiter limits the rate of a process's calls to the platform's service and counts them.
type CallLimiter struct {
	reads  *rate.Limiter
	writes *rate.Limiter
	count  func(kind string)
}

// NewCallLimiter returns a limiter with rates in calls per second. It calls count, which may be nil, with the kind
// (read, watch or write) of each call that it admits.
func NewCallLimiter(readsPerSecond, writesPerSecond float64, count func(kind string)) *CallLimiter {
	if count == nil {
		count = func(string) {}
	}
	return &CallLimiter{
		reads:  rate.NewLimiter(rate.Limit(readsPerSecond), max(1, int(readsPerSecond))),
		writes: rate.NewLimiter(rate.Limit(writesPerSecond), max(1, int(writesPerSecond))),
		count:  count,
	}
}

// maxLimiterWait bounds how long a call waits for the limiter.
const maxLimiterWait = 2 * time.Second

func (c *CallLimiter) wait(ctx context.Context, kind string, l *rate.Limiter) error {
	ctx, cancel := context.WithTimeout(ctx, maxLimiterWait)
	defer cancel()
	if err := l.Wait(ctx); err != nil {
		return fmt.Errorf("%w", fault.Wrap(fault.StoreUnavailable, err, "own limit of %s calls", kind))
	}
	c.count(kind)
	return nil
}
