// Package inforce holds the configuration that a process works by. It only ever moves to a higher revision, whoever
// offers it.
//
// # Usage
//
//	h := inforce.New(false)
//	if h.Wants(revision) { changed, err := h.Accept(head, bodies) }
//	c := h.Current()
package activeconfig

import (
	"sync"

	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/ids"
)

// Config is a configuration in force with what is derived from it.
type Config struct {
	Head       *declared.Head
	Declared   *declared.Config
	Workspaces map[ids.Workspace]declared.Workspace
	Services   map[ids.Service]declared.Service
	Drained    map[ids.VM]bool
}

// Revision returns the revision, or zero when nothing is in force.
func (c *Config) Revision() ids.Revision {
	if c == nil {
		return 0
	}
	return c.Head.Revision
}

// Holder holds the configuration in force. It is safe for concurrent use.
type Holder struct {
	servicesOnly bool

	mu      sync.Mutex
	current *Config
	bodies  map[string][]byte
	changed chan struct{}
	// recent holds the workspace chunks of the last revisions, the oldest first.
	recent []pastChunks
}

// pastChunks are the workspace chunks of a former or the current revision.
type pastChunks struct {
	revision ids.Revision
	chunks   []string
}

// maxRecent bounds the revisions against which a peer is sent the changed chunks only.
const maxRecent = 16

// New returns an empty holder. With servicesOnly, only the services are kept, which is all that an agent needs.
func New(servicesOnly bool) *Holder {
	return &Holder{servicesOnly: servicesOnly, bodies: make(map[string][]byte), changed: make(chan struct{})}
}

// Current returns the configuration in force, or nil. It must not be changed.
func (h *Holder) Current() *Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// Revision returns the revision in force.
func (h *Holder) Revision() ids.Revision { return h.Current().Revision() }

// IsNewer tells whether a revision is higher than the one in force.
func (h *Holder) IsNewer(r ids.Revision) bool { return r > h.Revision() }

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// MissingChunks lists the chunks of a head that are not held yet.
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

// Chunk returns a held chunk.
func (h *Holder) Chunk(hash string) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	body, held := h.bodies[hash]
	return body, held
}

// Accept puts a configuration in force if its revision is higher. The fresh bodies complete those already held.
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
	h.recent = append(h.recent, pastChunks{head.Revision, head.WorkspaceChunks})
	h.recent = h.recent[max(0, len(h.recent)-maxRecent):]
	h.current = derive(head, cfg)
	close(h.changed)
	h.changed = make(chan struct{})
	return true, nil
}

func derive(head *declared.Head, cfg *declared.Config) *Config {
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
