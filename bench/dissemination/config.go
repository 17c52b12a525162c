package dissemination

import (
	"fmt"
	"slices"
)

// nextConfig returns a configuration with random names, or one that differs from the last one in one route.
func (s *simulation) nextConfig(c Change) []byte {
	if c.Similar {
		out := slices.Clone(s.config)
		copy(out[len(out)/2:], s.randomWord())
		return out
	}
	if c.Incompressible {
		out := make([]byte, c.ConfigBytes)
		for i := range out {
			out[i] = byte(s.rng.Uint32())
		}
		return out
	}
	out := make([]byte, 0, c.ConfigBytes+len(routeFormat))
	for len(out) < c.ConfigBytes {
		out = fmt.Appendf(out, routeFormat, s.randomWord(), s.randomWord(), s.randomWord())
	}
	return out[:c.ConfigBytes]
}

// routeFormat is the form of one route of a configuration.
const routeFormat = `{"name":"%s","host":"%s.example","prefix":"/%s/","kind":"idempotent","timeout_ms":1000,"target_ms":120,` +
	`"attempts":2,"priority":2,"public":false,"service":"lookups","split":[],"resumable":false,"max_pause_ms":0},`

func (s *simulation) randomWord() string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var out [8]byte
	for i := range out {
		out[i] = letters[s.rng.IntN(len(letters))]
	}
	return string(out[:])
}
