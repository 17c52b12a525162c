package fleetview

import (
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
)

// PeerVersion is the version up to which this router has a peer's table. The epoch changes when the peer restarts.
type PeerVersion struct {
	Epoch   uint64
	Version uint64
}

// Delta holds the part of this router's table that a peer lacks, and the version that this router has of the peer's table.
type Delta struct {
	Members []membership.Member
	// Base is the version that the peer has acknowledged; Version is the current one.
	Base    uint64
	Version uint64
	Known   PeerVersion
	// Digest replaces the members at the first exchange with a peer, which has usually received them from others already.
	Digest uint64
}

// minDigestMembers is the smallest number of members for which only the digest is sent at the first exchange with a peer.
const minDigestMembers = 16

// DeltaFor returns the changes that a peer has not acknowledged yet. An unknown peer lacks all members, which the digest
// replaces unless whole is set.
func (v *View) DeltaFor(peer ids.VM, whole bool) Delta {
	v.mu.Lock()
	defer v.mu.Unlock()
	d := Delta{Base: v.table.Acknowledged(peer), Known: v.peerVersions[peer]}
	d.Members, d.Version = v.table.ChangedAfter(d.Base)
	if d.Base == 0 && !whole && len(d.Members) >= minDigestMembers {
		d.Members = nil
		d.Digest = v.table.Digest()
	}
	return d
}

// DigestMatches reports whether this router's table has the given digest.
func (v *View) DigestMatches(digest uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.table.Digest() == digest
}

// RecordExchange records a completed exchange: the peer has what was sent, and this router has the reply. A peer that has
// restarted has lost its earlier state.
func (v *View) RecordExchange(peer ids.VM, sent Delta, now PeerVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	restarted := sent.Known.Epoch != 0 && sent.Known.Epoch != now.Epoch
	v.peerVersions[peer] = now
	if restarted {
		v.table.ResetPeer(peer)
		return
	}
	v.table.Acknowledge(peer, sent.Version)
}

// RecordRequest records a peer's request: the version of this router's table that the peer acknowledges, and the version of
// its own table. The latter is recorded only if the changes of the request continue without a gap from the version that
// this router has.
func (v *View) RecordRequest(peer ids.VM, acknowledged, base uint64, now PeerVersion) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if acknowledged > 0 {
		v.table.Acknowledge(peer, acknowledged)
	} else {
		v.table.ResetPeer(peer)
	}
	known := v.peerVersions[peer]
	contiguous := base == 0 || (known.Epoch == now.Epoch && known.Version >= base)
	if contiguous && (known.Epoch != now.Epoch || now.Version > known.Version) {
		v.peerVersions[peer] = now
	}
}
