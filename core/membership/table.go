// Package membership keeps each process's view of the VMs.
//
// A member's own reports take precedence over those of others: they carry an incarnation that only the member raises.
// Changes spread by exchange; a table tracks which of its changes each peer has acknowledged and sends only the later
// ones. Agents send heartbeats to a few routers chosen by rendezvous hash, and only these routers suspect them, so the
// cost for a router does not grow with the number of agents.
//
// # Usage
//
//	t := membership.NewTable(self, timeouts)
//	changed := t.Merge(now, members)
//	members, version := t.Unacknowledged(peer)
package membership

import (
	"cmp"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

// Timeouts configure the failure detection of a Table.
type Timeouts struct {
	// SuspectAfter is the time without direct contact after which a member is suspected.
	SuspectAfter time.Duration
	// RemoveAfter is the time after which a member that is not live is removed.
	RemoveAfter time.Duration
}

type record struct {
	Member
	version     uint64
	changedAt   time.Time
	lastContact time.Time
	revision    ids.Revision
}

// Table is one process's view of the members. It is not safe for concurrent use.
type Table struct {
	self         Member
	timeouts     Timeouts
	records      map[ids.VM]*record
	version      uint64
	digest       uint64
	acknowledged map[ids.VM]uint64
}

// NewTable returns a table that contains only its owner.
func NewTable(self Member, timeouts Timeouts) *Table {
	t := &Table{self: self, timeouts: timeouts, records: make(map[ids.VM]*record), acknowledged: make(map[ids.VM]uint64)}
	t.put(time.Time{}, self)
	return t
}

// Self returns the owner's own entry.
func (t *Table) Self() Member { return t.self }

// UpdateSelf changes the owner's own entry and raises its incarnation.
func (t *Table) UpdateSelf(now time.Time, change func(m *Member)) {
	change(&t.self)
	t.self.Incarnation++
	t.put(now, t.self)
}

func (t *Table) put(now time.Time, m Member) {
	t.version++
	r, known := t.records[m.VM]
	if !known {
		r = &record{}
		t.records[m.VM] = r
	}
	t.digest ^= r.digest() ^ m.digest()
	r.Member = m
	r.version = t.version
	r.changedAt = now
}

// Merge merges entries of another table and returns those that changed this one. A wrong entry about the owner is refuted
// by a higher incarnation.
func (t *Table) Merge(now time.Time, members []Member) []Member {
	var changed []Member
	for _, m := range members {
		if m.VM == t.self.VM {
			t.refute(now, m)
			continue
		}
		known, found := t.records[m.VM]
		if found && !m.replaces(known.Member) {
			continue
		}
		if !found && m.State == Gone {
			continue
		}
		t.put(now, m)
		changed = append(changed, m)
	}
	return changed
}

// refute handles an entry about the owner. It refutes a suspicion, but adopts the state leaving, since the platform knows
// before the owner that the VM is leaving.
func (t *Table) refute(now time.Time, m Member) {
	if m.Incarnation < t.self.Incarnation || m.State <= t.self.State {
		return
	}
	t.self.Incarnation = m.Incarnation
	t.UpdateSelf(now, func(self *Member) {
		if m.State == Leaving {
			self.State = Leaving
		}
	})
}

// RecordContact records direct contact with a member and the revision that is active there.
func (t *Table) RecordContact(now time.Time, vm ids.VM, rev ids.Revision) {
	r, known := t.records[vm]
	if !known {
		return
	}
	r.lastContact = now
	r.revision = rev
}

// DetectFailures suspects live members whose last direct contact is older than SuspectAfter, and removes members that have
// not been live for longer than RemoveAfter. It returns the newly suspected ones. Members that now send heartbeats to other
// routers, for which responsible returns false, are not suspected.
func (t *Table) DetectFailures(now time.Time, responsible func(vm ids.VM) bool) []Member {
	var changed []Member
	for vm, r := range t.records {
		if vm == t.self.VM {
			continue
		}
		expired := !r.lastContact.IsZero() && now.Sub(r.lastContact) > t.timeouts.SuspectAfter
		if expired && !responsible(vm) {
			r.lastContact = time.Time{}
			expired = false
		}
		if expired && r.State == Live {
			m := r.Member
			m.State = Suspect
			r.lastContact = time.Time{}
			t.put(now, m)
			changed = append(changed, m)
		}
		if r.State != Live && now.Sub(r.changedAt) > t.timeouts.RemoveAfter {
			t.digest ^= r.digest()
			delete(t.records, vm)
			delete(t.acknowledged, vm)
		}
	}
	return changed
}

// RaiseState raises the state of another member, for example after failed exchanges or when the platform lists it as
// leaving. It reports whether the state changed; a state is never lowered.
func (t *Table) RaiseState(now time.Time, vm ids.VM, s State) bool {
	r, known := t.records[vm]
	if !known || vm == t.self.VM || r.State >= s {
		return false
	}
	m := r.Member
	m.State = s
	t.put(now, m)
	return true
}

// Unacknowledged returns the members that a peer has not acknowledged yet, and the version to acknowledge.
func (t *Table) Unacknowledged(peer ids.VM) ([]Member, uint64) {
	return t.ChangedAfter(t.acknowledged[peer])
}

// ChangedAfter returns the members that changed after a version, and the current version.
func (t *Table) ChangedAfter(after uint64) ([]Member, uint64) {
	var out []Member
	if after >= t.version {
		return nil, t.version
	}
	for _, r := range t.records {
		if r.version > after {
			out = append(out, r.Member)
		}
	}
	sortMembers(out)
	return out, t.version
}

// Digest returns a hash that is equal for tables with the same members in the same incarnations and states.
func (t *Table) Digest() uint64 { return t.digest }

// Acknowledged returns the version up to which a peer has all changes.
func (t *Table) Acknowledged(peer ids.VM) uint64 { return t.acknowledged[peer] }

// Acknowledge records that a peer has all changes up to a version.
func (t *Table) Acknowledge(peer ids.VM, version uint64) {
	t.acknowledged[peer] = max(t.acknowledged[peer], version)
}

// ResetPeer drops what a peer has acknowledged, for a peer that has restarted.
func (t *Table) ResetPeer(peer ids.VM) { delete(t.acknowledged, peer) }

// Members returns all members in the order of their VM IDs.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r.Member)
	}
	sortMembers(out)
	return out
}

// Get returns the member with the given VM ID.
func (t *Table) Get(vm ids.VM) (Member, bool) {
	r, known := t.records[vm]
	if !known {
		return Member{}, false
	}
	return r.Member, true
}

// Contacts returns the members with direct contact or a known active revision, in the order of their VM IDs.
func (t *Table) Contacts() []Contact {
	var out []Contact
	for _, r := range t.records {
		if !r.lastContact.IsZero() || r.revision > 0 {
			out = append(out, Contact{r.VM, r.lastContact, r.revision})
		}
	}
	slices.SortFunc(out, func(a, b Contact) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// Contact is the last direct contact with a member and the revision that is active there.
type Contact struct {
	VM       ids.VM
	At       time.Time
	Revision ids.Revision
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
}

// SetRevision records the revision that is active at a member, without counting as contact for failure detection.
func (t *Table) SetRevision(vm ids.VM, rev ids.Revision) {
	if r, known := t.records[vm]; known {
		r.revision = rev
	}
}
