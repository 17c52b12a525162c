package dissemination

import (
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/store"
)

const (
	// peerTTL is how long a router that the store does not list counts as present after its last update, at least
	// intervalsUntilGone intervals of updates.
	peerTTL            = 3 * time.Second
	intervalsUntilGone = 3
	// firstBackoff and maxBackoff bound the time for which a peer that did not answer is left alone. It doubles with each
	// failure in a row.
	firstBackoff = 200 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// rateWeight is the weight of a new measurement in the moving average of a peer's rate.
	rateWeight = 0.3
)

// The penalties order the peers to pull or fetch from; equal ones are ordered at random. A peer that has failed several times in a
// row counts as one that has failed maxCountedFailures times.
const (
	otherDomainPenalty = 1
	narrowPenalty      = 2
	failurePenalty     = 4
	maxCountedFailures = 2
)

// backoff is the state of retries after failures in a row. The zero value allows a try at once.
type backoff struct {
	failures int
	retryAt  time.Time
}

func (b *backoff) fail(now time.Time) {
	pause := min(maxBackoff, firstBackoff<<min(b.failures, 8))
	b.failures++
	b.retryAt = now.Add(pause)
}

func (b *backoff) succeed() { *b = backoff{} }

// push holds the revision that a router was at when changes were pushed to it, and the revision up to which they were.
type push struct{ since, upTo store.Revision }

// lacksPush reports whether changes up to a revision have not been pushed to the router yet.
func (p *peer) lacksPush(upTo store.Revision) bool {
	return p.known && p.status.Revision < upTo && p.pushed != push{p.status.Revision, upTo}
}

// peer is what the node knows of another router.
type peer struct {
	address string
	// listed is set if the store lists the router.
	listed bool
	// seed is set if only the address of the router is known, from the settings.
	seed     bool
	lastSeen time.Time
	// known is set once the router has reported a status.
	known  bool
	status Status

	// updates and bulk are the retries of updates, and of pulls and fetches.
	updates backoff
	bulk    backoff
	// pushed is the last push of changes to the router, whether they completed it or not. It pulls what it still lacks.
	pushed push
	// sentAt is when the last update was sent to the router, sentSeq the state that it contained.
	sentAt  time.Time
	sentSeq uint64
	// rate is the moving average of the rate at which the router has delivered chunks.
	rate BytesPerSecond
}

// SetListed records the address of a router that the store lists. An empty address means that the store no longer lists it.
func (n *Node) SetListed(vm ids.VM, address string) {
	if vm == n.o.Self {
		return
	}
	if address == "" {
		if p, known := n.peers[vm]; known {
			p.listed = false
		}
		return
	}
	p := n.peer(vm)
	p.address = address
	p.listed = true
}

// Peers returns the addresses of the other routers that are present, or the seeds if there are none.
func (n *Node) Peers(now time.Time) map[ids.VM]string {
	n.expirePeers(now)
	out := make(map[ids.VM]string, len(n.peers))
	for vm, p := range n.peers {
		out[vm] = p.address
	}
	return out
}

// expirePeers forgets the routers that are neither listed nor seen, and falls back to the seeds if none is left.
func (n *Node) expirePeers(now time.Time) {
	others := false
	for vm, p := range n.peers {
		if !p.seed && !p.listed && now.Sub(p.lastSeen) >= max(peerTTL, intervalsUntilGone*n.LongestInterval()) {
			delete(n.peers, vm)
			continue
		}
		others = others || !p.seed
	}
	for _, address := range n.o.Seeds {
		// The name of a seed is unknown until it has sent an update.
		vm := ids.VM(address)
		_, known := n.peers[vm]
		switch {
		case others && known:
			delete(n.peers, vm)
		case !others && !known:
			n.peers[vm] = &peer{address: address, seed: true}
		}
	}
}

func (n *Node) peer(vm ids.VM) *peer {
	p, known := n.peers[vm]
	if !known {
		p = &peer{}
		n.peers[vm] = p
	}
	return p
}

// setStatus records what a router has reported about itself. A restarted router is at a lower revision than before, so the
// reported revision always replaces the known one.
func (n *Node) setStatus(p *peer, s Status) {
	p.known = true
	p.status = s
	n.highest = max(n.highest, s.Revision)
}

// candidate is a peer from which the node may pull or fetch.
type candidate struct {
	vm ids.VM
	*peer
}

// pick returns the peer to pull or fetch from: one with a wide link, then one of the node's own failure domain, then any.
func (n *Node) pick(now time.Time, usable func(p *peer) bool) (candidate, bool) {
	var best candidate
	var bestScore float64
	for vm, p := range n.peers {
		if p.address == "" || now.Before(p.bulk.retryAt) || !usable(p) {
			continue
		}
		score := n.rng.Float64()
		if p.status.Narrow {
			score += narrowPenalty
		}
		if p.status.Domain != n.o.Domain {
			score += otherDomainPenalty
		}
		score += failurePenalty * float64(min(p.bulk.failures, maxCountedFailures))
		if best.peer == nil || score < bestScore {
			best, bestScore = candidate{vm, p}, score
		}
	}
	return best, best.peer != nil
}
