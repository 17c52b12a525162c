// Package queue schedules work onto the slots of an upstream.
//
// A share of the slots is reserved for short work, so that long work alone cannot make it wait. Within a class the
// workspaces are served round-robin, so that a burst of one workspace does not delay the others.
//
// # Usage
//
//	item, err := q.Add(queue.Item{Workspace: w, Class: queue.Short, Tokens: 64})
//	<-item.Started()
//	defer q.Done(item)
package queue

import (
	"slices"
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
)

// classQueue holds the work of one class. The waiting work is grouped by workspace; rotation lists the workspaces with
// waiting work in the order in which they are served.
type classQueue struct {
	rotation []ids.Workspace
	waiting  map[ids.Workspace][]*Item
	resumed  []*Item
	running  []*Item
}

// Queue tracks the slots of one upstream and the work that waits for them. It is not safe for concurrent use.
type Queue struct {
	limits        Limits
	classes       [2]*classQueue
	waiting       int
	waitingTokens uint64
	runningTokens uint64
}

// New returns an empty queue.
func New(limits Limits) *Queue {
	return &Queue{limits: limits, classes: [2]*classQueue{newClassQueue(), newClassQueue()}}
}

func newClassQueue() *classQueue { return &classQueue{waiting: make(map[ids.Workspace][]*Item)} }

// SetLimits changes the limits. Running work keeps its slots.
func (q *Queue) SetLimits(l Limits) {
	q.limits = l
	q.dispatch()
}

// Add enqueues an item and starts it if a slot is free. It returns a fault of kind queue_full if there is no free slot
// and MaxWaiting items wait already. Resumed work is always accepted.
func (q *Queue) Add(item Item) (*Item, error) {
	if q.waiting >= q.limits.MaxWaiting && !item.Resumed && !q.slotFree(item.Class) {
		return nil, fault.New(fault.QueueFull, "%d are waiting", q.waiting)
	}
	i := &item
	i.started = make(chan struct{})
	i.preempt = make(chan struct{})
	cq := q.classes[i.Class]
	if i.Resumed {
		cq.resumed = append(cq.resumed, i)
	} else {
		cq.push(i)
	}
	q.waiting++
	q.waitingTokens += i.Tokens
	q.dispatch()
	q.preempt()
	return i, nil
}

func (cq *classQueue) push(i *Item) {
	if len(cq.waiting[i.Workspace]) == 0 {
		cq.rotation = append(cq.rotation, i.Workspace)
	}
	cq.waiting[i.Workspace] = append(cq.waiting[i.Workspace], i)
}

// pop removes the next item: resumed work first, then the workspaces in rotation. The queue must not be empty.
func (cq *classQueue) pop() *Item {
	if len(cq.resumed) > 0 {
		i := cq.resumed[0]
		cq.resumed = cq.resumed[1:]
		return i
	}
	w := cq.rotation[0]
	cq.rotation = cq.rotation[1:]
	items := cq.waiting[w]
	if len(items) == 1 {
		delete(cq.waiting, w)
		return items[0]
	}
	cq.waiting[w] = items[1:]
	cq.rotation = append(cq.rotation, w)
	return items[0]
}

func (cq *classQueue) empty() bool { return len(cq.rotation) == 0 && len(cq.resumed) == 0 }

func (q *Queue) running() int { return len(q.classes[Short].running) + len(q.classes[Long].running) }

func (q *Queue) slotFree(c Class) bool {
	if q.running() >= q.limits.Slots {
		return false
	}
	return c == Short || len(q.classes[Long].running) < q.limits.maxLongSlots()
}

// dispatch starts waiting items while there are free slots, short work first.
func (q *Queue) dispatch() {
	for _, c := range []Class{Short, Long} {
		cq := q.classes[c]
		for !cq.empty() && q.slotFree(c) {
			i := cq.pop()
			cq.running = append(cq.running, i)
			q.waiting--
			q.waitingTokens -= i.Tokens
			q.runningTokens += i.Tokens
			close(i.started)
		}
	}
}

// preempt signals running long work to release the slots that waiting short work needs. It starts with the items that
// have the most tokens left and leaves at least minLongSlots slots to long work.
func (q *Queue) preempt() {
	pending := 0
	for _, i := range q.classes[Long].running {
		if i.preempted {
			pending++
		}
	}
	for pending < q.classes[Short].length() && len(q.classes[Long].running)-pending > q.limits.minLongSlots() {
		victim := q.nextVictim()
		if victim == nil {
			return
		}
		victim.preempted = true
		close(victim.preempt)
		pending++
	}
}

// nextVictim returns the preemptible long item with the most tokens, or nil if there is none.
func (q *Queue) nextVictim() *Item {
	var longest *Item
	for _, i := range q.classes[Long].running {
		if i.Preemptible && !i.preempted && (longest == nil || i.Tokens > longest.Tokens) {
			longest = i
		}
	}
	return longest
}

// length is the number of waiting items.
func (cq *classQueue) length() int {
	n := len(cq.resumed)
	for _, items := range cq.waiting {
		n += len(items)
	}
	return n
}

// Done releases the slot of a started item, or removes a waiting item from the queue.
func (q *Queue) Done(i *Item) {
	select {
	case <-i.started:
		cq := q.classes[i.Class]
		cq.running = slices.DeleteFunc(cq.running, func(other *Item) bool { return other == i })
		q.runningTokens -= i.Tokens
		q.dispatch()
	default:
		q.remove(i)
	}
}

func (q *Queue) remove(i *Item) {
	cq := q.classes[i.Class]
	q.waiting--
	q.waitingTokens -= i.Tokens
	same := func(other *Item) bool { return other == i }
	if i.Resumed {
		cq.resumed = slices.DeleteFunc(cq.resumed, same)
		return
	}
	rest := slices.DeleteFunc(cq.waiting[i.Workspace], same)
	if len(rest) > 0 {
		cq.waiting[i.Workspace] = rest
		return
	}
	delete(cq.waiting, i.Workspace)
	cq.rotation = slices.DeleteFunc(cq.rotation, func(w ids.Workspace) bool { return w == i.Workspace })
}

// State summarizes a queue for load reports. Tokens counts the tokens of running and waiting items.
type State struct {
	Running int
	Waiting int
	Tokens  uint64
	Slots   int
}

// State returns the current state of the queue.
func (q *Queue) State() State {
	return State{q.running(), q.waiting, q.waitingTokens + q.runningTokens, q.limits.Slots}
}

// Wait blocks until the item gets a slot, its deadline passes, or stop is closed. It reports whether the item got a slot.
func (i *Item) Wait(now time.Time, after func(time.Duration) <-chan time.Time, stop <-chan struct{}) bool {
	select {
	case <-i.started:
		return true
	case <-after(i.Deadline.Sub(now)):
		return false
	case <-stop:
		return false
	}
}
