package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/ids"
)

// Role distinguishes routers from agents.
type Role string

// The roles.
const (
	Router Role = "router"
	Agent  Role = "agent"
)

// State is the state of a member; within one incarnation a higher state replaces a lower one.
type State uint32

// The states, in ascending order of precedence.
const (
	Live State = iota
	Suspect
	Leaving
	Gone
)

// String returns the name of the state.
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

// Member describes one VM. Its incarnation rises at each start of its process and each time it refutes a suspicion.
type Member struct {
	VM            ids.VM
	Role          Role
	Address       string
	Region        ids.Region
	FailureDomain ids.FailureDomain
	Service       ids.Service
	Incarnation   uint64
	State         State
	// Models are the models that an agent's upstream has loaded.
	Models []ids.Model
	// ChecksFence is set if an agent's upstream itself refuses orders with an outdated fencing number.
	ChecksFence bool
}

// replaces reports whether m takes precedence over the known entry of the same member.
func (m Member) replaces(known Member) bool {
	if m.Incarnation != known.Incarnation {
		return m.Incarnation > known.Incarnation
	}
	return m.State > known.State
}

// digest hashes the VM, the incarnation and the state; the empty member has digest zero.
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

// HasModel reports whether the model is among those that the member's upstream has loaded.
func (m Member) HasModel(model ids.Model) bool { return slices.Contains(m.Models, model) }
