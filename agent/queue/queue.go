// Package queue decides which work gets the next slot of an upstream.
//
// Short work has a reserved share of the slots, so that it never waits behind long work alone. Within a class the
// workspaces take turns, so that a crest of one does not hold up the others.
//
// # Usage
//
//	item, err := q.Add(now, queue.Item{Workspace: w, Class: queue.Short, Tokens: 64})
//	<-item.Started()
//	defer q.Done(item)
package queue

import (
	"slices"
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
)

// lane holds the waiting work of one class, by workspace.
type lane struct {
	turns   []ids.Workspace
	waiting map[ids.Workspace][]*Item
	resumed []*Item
	running []*Item
}

// Queue is the state of one upstream's slots. It is not safe for concurrent use.
type Queue struct {
	limits        Limits
	lanes         [2]*lane
	waiting       int
	waitingTokens uint64
	runningTokens uint64
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{limits: limits, lanes: [2]*lane{newLane(), newLane()}}
}

func newLane() *lane { return &lane{waiting: make(map[ids.Workspace][]*Item)} }

// SetLimits changes the limits; running work is not touched.
func (q *Queue) SetLimits(l Limits) {
	q.limits = l
	q.dispatch()
}

// Add takes a piece of work, or returns a fault of kind queue_full.
func (q *Queue) Add(item Item) (*Item, error) {
	if q.waiting >= q.limits.MaxWaiting && !item.Resumed && !q.slotFree(item.Class) {
		return nil, fault.New(fault.QueueFull, "%d are waiting", q.waiting)
	}
	i := &item
	i.start = make(chan struct{})
	i.preempt = make(chan struct{})
	l := q.lanes[i.Class]
	if i.Resumed {
		l.resumed = append(l.resumed, i)
	} else {
		l.push(i)
	}
	q.waiting++
	q.waitingTokens += i.Tokens
	q.dispatch()
	q.preempt()
	return i, nil
}

func (l *lane) push(i *Item) {
	if len(l.waiting[i.Workspace]) == 0 {
		l.turns = append(l.turns, i.Workspace)
	}
	l.waiting[i.Workspace] = append(l.waiting[i.Workspace], i)
}

// pop takes the next item in turn.
func (l *lane) pop() *Item {
	if len(l.resumed) > 0 {
		i := l.resumed[0]
		l.resumed = l.resumed[1:]
		return i
	}
	w := l.turns[0]
	l.turns = l.turns[1:]
	items := l.waiting[w]
	if len(items) == 1 {
		delete(l.waiting, w)
		return items[0]
	}
	l.waiting[w] = items[1:]
	l.turns = append(l.turns, w)
	return items[0]
}

func (l *lane) empty() bool { return len(l.turns) == 0 && len(l.resumed) == 0 }

func (q *Queue) running() int { return len(q.lanes[Short].running) + len(q.lanes[Long].running) }

func (q *Queue) slotFree(c Class) bool {
	if q.running() >= q.limits.Slots {
		return false
	}
	return c == Short || len(q.lanes[Long].running) < q.limits.longSlots()
}

// dispatch starts what has a free slot, short work first.
func (q *Queue) dispatch() {
	for _, c := range []Class{Short, Long} {
		l := q.lanes[c]
		for !l.empty() && q.slotFree(c) {
			i := l.pop()
			l.running = append(l.running, i)
			q.waiting--
			q.waitingTokens -= i.Tokens
			q.runningTokens += i.Tokens
			close(i.start)
		}
	}
}

// preempt asks running long work for the slots that waiting short work needs: the longest first, and never so many that
// long work keeps less than its floor.
func (q *Queue) preempt() {
	leaving := 0
	for _, i := range q.lanes[Long].running {
		if i.preempted {
			leaving++
		}
	}
	for leaving < q.lanes[Short].length() && len(q.lanes[Long].running)-leaving > q.limits.longFloor() {
		victim := q.victim()
		if victim == nil {
			return
		}
		victim.preempted = true
		close(victim.preempt)
		leaving++
	}
}

func (q *Queue) victim() *Item {
	var longest *Item
	for _, i := range q.lanes[Long].running {
		if i.Preemptible && !i.preempted && (longest == nil || i.Tokens > longest.Tokens) {
			longest = i
		}
	}
	return longest
}

// length returns the number of waiting items.
func (l *lane) length() int {
	n := len(l.resumed)
	for _, items := range l.waiting {
		n += len(items)
	}
	return n
}

// Done gives a slot back, or takes a waiting item out of the queue.
func (q *Queue) Done(i *Item) {
	select {
	case <-i.start:
		l := q.lanes[i.Class]
		l.running = slices.DeleteFunc(l.running, func(one *Item) bool { return one == i })
		q.runningTokens -= i.Tokens
		q.dispatch()
	default:
		q.remove(i)
	}
}

func (q *Queue) remove(i *Item) {
	l := q.lanes[i.Class]
	q.waiting--
	q.waitingTokens -= i.Tokens
	is := func(one *Item) bool { return one == i }
	if i.Resumed {
		l.resumed = slices.DeleteFunc(l.resumed, is)
		return
	}
	rest := slices.DeleteFunc(l.waiting[i.Workspace], is)
	if len(rest) > 0 {
		l.waiting[i.Workspace] = rest
		return
	}
	delete(l.waiting, i.Workspace)
	l.turns = slices.DeleteFunc(l.turns, func(w ids.Workspace) bool { return w == i.Workspace })
}

// State is a summary for load reports.
type State struct {
	Running int
	Waiting int
	Tokens  uint64
	Slots   int
}

// State returns the current summary.
func (q *Queue) State() State {
	return State{q.running(), q.waiting, q.waitingTokens + q.runningTokens, q.limits.Slots}
}

// Wait blocks until the item has its slot, until its deadline, or until stop is closed. It returns false without a slot.
func (i *Item) Wait(now time.Time, after func(time.Duration) <-chan time.Time, stop <-chan struct{}) bool {
	select {
	case <-i.start:
		return true
	case <-after(i.Deadline.Sub(now)):
		return false
	case <-stop:
		return false
	}
}
