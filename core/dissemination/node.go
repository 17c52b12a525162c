// Package dissemination decides how the changes of the store and the state of each router reach the other routers.
//
// Small changes are pushed: each router has one of the watchers of the store that sends it the changes it lacks. Everything
// else is pulled by the router that lacks it. A router that learns of a higher revision asks one router at a time for the
// changes, in pages. A large value is announced by its revision and size; a router that lacks it fetches it in chunks from
// one that has it, compressed against the version that it already has. A router serves chunks up to a share of its link and
// otherwise refuses with the names of routers that have fetched the value, so that a value spreads as a tree whose shape
// follows the free links. Nothing is sent again because it was slow: a chunk's timeout follows its size and the rate at which
// the sender has delivered so far, and peers that do not answer are left alone for a growing time.
//
// A Node has no sockets, goroutines or clock of its own. Its caller executes what Node returns and reports the result.
//
// # Usage
//
//	n := dissemination.New(dissemination.Options{Self: "entry-1", ValueKey: "config", Link: 20e6 / 8})
//	changes := n.Receive("entry-2", status, delta, now) // an update has arrived
//	for _, u := range n.Updates(now) { ... }             // send u, then call n.UpdateDone
//	if p, ok := n.NextPull(now); ok { ... }              // ask p.From, then call n.PullDone
//	if f, ok := n.NextFetch(now); ok { ... }             // ask f.From, then call n.FetchDone
package dissemination

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/store"
)

// BytesPerSecond is the rate of a link. Zero means that the rate is unknown and not limited.
type BytesPerSecond float64

// transferTime returns the time that a number of bytes takes.
func (r BytesPerSecond) transferTime(bytes int) time.Duration {
	if r <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(r) * float64(time.Second))
}

// Options configure a Node.
type Options struct {
	Self   ids.VM
	Domain ids.FailureDomain
	// Seeds are the addresses to which updates are sent while no other router is known.
	Seeds []string
	// ValueKey is the key whose large values are fetched. Large values of other keys are only known by their size.
	ValueKey string
	// Link is the rate of this router's link, CPUShare its share of a core; zero means a whole one.
	Link     BytesPerSecond
	CPUShare float64
	// SendsChangesTo returns a function that reports whether this router is the watcher that pushes changes to a router.
	SendsChangesTo func(now time.Time) func(vm ids.VM) bool
}

// Status is what a router reports about itself in each update and reply.
type Status struct {
	Domain ids.FailureDomain
	// Revision is the revision up to which the router's replica is complete, except for omitted values.
	Revision store.Revision
	// Holds is the revision of the large value that the router has.
	Holds store.Revision
	// Narrow is set if the router's link or its share of a core is small.
	Narrow bool
	// MinInterval is the least interval at which the router wants updates from one other router.
	MinInterval time.Duration
}

// Node is one router's part in the dissemination. It is not safe for concurrent use.
type Node struct {
	o        Options
	replica  *mirror.Replica
	versions versions
	peers    map[ids.VM]*peer
	rng      *rand.Rand
	// highest is the highest revision that any router has reported.
	highest store.Revision
	// nextRound is the time before which no update is due except for pushes, and pushDue is set if changes are to be pushed.
	nextRound time.Time
	pushDue   bool
	// stateSeq is incremented by each change of the router's own state.
	stateSeq uint64
	// sending holds the routers to which an update is under way; the value is set if the last one failed.
	sending map[ids.VM]bool
	pull    pullState
	fetch   fetchState
	uploads tokenBucket
	updates tokenBucket
}

// New returns a node with an empty replica and without peers.
func New(o Options) *Node {
	seed := xxhash.Sum64String(string(o.Self))
	return &Node{
		o: o, replica: mirror.NewReplica(), peers: map[ids.VM]*peer{}, sending: map[ids.VM]bool{}, rng: rand.New(rand.NewPCG(seed, 0)),
		uploads: tokenBucket{rate: uploadShare * o.Link, burst: uploadBurst},
		updates: tokenBucket{rate: updatesPerSecond, burst: updateBurst},
	}
}

const (
	// narrowLink and narrowCPUShare are the link rate and share of a core below which a router is narrow: it watches the store
	// and serves large values only if no other router can.
	narrowLink     BytesPerSecond = 100e6 / 8
	narrowCPUShare                = 0.25
)

// Narrow reports whether the router's link or its share of a core is small.
func (o Options) Narrow() bool {
	return o.Link > 0 && o.Link < narrowLink || o.CPUShare > 0 && o.CPUShare < narrowCPUShare
}

// Status returns what the router reports about itself.
func (n *Node) Status() Status {
	return Status{
		Domain: n.o.Domain, Revision: n.replica.Revision(), Holds: n.versions.newest(), Narrow: n.o.Narrow(),
		MinInterval: n.wantedInterval(),
	}
}

// Revision returns the revision up to which the replica is complete, except for omitted values.
func (n *Node) Revision() store.Revision { return n.replica.Revision() }

// Delta returns the changes of the replica after a revision, up to about maxBytes.
func (n *Node) Delta(since store.Revision, maxBytes int) mirror.Delta {
	return n.replica.Delta(since, maxBytes)
}

// Apply applies changes that the store has returned, and returns those that were new.
func (n *Node) Apply(list []store.Change, upTo store.Revision) []store.Change {
	return n.learn(n.replica.Apply(list, upTo))
}

// Reset applies a full listing of one prefix of the store, and returns the changes that were new.
func (n *Node) Reset(prefix string, items []store.Item, at store.Revision) []store.Change {
	return n.learn(n.replica.Reset(prefix, items, at))
}

// MarkComplete records that all prefixes of the store have been listed at a revision or later.
func (n *Node) MarkComplete(at store.Revision) { n.replica.MarkComplete(at) }

// Resolve adds a large value that was fetched or read from the store, and returns the change unless a newer one is known.
func (n *Node) Resolve(item store.Item) []store.Change {
	n.fetch.inFlight = false
	return n.learn(n.replica.Resolve(item))
}

// LacksValue reports whether the node knows of a newer large value than it has.
func (n *Node) LacksValue() bool {
	_, _, omitted := n.replica.Omitted(n.o.ValueKey)
	return omitted
}

// learn keeps the large value among new changes.
func (n *Node) learn(applied []store.Change) []store.Change {
	n.pushDue = n.pushDue || len(applied) > 0
	for _, c := range applied {
		if c.Key == n.o.ValueKey && !c.Removed {
			n.versions.add(c.Modified, c.Value)
		}
	}
	return applied
}
