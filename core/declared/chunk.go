package declared

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/ids"
)

// workspacesPerChunk keeps a chunk near 16 KB, so that a change of one workspace moves little.
const workspacesPerChunk = 64

// chunkHashBytes is the length of the truncated SHA-256 that names a chunk.
const chunkHashBytes = 16

// ChunkSet is a configuration as content-addressed chunks.
type ChunkSet struct {
	ServicesChunk   string
	WorkspaceChunks []string
	Bodies          map[string][]byte
}

// servicesBody is the chunk that every process needs; agents need no other.
type servicesBody struct {
	Services []Service `json:"services"`
	Drained  []ids.VM  `json:"drained"`
}

// ChunkHash names a chunk by its content.
func ChunkHash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:chunkHashBytes])
}

// Chunks divides a configuration. The number of chunks depends on the number of workspaces only, and a workspace's
// chunk on its name, so that equal parts of two configurations give equal chunks.
func (c *Config) Chunks() (ChunkSet, error) {
	set := ChunkSet{Bodies: make(map[string][]byte)}
	body, err := json.Marshal(servicesBody{c.Services, c.Drained})
	if err != nil {
		return set, fmt.Errorf("encode services: %w", err)
	}
	set.ServicesChunk = ChunkHash(body)
	set.Bodies[set.ServicesChunk] = body
	for _, part := range divide(c.Workspaces) {
		body, err := json.Marshal(part)
		if err != nil {
			return set, fmt.Errorf("encode workspaces: %w", err)
		}
		hash := ChunkHash(body)
		set.WorkspaceChunks = append(set.WorkspaceChunks, hash)
		set.Bodies[hash] = body
	}
	return set, nil
}

func divide(workspaces []Workspace) [][]Workspace {
	n := 1
	for n*workspacesPerChunk < len(workspaces) {
		n *= 2
	}
	parts := make([][]Workspace, n)
	for _, w := range workspaces {
		i := xxhash.Sum64String(string(w.Name)) % uint64(n)
		parts[i] = append(parts[i], w)
	}
	for _, p := range parts {
		slices.SortFunc(p, func(a, b Workspace) int { return cmp.Compare(a.Name, b.Name) })
	}
	return parts
}

// Hashes lists the chunks that a process needs for this head.
func (h *Head) Hashes(servicesOnly bool) []string {
	out := []string{h.ServicesChunk}
	if !servicesOnly {
		out = append(out, h.WorkspaceChunks...)
	}
	return out
}

// Assemble builds the configuration of a head from its chunks. Each body is checked against its hash.
func (h *Head) Assemble(bodies map[string][]byte, servicesOnly bool) (*Config, error) {
	for _, hash := range h.Hashes(servicesOnly) {
		body, found := bodies[hash]
		if !found {
			return nil, fmt.Errorf("chunk %s is missing", hash)
		}
		if ChunkHash(body) != hash {
			return nil, fmt.Errorf("chunk %s does not match its hash", hash)
		}
	}
	var services servicesBody
	if err := json.Unmarshal(bodies[h.ServicesChunk], &services); err != nil {
		return nil, fmt.Errorf("decode services: %w", err)
	}
	cfg := &Config{Services: services.Services, Drained: services.Drained}
	if servicesOnly {
		return cfg, nil
	}
	for _, hash := range h.WorkspaceChunks {
		var part []Workspace
		if err := json.Unmarshal(bodies[hash], &part); err != nil {
			return nil, fmt.Errorf("decode workspaces: %w", err)
		}
		cfg.Workspaces = append(cfg.Workspaces, part...)
	}
	return cfg, nil
}
