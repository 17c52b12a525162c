package placement

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// promptLifetime is how long an engine is expected to keep a prompt in its KV cache after the generation was interrupted,
// at normal load.
const promptLifetime = 20 * time.Second

// PrefixIndex records which engine last processed a prompt and so has it in its KV cache. It is not safe for concurrent
// use.
type PrefixIndex struct {
	locations map[uint64]location
	// sweptAt is when expired entries were last deleted.
	sweptAt time.Time
}

type location struct {
	engine   ids.VM
	placedAt time.Time
}

// NewPrefixIndex returns an empty index.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{locations: map[uint64]location{}} }

// Set records that a prompt, given by its hash, was placed at an engine, unless a later placement is known.
func (x *PrefixIndex) Set(prompt uint64, at ids.VM, placed, now time.Time) {
	if placed.Before(x.locations[prompt].placedAt) {
		return
	}
	x.locations[prompt] = location{engine: at, placedAt: placed}
	if now.Sub(x.sweptAt) < promptLifetime {
		return
	}
	x.sweptAt = now
	for key, loc := range x.locations {
		if now.Sub(loc.placedAt) > promptLifetime {
			delete(x.locations, key)
		}
	}
}

// Each calls f for each prompt that has not expired, with the time since it was placed.
func (x *PrefixIndex) Each(now time.Time, f func(prompt uint64, at ids.VM, age time.Duration)) {
	for prompt, loc := range x.locations {
		if age := now.Sub(loc.placedAt); age <= promptLifetime {
			f(prompt, loc.engine, age)
		}
	}
}

// Get returns the engine that last processed a prompt, or the empty ID.
func (x *PrefixIndex) Get(prompt uint64, now time.Time) ids.VM {
	loc, known := x.locations[prompt]
	if !known || now.Sub(loc.placedAt) > promptLifetime {
		return ""
	}
	return loc.engine
}
