package fleetview

import (
	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
)

// upstreamKey selects the agents that can run a request; a plain service has the empty model.
type upstreamKey struct {
	service ids.Service
	model   ids.Model
}

// derivedLists are computed from the table and the configuration, and cached until either changes.
type derivedLists struct {
	config    *activeconfig.Config
	upstreams map[upstreamKey][]ids.VM
	agents    []ids.VM
	// otherDomains are the agents of this region outside the router's failure domain.
	otherDomains []ids.VM
	routers      []ids.VM
}

// currentLists returns the cached lists, and recomputes them if they are outdated. The caller must hold v.mu.
func (v *View) currentLists() *derivedLists {
	current := v.config.Current()
	if v.lists != nil && v.lists.config == current {
		return v.lists
	}
	l := &derivedLists{config: current, upstreams: make(map[upstreamKey][]ids.VM)}
	self := v.table.Self()
	for _, m := range v.table.Members() {
		if m.State != membership.Live {
			continue
		}
		if m.Role == membership.Router {
			l.routers = append(l.routers, m.VM)
			continue
		}
		l.addAgent(self, m)
	}
	v.lists = l
	return l
}

func (l *derivedLists) addAgent(self, m membership.Member) {
	if l.config != nil && l.config.Drained[m.VM] {
		return
	}
	l.agents = append(l.agents, m.VM)
	if m.FailureDomain != self.FailureDomain && m.Region == self.Region {
		l.otherDomains = append(l.otherDomains, m.VM)
	}
	l.addUpstream(upstreamKey{m.Service, ids.Model{}}, m.VM)
	for _, model := range m.Models {
		l.addUpstream(upstreamKey{m.Service, model}, m.VM)
	}
}

func (l *derivedLists) addUpstream(key upstreamKey, vm ids.VM) {
	l.upstreams[key] = append(l.upstreams[key], vm)
}
