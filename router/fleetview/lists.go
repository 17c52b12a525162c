package fleetview

import (
	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
)

// upstreamKey selects the agents that can take a piece of work; a plain service has the empty model.
type upstreamKey struct {
	service ids.Service
	model   ids.Model
}

// lists are derived from the table and the configuration, and kept until either changes.
type lists struct {
	config       *activeconfig.Config
	upstreams    map[upstreamKey][]ids.VM
	agents       []ids.VM
	otherDomains []ids.VM
	routers      []ids.VM
}

// derived returns the lists, made anew where needed; the lock is held.
func (v *View) derived() *lists {
	current := v.config.Current()
	if v.lists != nil && v.lists.config == current {
		return v.lists
	}
	l := &lists{config: current, upstreams: make(map[upstreamKey][]ids.VM)}
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

func (l *lists) addAgent(self, m membership.Member) {
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

func (l *lists) addUpstream(key upstreamKey, vm ids.VM) {
	l.upstreams[key] = append(l.upstreams[key], vm)
}
