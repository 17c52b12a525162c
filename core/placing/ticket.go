package placing

import "bilberrylug.dev/core/ids"

// Ticket is the work that one placed generation and the copy of its KV cache add to a Ledger.
type Ticket struct {
	ledger   *Ledger
	engine   ids.VM
	work     Work
	copyAt   ids.VM
	copyWork Work
	ended    bool
}

// Place records a generation at an engine and, unless copyAt is empty, a copy of its KV cache at copyAt.
func (l *Ledger) Place(engine ids.VM, n Need, copyAt ids.VM) *Ticket {
	t := &Ticket{
		ledger: l, engine: engine, work: Work{Unread: n.Prompt, Running: 1, Memory: n.Tokens()}, copyWork: Work{Memory: n.Tokens()},
	}
	l.add(engine, t.work)
	t.CopyTo(copyAt)
	return t
}

// CopyTo moves the copy of the generation's KV cache to another engine; the empty ID means that there is none.
func (t *Ticket) CopyTo(copyAt ids.VM) {
	if t.ended {
		return
	}
	if t.copyAt != "" {
		t.ledger.add(t.copyAt, Work{Memory: -t.copyWork.Memory})
	}
	t.copyAt = copyAt
	if copyAt != "" {
		t.ledger.add(copyAt, t.copyWork)
	}
}

// Read records that the prompt has been processed.
func (t *Ticket) Read() {
	t.ledger.add(t.engine, Work{Unread: -t.work.Unread})
	t.work.Unread = 0
}

// End removes the generation and its copy from the Ledger.
func (t *Ticket) End() {
	t.ledger.add(t.engine, Work{Unread: -t.work.Unread, Running: -t.work.Running, Memory: -t.work.Memory})
	t.work = Work{}
	t.CopyTo("")
	t.ended = true
}
