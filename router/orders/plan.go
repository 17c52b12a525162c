package orders

import (
	"slices"

	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
)

// Action is what an order asks for.
type Action string

// The actions.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

// Order is one instruction to one upstream.
type Order struct {
	VM     ids.VM
	Action Action
	Model  ids.Model
}

// Plan lists the orders that bring a service's upstreams to its declared models. Nothing is unloaded before every live
// upstream holds every declared model, so that no version loses its last holder while the next is not ready.
func Plan(s declared.Service, members []membership.Member) []Order {
	var loads, unloads []Order
	var wanted []ids.Model
	for _, m := range s.Models {
		wanted = append(wanted, ids.Model{Name: m.Name, Version: m.Version})
	}
	for _, m := range live(s.Name, members) {
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
