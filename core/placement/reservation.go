package placement

import "bilberrylug.dev/core/ids"

// Reservation is the work that one placed generation and the copy of its KV cache add to a LoadTracker.
type Reservation struct {
	tracker  *LoadTracker
	engine   ids.VM
	work     Work
	copyAt   ids.VM
	copyWork Work
	ended    bool
}

// Reserve records a generation at an engine and, unless copyAt is empty, a copy of its KV cache at copyAt.
func (t *LoadTracker) Reserve(engine ids.VM, req Request, copyAt ids.VM) *Reservation {
	r := &Reservation{
		tracker: t, engine: engine, work: Work{PendingPrefill: req.Prompt, Running: 1, Memory: req.Tokens()}, copyWork: Work{Memory: req.Tokens()},
	}
	t.add(engine, r.work)
	r.CopyTo(copyAt)
	return r
}

// CopyTo moves the copy of the generation's KV cache to another engine; the empty ID means that there is none.
// After Release it has no effect.
func (r *Reservation) CopyTo(copyAt ids.VM) {
	if r.ended {
		return
	}
	if r.copyAt != "" {
		r.tracker.add(r.copyAt, Work{Memory: -r.copyWork.Memory})
	}
	r.copyAt = copyAt
	if copyAt != "" {
		r.tracker.add(copyAt, r.copyWork)
	}
}

// PrefillDone records that the prompt has been processed.
func (r *Reservation) PrefillDone() {
	r.tracker.add(r.engine, Work{PendingPrefill: -r.work.PendingPrefill})
	r.work.PendingPrefill = 0
}

// Release removes the generation and its copy from the LoadTracker.
func (r *Reservation) Release() {
	r.tracker.add(r.engine, Work{PendingPrefill: -r.work.PendingPrefill, Running: -r.work.Running, Memory: -r.work.Memory})
	r.work = Work{}
	r.CopyTo("")
	r.ended = true
}
