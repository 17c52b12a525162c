package sse

import "sync"

// firstID is the ID of the first event of a stream unless a service has another convention.
const firstID = 1

// Conventions are the forms that the streams of a service have although they are not the usual ones: two runs at different upstreams
// agreed on them. They are safe for concurrent use.
type Conventions struct {
	mu sync.Mutex
	// usualFirstID is set once a stream has begun with the usual ID. FirstID is another one with which streams begin.
	usualFirstID bool
	firstID      *uint64
	// sparse is set if the IDs of events that follow one another may differ by more than one.
	sparse bool
	// forms are the suspect forms that events have.
	forms Form
}

func (c *Conventions) allows(l claim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch l.kind {
	case begins:
		return c.firstID != nil && *c.firstID == l.id
	case follows:
		return c.sparse
	case hasForm:
		return l.form&^c.forms == 0
	}
	return false
}

func (c *Conventions) learn(l claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch l.kind {
	case begins:
		c.firstID = &l.id
	case follows:
		c.sparse = true
	case hasForm:
		c.forms |= l.form
	}
}

// begunAsUsual records that a stream has begun with the usual ID.
func (c *Conventions) begunAsUsual() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usualFirstID = true
}

// beginAsUsual reports whether a stream has begun with the usual ID.
func (c *Conventions) beginAsUsual() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usualFirstID
}

type claimKind int

const (
	// begins claims that the stream begins with an ID, follows that the ID is the next one after another, hasForm that the event after
	// another one has a suspect form.
	begins claimKind = iota + 1
	follows
	hasForm
)

// claim is what a run says of a stream that does not have the usual form.
type claim struct {
	kind      claimKind
	after, id uint64
	form      Form
}
