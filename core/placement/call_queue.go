package placement

import (
	"slices"
	"time"
)

// serviceMargin is the time that a call is assumed to take once admitted, as a multiple of the mean: one call in seven takes longer.
const serviceMargin = 1.5

const (
	// shareWeight is the weight of one call in the moving average of the calls on time.
	shareWeight = 0.05
	// minLateShare is the least part of the capacity that late calls are expected to get.
	minLateShare = 0.02
)

// Call is what decides on the order in which waiting calls are served.
type Call struct {
	// Rank is the priority of the call; zero is the highest.
	Rank int
	// OnTime is the time until which an answer is on time, zero if the caller has no target, Deadline the time after which the
	// caller does not want one any more.
	OnTime   time.Time
	Deadline time.Time
}

// late reports whether a call that is admitted now is expected to be answered too late.
func (c Call) late(now time.Time, callTime time.Duration) bool {
	return !c.OnTime.IsZero() && now.Add(time.Duration(serviceMargin*float64(callTime))).After(c.OnTime)
}

// precedes reports whether c is served before an earlier arrival o. A service that gets more calls than it can answer on time would
// answer all of them late if it served them in the order of their arrival. So calls that can still be on time come first, those with
// the earliest target before others, and late ones get what is left.
func (c Call) precedes(o Call, now time.Time, callTime time.Duration) bool {
	if c.Rank != o.Rank {
		return c.Rank < o.Rank
	}
	cLate, oLate := c.late(now, callTime), o.late(now, callTime)
	if cLate != oLate {
		return oLate
	}
	if cLate || c.OnTime.IsZero() || o.OnTime.IsZero() {
		return false
	}
	return c.OnTime.Before(o.OnTime)
}

type queuedCall struct {
	Waiter
	Call
}

// CallQueue holds the calls that wait for a slot. It is not safe for concurrent use.
type CallQueue struct {
	calls []queuedCall
	// onTimeShare is the share of the calls served lately that could still be on time, as a moving average.
	onTimeShare float64
}

// Len returns the number of waiting calls.
func (q *CallQueue) Len() int { return len(q.calls) }

// Push adds a call.
func (q *CallQueue) Push(w Waiter, c Call) { q.calls = append(q.calls, queuedCall{w, c}) }

// Remove removes a call, or returns false if it does not wait.
func (q *CallQueue) Remove(w Waiter) bool {
	i := slices.IndexFunc(q.calls, func(c queuedCall) bool { return c.Waiter == w })
	if i < 0 {
		return false
	}
	q.calls = slices.Delete(q.calls, i, i+1)
	return true
}

// Pop removes and returns the call that is served next. The queue must not be empty.
func (q *CallQueue) Pop(now time.Time, callTime time.Duration) Waiter {
	next := 0
	for i, c := range q.calls {
		if c.precedes(q.calls[next].Call, now, callTime) {
			next = i
		}
	}
	c := q.calls[next]
	q.calls = slices.Delete(q.calls, next, next+1)
	if len(q.calls) > 0 {
		served := 1.0
		if c.late(now, callTime) {
			served = 0
		}
		q.onTimeShare += shareWeight * (served - q.onTimeShare)
	}
	return c.Waiter
}

// Ahead returns how many waiting calls are served before a new one. If that many make it late, all of its rank come before it.
func (q *CallQueue) Ahead(c Call, now time.Time, callTime time.Duration, limit float64) int {
	onTime, all := 0, 0
	for _, o := range q.calls {
		if o.Rank > c.Rank {
			continue
		}
		all++
		if !c.precedes(o.Call, now, callTime) {
			onTime++
		}
	}
	start := now.Add(time.Duration(float64(callTime) * float64(onTime+1) / limit))
	if c.late(start, callTime) {
		return all
	}
	return onTime
}

// Hopeless removes and returns the calls whose deadlines are expected to pass before they are served. wait returns the waiting time
// behind a number of calls. Late calls get the part of the capacity that they got lately, which is little while many calls on time
// arrive.
func (q *CallQueue) Hopeless(now time.Time, callTime time.Duration, wait func(calls int) time.Duration) []Waiter {
	onTime := 0
	for _, c := range q.calls {
		if !c.late(now, callTime) {
			onTime++
		}
	}
	var out []Waiter
	late := 0
	kept := q.calls[:0]
	for _, c := range q.calls {
		ahead := 0
		if c.late(now, callTime) {
			late++
			ahead = onTime + int(float64(late)/max(minLateShare, 1-q.onTimeShare))
		}
		if now.Add(wait(ahead)).After(c.Deadline) {
			out = append(out, c.Waiter)
			continue
		}
		kept = append(kept, c)
	}
	clear(q.calls[len(kept):])
	q.calls = kept
	return out
}
