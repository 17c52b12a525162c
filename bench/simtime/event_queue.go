package simtime

import "time"

// scheduledEvent is an event of the simulation. run is called at simulated time at; seq is the order of scheduling.
type scheduledEvent struct {
	at  time.Time
	seq int
	run func()
}

// eventQueue is a heap of events, ordered by time and, at the same time, by sequence number.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any) {
	if e, ok := x.(scheduledEvent); ok {
		*q = append(*q, e)
	}
}

func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
