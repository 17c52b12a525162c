package dissemination

import (
	"cmp"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/store"
)

const (
	// updatesPerSecond is the number of updates that a router sends on average if its state changes all the time, and
	// updateBurst the number that it sends at once after a pause. A small fleet learns of each change at once, and in a large one
	// each router is told more rarely, for the same cost.
	updatesPerSecond = 160
	updateBurst      = 128
	// minInterval is the least interval between two updates to the same router.
	minInterval = 50 * time.Millisecond
	// roundPause is the least time between two rounds of updates.
	roundPause = 20 * time.Millisecond
	// minIdleInterval is the least interval of updates without a change of state, which show that the router is present.
	minIdleInterval = 500 * time.Millisecond
	// maxInterval bounds the interval that a router may ask for.
	maxInterval = 2 * time.Second
	// updateBytes and updateCPUTime are the cost of one update for its receiver; linkShare and cpuShare are the parts of the
	// link and of the share of a core that updates may take.
	updateBytes   = 600
	updateCPUTime = 60 * time.Microsecond
	linkShare     = 0.1
	cpuShare      = 0.2
	// maxSending bounds the updates that are under way to routers that answer, maxSendingToFailed those to routers that did
	// not answer the last one.
	maxSending         = 32
	maxSendingToFailed = 8
	// maxPushBytes bounds the changes that are part of an update. A router that lacks more pulls them.
	maxPushBytes = 16 << 10
)

// Update is a state update to be sent to another router.
type Update struct {
	To      ids.VM
	Address string
	// Delta holds the changes that the router lacks, or nil if it is not this router that pushes them.
	Delta *mirror.Delta
}

// StateChanged records that the router's own state has changed, so that the next updates are due sooner.
func (n *Node) StateChanged(now time.Time) {
	n.stateSeq++
	if next := now.Add(roundPause); n.nextRound.After(next) {
		n.nextRound = next
	}
}

// idleInterval returns the longest interval between two updates to a router that answers.
func (n *Node) idleInterval() time.Duration {
	return max(minIdleInterval, time.Duration(len(n.peers))*time.Second/updatesPerSecond)
}

// LongestInterval returns the longest interval at which updates of one router arrive at this one while both answer.
func (n *Node) LongestInterval() time.Duration { return max(n.idleInterval(), n.wantedInterval()) }

// wantedInterval returns the interval at which the updates of all peers take the allowed part of the link and of the processor.
func (n *Node) wantedInterval() time.Duration {
	peers := float64(len(n.peers))
	interval := time.Duration(peers * float64((linkShare * n.o.Link).transferTime(updateBytes)))
	if n.o.CPUShare > 0 {
		interval = max(interval, time.Duration(peers*float64(updateCPUTime)/(cpuShare*n.o.CPUShare)))
	}
	return min(interval, maxInterval)
}

// Updates returns the updates that are due and counts them as under way: pushes of changes first, then those that wait the
// longest.
func (n *Node) Updates(now time.Time) []Update {
	if now.Before(n.nextRound) && !n.pushDue {
		return nil
	}
	n.expirePeers(now)
	n.pushDue = false
	due, next := n.due(now)
	n.nextRound = later(next, now.Add(roundPause))
	out := make([]Update, 0, len(due))
	deltas := map[store.Revision]*mirror.Delta{}
	for _, d := range due {
		if !d.push && !n.updates.available(now) || !n.startSending(d.vm) {
			n.nextRound = now.Add(roundPause)
			continue
		}
		n.updates.take(1, now)
		d.sentAt = now
		d.sentSeq = n.stateSeq
		u := Update{To: d.vm, Address: d.address}
		if d.push {
			u.Delta = n.push(d.status.Revision, deltas)
			d.pushed = push{d.status.Revision, n.Revision()}
		}
		out = append(out, u)
	}
	return out
}

// dueUpdate is a router to which an update is due.
type dueUpdate struct {
	candidate
	// push is set if the router lacks changes that this router pushes to it.
	push bool
}

// due returns the routers to which updates are due, in the order in which they are sent, and when the next one is due.
func (n *Node) due(now time.Time) ([]dueUpdate, time.Time) {
	pushes := n.o.SendsChangesTo(now)
	next := now.Add(n.idleInterval())
	var out []dueUpdate
	for vm, p := range n.peers {
		if _, sending := n.sending[vm]; sending || p.address == "" {
			continue
		}
		push := p.lacksPush(n.Revision()) && pushes(vm)
		dueAt := n.dueAt(p)
		if push {
			dueAt = p.updates.retryAt
		}
		if !dueAt.After(now) {
			out = append(out, dueUpdate{candidate{vm, p}, push})
		} else if dueAt.Before(next) {
			next = dueAt
		}
	}
	slices.SortFunc(out, func(a, b dueUpdate) int {
		if a.push != b.push {
			if a.push {
				return -1
			}
			return 1
		}
		return cmp.Or(a.sentAt.Compare(b.sentAt), cmp.Compare(a.vm, b.vm))
	})
	return out, next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// push returns the changes after a revision for an update, or nil if they are too many. Deltas caches them by revision.
func (n *Node) push(since store.Revision, deltas map[store.Revision]*mirror.Delta) *mirror.Delta {
	if d, known := deltas[since]; known {
		return d
	}
	var out *mirror.Delta
	d := n.replica.Delta(since, maxPushBytes)
	if d.Snapshot {
		d = n.replica.Partial(since, maxPushBytes)
	}
	if !d.More {
		out = &d
	}
	deltas[since] = out
	return out
}

// startSending counts an update as under way unless too many are.
func (n *Node) startSending(vm ids.VM) bool {
	failing := n.peers[vm].updates.failures > 0
	limit := maxSending
	if failing {
		limit = maxSendingToFailed
	}
	if n.countSending(failing) >= limit {
		return false
	}
	n.sending[vm] = failing
	return true
}

func (n *Node) countSending(failing bool) int {
	count := 0
	for _, f := range n.sending {
		if f == failing {
			count++
		}
	}
	return count
}

// dueAt returns when the next update to a peer is due.
func (n *Node) dueAt(p *peer) time.Time {
	interval := max(minInterval, p.status.MinInterval)
	if p.sentSeq == n.stateSeq {
		interval = max(interval, n.idleInterval())
	}
	return later(p.sentAt.Add(interval), p.updates.retryAt)
}

// NextUpdate returns when Updates is to be called again, unless changes or the router's own state make it due sooner.
func (n *Node) NextUpdate() time.Time { return n.nextRound }

// UpdateDone records the end of an update: the receiver's status, or nil if it did not answer. It reports whether the receiver
// has stopped or begun to answer.
func (n *Node) UpdateDone(to ids.VM, status *Status, now time.Time) (changed bool) {
	delete(n.sending, to)
	p, known := n.peers[to]
	if !known {
		return false
	}
	failedBefore := p.updates.failures > 0
	if status == nil {
		p.pushed = push{}
		p.updates.fail(now)
		return !failedBefore
	}
	p.updates.succeed()
	n.setStatus(p, *status)
	return failedBefore
}

// Receive records an update of another router, and returns the changes in it that were new.
func (n *Node) Receive(from ids.VM, address string, status Status, d *mirror.Delta, now time.Time) []store.Change {
	p := n.peer(from)
	p.address = address
	p.lastSeen = now
	n.setStatus(p, status)
	if d == nil {
		return nil
	}
	return n.learn(n.replica.Merge(d.List, d.Since, d.UpTo))
}
