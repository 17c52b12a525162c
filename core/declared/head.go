package declared

import (
	"time"

	"bilberrylug.dev/core/ids"
)

// maxHistory is the maximum number of earlier revisions that a head lists.
const maxHistory = 20

// Head describes the accepted configuration. A new configuration is accepted by a compare-and-swap of this one value.
type Head struct {
	Summary
	ServicesChunk string `json:"services_chunk"`
	// ServicesRevision is the last revision that changed the services chunk.
	ServicesRevision ids.Revision `json:"services_revision"`
	WorkspaceChunks  []string     `json:"workspace_chunks"`
	// History lists earlier revisions, newest first.
	History []Summary `json:"history"`
}

// Summary describes one accepted revision. ApplyID identifies the command that created it; Services and Workspaces are
// counts.
type Summary struct {
	Revision   ids.Revision `json:"revision"`
	ApplyID    string       `json:"apply_id"`
	Operator   string       `json:"operator"`
	Time       time.Time    `json:"time"`
	Services   int          `json:"services"`
	Workspaces int          `json:"workspaces"`
}

// Next returns the head of the next revision, with h added to the history. Entries beyond maxHistory are dropped.
func (h *Head) Next(s Summary, set ChunkSet) *Head {
	s.Revision = h.Revision + 1
	out := &Head{Summary: s, ServicesChunk: set.ServicesChunk, WorkspaceChunks: set.WorkspaceChunks}
	out.ServicesRevision = h.ServicesRevision
	if h.ServicesChunk != set.ServicesChunk {
		out.ServicesRevision = out.Revision
	}
	if h.Revision > 0 {
		out.History = append(out.History, h.Summary)
	}
	out.History = append(out.History, h.History...)
	out.History = out.History[:min(len(out.History), maxHistory)]
	return out
}
