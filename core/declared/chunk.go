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

// workspacesPerChunk gives chunks of about 16 KB, so that a change of one workspace transfers little data.
const workspacesPerChunk = 64

// chunkHashBytes is the length of a chunk's hash, a truncated SHA-256.
const chunkHashBytes = 16

// ChunkSet is a configuration divided into content-addressed chunks. Bodies maps hashes to contents.
type ChunkSet struct {
	ServicesChunk   string
	WorkspaceChunks []string
	Bodies          map[string][]byte
}

// servicesBody is the content of the services chunk. Every process needs it, and agents need no other chunk.
type servicesBody struct {
	Services []Service `json:"services"`
	Drained  []ids.VM  `json:"drained"`
}

// ChunkHash returns the hash that identifies a chunk's content.
func ChunkHash(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:chunkHashBytes])
}

// Chunks divides the configuration into chunks. The number of chunks depends only on the number of workspaces, and the
// chunk of a workspace only on its name, so that unchanged parts of two configurations give equal chunks.
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

// divide splits the workspaces into a power of two of parts by the hash of their names.
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

// Hashes lists the hashes of the chunks that a process needs for this head: that of the services chunk and, unless
// servicesOnly is set, those of the workspace chunks.
func (h *Head) Hashes(servicesOnly bool) []string {
	out := []string{h.ServicesChunk}
	if !servicesOnly {
		out = append(out, h.WorkspaceChunks...)
	}
	return out
}

// Assemble builds the configuration of a head from its chunks. It returns an error if a chunk is missing or does not
// match its hash. If servicesOnly is set, the configuration has no workspaces and needs only the services chunk.
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
