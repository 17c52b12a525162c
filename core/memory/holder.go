package memory

import "time"

// Holder is one body, or whatever else is held while it arrives.
type Holder struct {
	account *Account
	notify  func()

	// The following fields are guarded by the account's mutex.
	held       Bytes
	progressAt time.Time
	state      holderState
}

// holderState is the state of a [Holder].
type holderState int

const (
	incomplete holderState = iota
	complete
	isShed
	released
)

// Complete records that all has arrived, so that the holder is not shed any more. It reports false if it has been shed before.
func (h *Holder) Complete() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.state != incomplete {
		return h.state == complete
	}
	h.state = complete
	delete(h.account.incomplete, h)
	return true
}

// Shed reports whether the holder has been shed.
func (h *Holder) Shed() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.state == isShed
}

// Notify ends the arrival of the bytes of a holder that has been shed.
func (h *Holder) Notify() { h.notify() }

// Held returns the bytes that the holder holds.
func (h *Holder) Held() Bytes {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.held
}

// Release returns what the holder holds. Further calls have no effect.
func (h *Holder) Release() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	switch h.state {
	case released:
		return
	case isShed:
		a.leaving -= h.held
		h.held = 0
	case incomplete, complete:
		delete(a.incomplete, h)
		a.add(h, -h.held)
	}
	h.state = released
}
