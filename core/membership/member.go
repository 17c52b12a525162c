package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/ids"
)

// Role tells routers from agents.
type Role string

// The roles.
const (
	Router Role = "router"
	Agent  Role = "agent"
)

// State is how a member stands; a later state of the same incarnation replaces an earlier one.
type State uint32

// The states, in the order in which they replace each other.
const (
	Live State = iota
	Suspect
	Leaving
	Gone
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Gone:
		return "gone"
	}
	return "unknown"
}

// Member is one VM. The incarnation grows with each start of its process and each time it refutes a suspicion.
type Member struct {
	VM            ids.VM
	Role          Role
	Address       string
	Region        ids.Region
	FailureDomain ids.FailureDomain
	Service       ids.Service
	Incarnation   uint64
	State         State
	Models        []ids.Model
	ChecksFence   bool
}

// replaces tells whether the news of m goes before the known member.
func (m Member) replaces(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.State > known.State
}

// digest covers who the member is and which word of it is known; no member has zero.
func (m Member) digest() uint64 {
	if m.VM == "" {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(m.VM))
	var b [12]byte
	binary.LittleEndian.PutUint64(b[:8], m.Incarnation)
	binary.LittleEndian.PutUint32(b[8:], uint32(m.State))
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// HasModel tells whether the member has reported the model.
func (m Member) HasModel(model ids.Model) bool { return slices.Contains(m.Models, model) }
