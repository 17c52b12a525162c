package placing

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// promptLifetime is how long an engine is expected to keep a prompt in its KV cache after the generation was interrupted,
// primary normal load.
const promptLifetime = 20 * time.Second

// Homes records which engine last processed a prompt and so has it in its KV cache. It is not safe for concurrent use.
type Homes struct {
	locations map[uint64]location
	// sweptAt is when expired entries were last deleted.
	sweptAt time.Time
}

type location struct {
	engine   ids.VM
	placedAt time.Time
}

// NewHomes returns an empty index.
func NewHomes() *Homes { return &Homes{locations: map[uint64]location{}} }

// Set records that a prompt, given by its hash, was placed at an engine, unless a later placement is known.
func (h *Homes) Set(prompt uint64, at ids.VM, placed, now time.Time) {
	if placed.Before(h.locations[prompt].placedAt) {
		return
	}
	h.locations[prompt] = location{engine: at, placedAt: placed}
	if now.Sub(h.sweptAt) < promptLifetime {
		return
	}
	h.sweptAt = now
	for key, loc := range h.locations {
		if now.Sub(loc.placedAt) > promptLifetime {
			delete(h.locations, key)
		}
	}
}

// Each calls f for each prompt that has not expired, with the time since it was placed.
func (h *Homes) Each(now time.Time, f func(prompt uint64, at ids.VM, age time.Duration)) {
	for prompt, loc := range h.locations {
		if age := now.Sub(loc.placedAt); age <= promptLifetime {
			f(prompt, loc.engine, age)
		}
	}
}

// Get returns the engine that last processed a prompt, or the empty ID.
func (h *Homes) Get(prompt uint64, now time.Time) ids.VM {
	loc, known := h.locations[prompt]
	if !known || now.Sub(loc.placedAt) > promptLifetime {
		return ""
	}
	return loc.engine
}
