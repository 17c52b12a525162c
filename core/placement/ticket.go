package placement

import "bilberrylug.dev/core/ids"

// Reservation is one generation that was placed, with the copy of its memory.
type Reservation struct {
	ledger *LoadTracker
	engine ids.VM
	work   Work
	copyAt ids.VM
	copied Work
	ended  bool
}

// Reserve notes a generation at an engine; copyAt, if not empty, keeps the copy of its memory.
func (l *LoadTracker) Reserve(engine ids.VM, n Request, copyAt ids.VM) *Reservation {
	t := &Reservation{
		ledger: l, engine: engine, work: Work{PendingPrefill: n.Prompt, Running: 1, Memory: n.Tokens()}, copied: Work{Memory: n.Tokens()},
	}
	l.add(engine, t.work)
	t.CopyTo(copyAt)
	return t
}

// CopyTo notes that an engine keeps the copy of the generation's memory from now on; the empty id means none.
func (t *Reservation) CopyTo(copyAt ids.VM) {
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

// PrefillDone notes that the prompt has been read.
func (t *Reservation) PrefillDone() {
	t.ledger.add(t.engine, Work{PendingPrefill: -t.work.PendingPrefill})
	t.work.PendingPrefill = 0
}

// Release takes the generation out of the ledger.
func (t *Reservation) Release() {
	t.ledger.add(t.engine, Work{PendingPrefill: -t.work.PendingPrefill, Running: -t.work.Running, Memory: -t.work.Memory})
	t.work = Work{}
	t.CopyTo("")
	t.ended = true
}
