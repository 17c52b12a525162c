package dissemination

import (
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/store"
)

const (
	// pullDelay is how long a router waits for the changes that it lacks before it pulls them, since a watcher normally pushes
	// them at once.
	pullDelay = 200 * time.Millisecond
	// pullPause is the least time between two pulls that fail.
	pullPause = 20 * time.Millisecond
	// minBulkWait and maxBulkWait bound the time between two looks at what is to be pulled or fetched.
	minBulkWait = 5 * time.Millisecond
	maxBulkWait = 50 * time.Millisecond
	// maxPageBytes bounds the changes in one reply to a pull.
	maxPageBytes = 32 << 10
)

// Pull is a request for the changes after a revision.
type Pull struct {
	From    ids.VM
	Address string
	Since   store.Revision
	// Snapshot is set if the request continues a snapshot, whose earlier parts ended at Since.
	Snapshot bool
	// Timeout bounds the request.
	Timeout time.Duration
}

type pullState struct {
	inFlight bool
	// lagSince is when the node first learnt of a higher revision than its own.
	lagSince time.Time
	nextAt   time.Time
	// snapshot is the snapshot that is being received in parts, or nil.
	snapshot *snapshot
}

// snapshot is a listing of another router's replica that arrives in parts.
type snapshot struct {
	from ids.VM
	// after is the revision that the received parts cover.
	after store.Revision
	keys  map[string]bool
}

// NextPull returns the pull that is due, if any, and counts it as under way.
func (n *Node) NextPull(now time.Time) (Pull, bool) {
	own := n.Revision()
	if n.pull.inFlight || n.highest <= own {
		if !n.pull.inFlight {
			n.pull = pullState{}
		}
		return Pull{}, false
	}
	if n.pull.lagSince.IsZero() {
		n.pull.lagSince = now
	}
	if now.Before(n.pull.nextAt) || own > 0 && now.Sub(n.pull.lagSince) < pullDelay {
		return Pull{}, false
	}
	c, ok := n.pullFrom(now, own)
	if !ok {
		return Pull{}, false
	}
	n.pull.inFlight = true
	p := Pull{From: c.vm, Address: c.address, Since: own, Timeout: c.bulkTimeout(n.o.Link, maxPageBytes)}
	if s := n.pull.snapshot; s != nil && s.from == c.vm {
		p.Since, p.Snapshot = s.after, true
	} else {
		n.pull.snapshot = nil
		// Without a revision the node may have keys that have been removed since.
		p.Snapshot = own == 0
	}
	return p, true
}

// pullFrom returns the router from which to pull: the one that has sent a part of a snapshot, or a new one.
func (n *Node) pullFrom(now time.Time, own store.Revision) (candidate, bool) {
	if s := n.pull.snapshot; s != nil {
		if p, known := n.peers[s.from]; known && !now.Before(p.bulk.retryAt) {
			return candidate{s.from, p}, true
		}
	}
	return n.pick(now, func(p *peer) bool { return p.known && p.status.Revision > own })
}

// Page is the reply to a pull.
type Page struct {
	mirror.Delta
	// RetryAfter is set instead of a delta if the router serves too many requests at present.
	RetryAfter time.Duration
}

// PullDone records the reply to a pull, or nil if there was none, and returns the changes that were new.
func (n *Node) PullDone(from ids.VM, page *Page, now time.Time) []store.Change {
	n.pull.inFlight = false
	n.pull.nextAt = now
	p, known := n.peers[from]
	if page == nil || page.RetryAfter > 0 {
		n.pull.nextAt = now.Add(pullPause)
		n.pull.snapshot = nil
		switch {
		case !known:
		case page == nil:
			p.bulk.fail(now)
		default:
			p.bulk.retryAt = now.Add(page.RetryAfter)
		}
		return nil
	}
	if known {
		p.bulk.succeed()
	}
	if page.Snapshot {
		return n.learn(n.mergeSnapshot(from, page))
	}
	return n.learn(n.replica.Merge(page.List, page.Since, page.UpTo))
}

// mergeSnapshot merges one part of a snapshot. The replica is complete only after the last part, which also removes the keys
// that the snapshot lacks.
func (n *Node) mergeSnapshot(from ids.VM, page *Page) []store.Change {
	s := n.pull.snapshot
	if s == nil {
		s = &snapshot{from: from, keys: map[string]bool{}}
		n.pull.snapshot = s
	}
	for _, c := range page.List {
		if !c.Removed {
			s.keys[c.Key] = true
		}
	}
	s.after = page.UpTo
	applied := n.replica.Apply(page.List, n.Revision())
	if page.More {
		return applied
	}
	n.pull.snapshot = nil
	return append(applied, n.replica.RemoveMissing(s.keys, page.UpTo)...)
}

// BulkWait returns the time until NextPull and NextFetch are to be called again, and whether the node lacks anything.
func (n *Node) BulkWait(now time.Time) (time.Duration, bool) {
	omitted := n.LacksValue()
	if !omitted && n.highest <= n.Revision() {
		return 0, false
	}
	wait := maxBulkWait
	if omitted && !n.fetch.inFlight {
		wait = min(wait, n.fetch.nextAt.Sub(now))
	}
	if !omitted && !n.pull.inFlight {
		wait = min(wait, n.pull.nextAt.Sub(now))
	}
	return max(minBulkWait, wait), true
}

// ServePull returns the changes after a revision for a router that pulls them, or the next part of a snapshot.
func (n *Node) ServePull(since store.Revision, snapshot bool, now time.Time) Page {
	if wait := n.uploads.wait(burstToContinue, now); wait > 0 {
		return Page{RetryAfter: wait}
	}
	var d mirror.Delta
	if snapshot {
		d = n.replica.Snapshot(since, maxPageBytes)
	} else {
		d = n.replica.Delta(since, maxPageBytes)
	}
	n.uploads.take(deltaBytes(d), now)
	return Page{Delta: d}
}

func deltaBytes(d mirror.Delta) int {
	size := 0
	for _, c := range d.List {
		size += len(c.Key) + len(c.Value)
	}
	return size
}
