package orders

import (
	"slices"

	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
)

// Action is the operation that an order requests.
type Action string

// The actions of orders.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

// Order tells one upstream to load or unload a model.
type Order struct {
	VM     ids.VM
	Action Action
	Model  ids.Model
}

// Plan returns the next orders that bring the live upstreams of a service to its declared models. It returns unload orders
// only once every live upstream holds every declared model, so that an old version is not unloaded from its last upstream
// before the new one is ready.
func Plan(s declared.Service, members []membership.Member) []Order {
	var loads, unloads []Order
	var wanted []ids.Model
	for _, m := range s.Models {
		wanted = append(wanted, ids.Model{Name: m.Name, Version: m.Version})
	}
	for _, m := range liveAgents(s.Name, members) {
		for _, model := range wanted {
			if !m.HasModel(model) {
				loads = append(loads, Order{m.VM, Load, model})
			}
		}
		for _, model := range m.Models {
			if !slices.Contains(wanted, model) {
				unloads = append(unloads, Order{m.VM, Unload, model})
			}
		}
	}
	if len(loads) > 0 {
		return loads
	}
	return unloads
}
