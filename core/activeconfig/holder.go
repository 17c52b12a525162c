// Package activeconfig holds the active configuration of a process. Its revision only rises, whichever source offers a
// configuration.
//
// # Usage
//
//	h := activeconfig.New(false)
//	if h.IsNewer(revision) { changed, err := h.Accept(head, bodies) }
//	c := h.Current()
package activeconfig

import (
	"sync"

	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/ids"
)

// Config is an active configuration with indexes derived from it. It is immutable.
type Config struct {
	Head       *declared.Head
	Declared   *declared.Config
	Workspaces map[ids.Workspace]declared.Workspace
	Services   map[ids.Service]declared.Service
	Drained    map[ids.VM]bool
}

// Revision returns the revision, or zero for a nil configuration.
func (c *Config) Revision() ids.Revision {
	if c == nil {
		return 0
	}
	return c.Head.Revision
}

// Holder holds the active configuration. It is safe for concurrent use.
type Holder struct {
	servicesOnly bool

	mu      sync.Mutex
	current *Config
	// bodies maps the hashes of the held chunks to their contents.
	bodies map[string][]byte
	// changed is closed and replaced at each change of current.
	changed chan struct{}
	// recent holds the workspace chunks of the last revisions, oldest first.
	recent []revisionChunks
}

// revisionChunks holds the hashes of a revision's workspace chunks.
type revisionChunks struct {
	revision ids.Revision
	chunks   []string
}

// maxRecentRevisions bounds the revisions that can serve as the base when only changed chunks are sent to a peer.
const maxRecentRevisions = 16

// New returns a holder without a configuration. With servicesOnly it keeps only the services, which is all that an agent
// needs.
func New(servicesOnly bool) *Holder {
	return &Holder{servicesOnly: servicesOnly, bodies: make(map[string][]byte), changed: make(chan struct{})}
}

// Current returns the active configuration, or nil. It must not be changed.
func (h *Holder) Current() *Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Revision returns the active revision, or zero if there is none.
func (h *Holder) Revision() ids.Revision { return h.Current().Revision() }

// IsNewer reports whether a revision is higher than the active one.
func (h *Holder) IsNewer(r ids.Revision) bool { return r > h.Revision() }

// Changed returns a channel that is closed at the next change of the active configuration.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// MissingChunks returns the hashes of the chunks of a head that are not held yet.
func (h *Holder) MissingChunks(head *declared.Head) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for _, hash := range head.Hashes(h.servicesOnly) {
		if _, held := h.bodies[hash]; !held {
			out = append(out, hash)
		}
	}
	return out
}

// Chunk returns the body of the chunk with the given hash, if it is held.
func (h *Holder) Chunk(hash string) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	body, held := h.bodies[hash]
	return body, held
}

// Accept activates a configuration if its revision is higher than the active one, and reports whether it did. The fresh
// bodies, by hash, supply the chunks that are not held yet. It returns an error if the configuration cannot be assembled;
// the active configuration then stays.
func (h *Holder) Accept(head *declared.Head, fresh map[string][]byte) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if head.Revision <= h.current.Revision() {
		return false, nil
	}
	bodies := make(map[string][]byte)
	for _, hash := range head.Hashes(h.servicesOnly) {
		if body, held := h.bodies[hash]; held {
			bodies[hash] = body
		}
		if body, given := fresh[hash]; given {
			bodies[hash] = body
		}
	}
	cfg, err := head.Assemble(bodies, h.servicesOnly)
	if err != nil {
		return false, err
	}
	h.bodies = bodies
	h.recent = append(h.recent, revisionChunks{head.Revision, head.WorkspaceChunks})
	h.recent = h.recent[max(0, len(h.recent)-maxRecentRevisions):]
	h.current = newConfig(head, cfg)
	close(h.changed)
	h.changed = make(chan struct{})
	return true, nil
}

func newConfig(head *declared.Head, cfg *declared.Config) *Config {
	c := &Config{
		Head: head, Declared: cfg,
		Workspaces: make(map[ids.Workspace]declared.Workspace, len(cfg.Workspaces)),
		Services:   make(map[ids.Service]declared.Service, len(cfg.Services)),
		Drained:    make(map[ids.VM]bool, len(cfg.Drained)),
	}
	for _, w := range cfg.Workspaces {
		c.Workspaces[w.Name] = w
	}
	for _, s := range cfg.Services {
		c.Services[s.Name] = s
	}
	for _, vm := range cfg.Drained {
		c.Drained[vm] = true
	}
	return c
}
