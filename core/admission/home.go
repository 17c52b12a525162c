package admission

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// reportLifetime is the age after which a router's count of running requests no longer counts.
const reportLifetime = 5 * time.Second

// Limit is what a workspace may do in the whole fleet.
type Limit struct {
	RequestsPerSecond float64
	MaxRunning        int
}

type runningReport struct {
	count int
	at    time.Time
}

type account struct {
	credits  float64
	filledAt time.Time
	running  map[ids.VM]runningReport
}

// Coordinator holds the budgets of the workspaces whose home this router is. It is not safe for concurrent use.
type Coordinator struct {
	accounts map[ids.Workspace]*account
}

// NewCoordinator returns a home without accounts.
func NewCoordinator() *Coordinator { return &Coordinator{accounts: make(map[ids.Workspace]*account)} }

// Grant gives out at most want starts for a workspace to a router that has the given number running.
func (h *Coordinator) Grant(now time.Time, w ids.Workspace, from ids.VM, l Limit, want, running int) int {
	a, known := h.accounts[w]
	if !known {
		a = &account{credits: burst(l), filledAt: now, running: make(map[ids.VM]runningReport)}
		h.accounts[w] = a
	}
	a.credits = min(a.credits+now.Sub(a.filledAt).Seconds()*l.RequestsPerSecond, burst(l))
	a.filledAt = now
	a.running[from] = runningReport{running, now}
	granted := min(want, int(a.credits), l.MaxRunning-a.totalRunning(now))
	granted = max(granted, 0)
	a.credits -= float64(granted)
	a.running[from] = runningReport{running + granted, now}
	return granted
}

// Expire drops accounts that nobody has asked for in the given time.
func (h *Coordinator) Expire(now time.Time, idle time.Duration) {
	for w, a := range h.accounts {
		if now.Sub(a.filledAt) > idle {
			delete(h.accounts, w)
		}
	}
}

// Len returns the number of accounts.
func (h *Coordinator) Len() int { return len(h.accounts) }

func (a *account) totalRunning(now time.Time) int {
	total := 0
	for vm, r := range a.running {
		if now.Sub(r.at) > reportLifetime {
			delete(a.running, vm)
			continue
		}
		total += r.count
	}
	return total
}

// burst is one second's worth, and at least one start.
func burst(l Limit) float64 { return max(l.RequestsPerSecond, 1) }
