package placing

import "bilberrylug.dev/core/ids"

// Ticket is one generation that was placed, with the copy of its memory.
type Ticket struct {
	ledger *Ledger
	engine ids.VM
	work   Work
	copyAt ids.VM
	copied Work
	ended  bool
}

// Place notes a generation at an engine; copyAt, if not empty, keeps the copy of its memory.
func (l *Ledger) Place(engine ids.VM, n Need, copyAt ids.VM) *Ticket {
	t := &Ticket{
		ledger: l, engine: engine, work: Work{Unread: n.Prompt, Running: 1, Memory: n.Tokens()}, copied: Work{Memory: n.Tokens()},
	}
	l.add(engine, t.work)
	t.CopyTo(copyAt)
	return t
}

// CopyTo notes that an engine keeps the copy of the generation's memory from now on; the empty id means none.
func (t *Ticket) CopyTo(copyAt ids.VM) {
	if t.ended {
		return
	}
	if t.copyAt != "" {
		t.ledger.add(t.copyAt, Work{Memory: -t.copied.Memory})
	}
	t.copyAt = copyAt
	if copyAt != "" {
		t.ledger.add(copyAt, t.copied)
	}
}

// Read notes that the prompt has been read.
func (t *Ticket) Read() {
	t.ledger.add(t.engine, Work{Unread: -t.work.Unread})
	t.work.Unread = 0
}

// End takes the generation out of the ledger.
func (t *Ticket) End() {
	t.ledger.add(t.engine, Work{Unread: -t.work.Unread, Running: -t.work.Running, Memory: -t.work.Memory})
	t.work = Work{}
	t.CopyTo("")
	t.ended = true
}
