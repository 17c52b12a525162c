package fleet

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// Generation returns a number that rises whenever an upstream appears, disappears, or changes its entry or its availability.
func (d *Directory) Generation() uint64 { return d.generation }

// Registered returns the upstreams of a service that are not draining, lost ones too, sorted by ID. They must not be changed, and may be
// used only until the next call of another method.
func (d *Directory) Registered(service ids.Service) []*Upstream {
	return d.list(func(u *Upstream) bool { return u.Service == service && !u.Draining })
}

// SeenAt returns when the entry of the upstream's start was first read.
func (u Upstream) SeenAt() time.Time { return u.seenAt }
