package fleetview

import (
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
)

// PeerVersion is how far this router has a peer's table. The epoch tells one life of the peer from the next.
type PeerVersion struct {
	Epoch   uint64
	Version uint64
}

// Delta is what a peer lacks of this router's table, and what this router has of the peer's.
type Delta struct {
	Members []membership.Member
	Base    uint64
	Version uint64
	Known   PeerVersion
	// Digest stands for the members when the peer is met for the first time: most often it has them from others.
	Digest uint64
}

// digestMembers is the size of a table from which a peer that is met for the first time is sent the digest.
const digestMembers = 16

// DeltaFor returns what a peer has not confirmed yet; an unknown peer lacks all, which a digest stands for unless the whole
// is asked for.
func (v *View) DeltaFor(peer ids.VM, whole bool) Delta {
	v.mu.Lock()
	defer v.mu.Unlock()
	d := Delta{Base: v.table.Acknowledged(peer), Known: v.known[peer]}
	d.Members, d.Version = v.table.ChangedAfter(d.Base)
	if d.Base == 0 && !whole && len(d.Members) >= digestMembers {
		d.Members = nil
		d.Digest = v.table.Digest()
	}
	return d
}

// DigestMatches tells whether this router's table is the one of the digest.
func (v *View) DigestMatches(digest uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Digest() == digest
}

// RecordExchange notes an answered exchange: the peer has what was sent, and this router the answer. A peer that was started
// anew has lost what it had.
func (v *View) RecordExchange(peer ids.VM, sent Delta, now PeerVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	restarted := sent.Known.Epoch != 0 && sent.Known.Epoch != now.Epoch
	v.known[peer] = now
	if restarted {
		v.table.ResetPeer(peer)
		return
	}
	v.table.Acknowledge(peer, sent.Version)
}

// RecordRequest notes a peer's request: the version of this router's table that the peer confirms, and its own version, which
// counts only if its news joins on to what this router has of it.
func (v *View) RecordRequest(peer ids.VM, confirmed, base uint64, now PeerVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if confirmed > 0 {
		v.table.Acknowledge(peer, confirmed)
	} else {
		v.table.ResetPeer(peer)
	}
	known := v.known[peer]
	joins := base == 0 || (known.Epoch == now.Epoch && known.Version >= base)
	if joins && (known.Epoch != now.Epoch || now.Version > known.Version) {
		v.known[peer] = now
	}
}
