package admission

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// runningCountLifetime is the age above which a router's report of running requests is ignored.
const runningCountLifetime = 5 * time.Second

// Limit is the limit of a workspace over all routers.
type Limit struct {
	RequestsPerSecond float64
	MaxRunning        int
}

type runningCount struct {
	count int
	at    time.Time
}

// account is the token bucket of a workspace and the number of its running requests by router.
type account struct {
	credits    float64
	refilledAt time.Time
	running    map[ids.VM]runningCount
}

// Coordinator grants credits of the workspaces that this router coordinates. It is not safe for concurrent use.
type Coordinator struct {
	accounts map[ids.Workspace]*account
}

// NewCoordinator returns a coordinator without accounts.
func NewCoordinator() *Coordinator { return &Coordinator{accounts: make(map[ids.Workspace]*account)} }

// Grant grants a router at most want credits of a workspace and returns their number. The router has the given number of
// the workspace's requests running.
func (c *Coordinator) Grant(now time.Time, w ids.Workspace, from ids.VM, l Limit, want, running int) int {
	a, known := c.accounts[w]
	if !known {
		a = &account{credits: burst(l), refilledAt: now, running: make(map[ids.VM]runningCount)}
		c.accounts[w] = a
	}
	a.credits = min(a.credits+now.Sub(a.refilledAt).Seconds()*l.RequestsPerSecond, burst(l))
	a.refilledAt = now
	a.running[from] = runningCount{running, now}
	granted := min(want, int(a.credits), l.MaxRunning-a.totalRunning(now))
	granted = max(granted, 0)
	a.credits -= float64(granted)
	a.running[from] = runningCount{running + granted, now}
	return granted
}

// Expire deletes accounts without a grant request for longer than idle.
func (c *Coordinator) Expire(now time.Time, idle time.Duration) {
	for w, a := range c.accounts {
		if now.Sub(a.refilledAt) > idle {
			delete(c.accounts, w)
		}
	}
}

// Len returns the number of accounts.
func (c *Coordinator) Len() int { return len(c.accounts) }

func (a *account) totalRunning(now time.Time) int {
	total := 0
	for vm, r := range a.running {
		if now.Sub(r.at) > runningCountLifetime {
			delete(a.running, vm)
			continue
		}
		total += r.count
	}
	return total
}

// burst returns the largest number of unused credits: those of one second, but at least one.
func burst(l Limit) float64 { return max(l.RequestsPerSecond, 1) }
