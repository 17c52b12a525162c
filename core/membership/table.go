// Package membership keeps each process's view of the VMs.
//
// A member's own word goes before hearsay: it carries an incarnation that only the member raises. Changes spread by
// exchange; a table remembers which of its changes each peer has acknowledged and sends only the later ones. Agents
// report to a few routers chosen by rendezvous hash, which alone judge their silence, so the cost for a router does not
// grow with the number of agents.
//
// # Usage
//
//	t := membership.NewTable(self, timeouts)
//	changed := t.Merge(now, news, true)
//	news := t.Since(peer)
package membership

import (
	"cmp"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

// Timeouts of a table.
type Timeouts struct {
	// SuspectAfter is the time without a direct word after which a member is suspected.
	SuspectAfter time.Duration
	// RemoveAfter is the time after which a member that is gone or still suspected is dropped.
	RemoveAfter time.Duration
}

type record struct {
	Member
	version   uint64
	changedAt time.Time
	heardAt   time.Time
	revision  ids.Revision
}

// Table is one process's view. It is not safe for concurrent use.
type Table struct {
	self     Member
	timeouts Timeouts
	records  map[ids.VM]*record
	version  uint64
	digest   uint64
	acked    map[ids.VM]uint64
}

// NewTable returns a table that knows only its owner.
func NewTable(self Member, timeouts Timeouts) *Table {
	t := &Table{self: self, timeouts: timeouts, records: make(map[ids.VM]*record), acked: make(map[ids.VM]uint64)}
	t.put(time.Time{}, self)
	return t
}

// Self returns the owner as it presents itself.
func (t *Table) Self() Member { return t.self }

// UpdateSelf changes what the owner says of itself, as a new incarnation.
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

// Merge takes news of members and returns those that changed the table. A word about the owner that is wrong is
// refuted by a higher incarnation.
func (t *Table) Merge(now time.Time, news []Member) []Member {
	var changed []Member
	for _, m := range news {
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

// refute answers a word about the owner. A suspicion is refuted; that the owner's VM is leaving is known to the
// platform before the owner, and is adopted.
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

// RecordContact notes a direct word of a member with the revision that it has in force.
func (t *Table) RecordContact(now time.Time, vm ids.VM, rev ids.Revision) {
	r, known := t.records[vm]
	if !known {
		return
	}
	r.heardAt = now
	r.revision = rev
}

// DetectFailures suspects the members that this process has heard directly and that fell silent, and drops those that are long
// gone. It returns the changed ones. A member that now reports to others, as responsible tells, is not judged here.
func (t *Table) DetectFailures(now time.Time, responsible func(vm ids.VM) bool) []Member {
	var changed []Member
	for vm, r := range t.records {
		if vm == t.self.VM {
			continue
		}
		silent := !r.heardAt.IsZero() && now.Sub(r.heardAt) > t.timeouts.SuspectAfter
		if silent && !responsible(vm) {
			r.heardAt = time.Time{}
			silent = false
		}
		if silent && r.State == Live {
			m := r.Member
			m.State = Suspect
			r.heardAt = time.Time{}
			t.put(now, m)
			changed = append(changed, m)
		}
		if r.State != Live && now.Sub(r.changedAt) > t.timeouts.RemoveAfter {
			t.digest ^= r.digest()
			delete(t.records, vm)
			delete(t.acked, vm)
		}
	}
	return changed
}

// RaiseState sets the state of another member on the word of the platform's list or of the configuration.
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

// Unacknowledged returns the members that a peer has not acknowledged yet, with the version to acknowledge.
func (t *Table) Unacknowledged(peer ids.VM) ([]Member, uint64) {
	return t.ChangedAfter(t.acked[peer])
}

// ChangedAfter returns the members that changed after a version, with the current version.
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

// Digest is equal for two tables that hold the same members in the same states.
func (t *Table) Digest() uint64 { return t.digest }

// Acknowledged returns the version up to which a peer has everything.
func (t *Table) Acknowledged(peer ids.VM) uint64 { return t.acked[peer] }

// Acknowledge notes that a peer has everything up to a version.
func (t *Table) Acknowledge(peer ids.VM, version uint64) {
	t.acked[peer] = max(t.acked[peer], version)
}

// ResetPeer forgets what a peer has acknowledged, since it has started anew.
func (t *Table) ResetPeer(peer ids.VM) { delete(t.acked, peer) }

// Members lists the table in the order of VM ids.
func (t *Table) Members() []Member {
	out := make([]Member, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r.Member)
	}
	sortMembers(out)
	return out
}

// Get returns one member.
func (t *Table) Get(vm ids.VM) (Member, bool) {
	r, known := t.records[vm]
	if !known {
		return Member{}, false
	}
	return r.Member, true
}

// Heards lists the members that this process has had a word of, with the revision in force there.
func (t *Table) Contacts() []Contact {
	var out []Contact
	for _, r := range t.records {
		if !r.heardAt.IsZero() || r.revision > 0 {
			out = append(out, Contact{r.VM, r.heardAt, r.revision})
		}
	}
	slices.SortFunc(out, func(a, b Contact) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// RecordContact is the last direct word of a member.
type Contact struct {
	VM       ids.VM
	At       time.Time
	Revision ids.Revision
}

func sortMembers(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
}

// SetRevision notes the revision in force at a member, without counting it as a word by which silence is judged.
func (t *Table) SetRevision(vm ids.VM, rev ids.Revision) {
	if r, known := t.records[vm]; known {
		r.revision = rev
	}
}
