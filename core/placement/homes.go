package placement

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// homeLife is how long an engine is likely to keep a prompt whose run was cut, at usual load.
const homeLife = 20 * time.Second

// PrefixIndex remembers at which engine a prompt was last read. It is not safe for concurrent use.
type PrefixIndex struct {
	by map[uint64]home
	// swept is when old entries were last dropped.
	swept time.Time
}

type home struct {
	at     ids.VM
	placed time.Time
}

// NewPrefixIndex returns an empty memory.
func NewPrefixIndex() *PrefixIndex { return &PrefixIndex{by: map[uint64]home{}} }

// Set notes that a prompt, given by its hash, was placed at an engine, unless it was placed elsewhere later.
func (h *PrefixIndex) Set(prompt uint64, at ids.VM, placed, now time.Time) {
	if placed.Before(h.by[prompt].placed) {
		return
	}
	h.by[prompt] = home{at: at, placed: placed}
	if now.Sub(h.swept) < homeLife {
		return
	}
	h.swept = now
	for key, known := range h.by {
		if now.Sub(known.placed) > homeLife {
			delete(h.by, key)
		}
	}
}

// Each calls f for each prompt whose engine is known, with the time since it was placed there.
func (h *PrefixIndex) Each(now time.Time, f func(prompt uint64, at ids.VM, age time.Duration)) {
	for prompt, known := range h.by {
		if age := now.Sub(known.placed); age <= homeLife {
			f(prompt, known.at, age)
		}
	}
}

// Get returns the engine at which a prompt was last read, or the empty id.
func (h *PrefixIndex) Get(prompt uint64, now time.Time) ids.VM {
	known, found := h.by[prompt]
	if !found || now.Sub(known.placed) > homeLife {
		return ""
	}
	return known.at
}
