// Package memory accounts for the bytes that a process holds for callers, and names the incomplete bodies to shed when there is no room.
//
// A holder is a body, or whatever else is held while it arrives. It reserves bytes as they arrive, not as they are announced. While it is
// incomplete it may be shed, so that callers that stop short of the end of their bodies take no room from others. A complete one may not:
// its request is being served.
//
// The first part of each body has a reserve that larger bodies do not get, so that small requests are admitted beside large ones.
//
// # Usage
//
//	a := memory.New(20 << 20)
//	h := a.Open(cutRead, now)
//	defer h.Release()
//	shed, granted := a.Grow(h, 4096, now) // before the bytes are stored
//	for _, s := range shed {
//		s.Notify()
//	}
//	if !h.Complete() { return errShed }
package memory

import (
	"slices"
	"sync"
	"time"
)

// Bytes is a number of bytes.
type Bytes int64

const (
	// FirstPart is the part of each body that may use the reserve.
	FirstPart Bytes = 64 << 10
	// reserveShare is the part of the capacity that only first parts may use, as a divisor.
	reserveShare = 4
	// maxLeavingLarge and maxLeavingSmall are the parts of the capacity, as divisors, that shed holders may still hold while other holders
	// grow, beyond their first part and within it. Shed holders release as soon as they are scheduled, which may take long on a busy CPU.
	maxLeavingLarge, maxLeavingSmall = 4, 2
	// idleFloor is added to the time since a holder's last progress. Without it a holder of any size that has just made progress would
	// rank after a tiny one.
	idleFloor = time.Second
)

// Account is the account of a process. It is safe for concurrent use.
type Account struct {
	mu       sync.Mutex
	capacity Bytes
	// held is what holders that are not shed hold, beyond the part of it that is not in the first parts.
	held, beyond Bytes
	// leaving is what shed holders have not released yet.
	leaving Bytes
	// incomplete holds the holders that may be shed.
	incomplete map[*Holder]struct{}
}

// New returns an empty account.
func New(capacity Bytes) *Account {
	return &Account{capacity: capacity, incomplete: map[*Holder]struct{}{}}
}

// SetCapacity changes the capacity. What is held already stays.
func (a *Account) SetCapacity(capacity Bytes) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.capacity = capacity
}

// Held returns the bytes that are held, also by holders that are shed and have not released yet.
func (a *Account) Held() Bytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held + a.leaving
}

// Open returns a new holder, which holds nothing and is incomplete. notify ends the arrival of its bytes once it is shed.
func (a *Account) Open(notify func(), now time.Time) *Holder {
	h := &Holder{account: a, notify: notify, progressAt: now}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.incomplete[h] = struct{}{}
	return h
}

// Grow reserves bytes that arrive for a holder, and reports whether they are granted. It returns the holders that are shed for them, which
// the caller has to notify. If h is among them, it is the only one. If the bytes are not granted and h is not shed, there is room once
// the shed holders have released. A complete holder that asks for more than there is keeps what it has.
func (a *Account) Grow(h *Holder, n Bytes, now time.Time) (shed []*Holder, granted bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.state == isShed || h.state == released {
		return []*Holder{h}, false
	}
	for a.full(h, n) {
		worst := a.worst(h, n, now)
		if worst == nil || worst == h {
			a.restore(shed)
			if h.state == incomplete {
				a.shed(h)
			}
			return []*Holder{h}, false
		}
		a.shed(worst)
		shed = append(shed, worst)
	}
	if a.leaving > a.maxLeaving(h, n) {
		return shed, false
	}
	h.progressAt = now
	a.add(h, n)
	return shed, true
}

// ShedSlowest sheds the incomplete holder that has made no progress for the longest time, and none since the given time. It returns nil
// if there is none.
func (a *Account) ShedSlowest(since time.Time) *Holder {
	a.mu.Lock()
	defer a.mu.Unlock()
	var slowest *Holder
	for h := range a.incomplete {
		if !h.progressAt.After(since) && (slowest == nil || h.progressAt.Before(slowest.progressAt)) {
			slowest = h
		}
	}
	if slowest != nil {
		a.shed(slowest)
	}
	return slowest
}

// full reports whether holders have to be shed for n more bytes of a holder.
func (a *Account) full(h *Holder, n Bytes) bool { return a.held+n > a.capacity || a.fullOfLarge(h, n) }

// fullOfLarge reports whether n more bytes of a holder are beyond its first part and would take room of the reserve.
func (a *Account) fullOfLarge(h *Holder, n Bytes) bool {
	more := beyondFirst(h.held+n) - beyondFirst(h.held)
	return more > 0 && a.beyond+more > a.capacity-a.capacity/reserveShare
}

// maxLeaving returns how much shed holders may still hold while a holder grows by n bytes.
func (a *Account) maxLeaving(h *Holder, n Bytes) Bytes {
	if h.held+n > FirstPart {
		return a.capacity / maxLeavingLarge
	}
	return a.capacity / maxLeavingSmall
}

// worst returns the holder to shed first, or nil if no holder makes room: the one for which the product of the bytes held and the time
// without progress is largest. The holder that asks counts with the bytes that it asks for, but while it is within its first part all
// others come before it: a small body that arrives at once is never refused because many others arrive beside it.
func (a *Account) worst(asking *Holder, n Bytes, now time.Time) *Holder {
	// Room in the reserve is of no use if larger bodies' room is short.
	large := a.fullOfLarge(asking, n)
	var worst *Holder
	most := 0.0
	for h := range a.incomplete {
		held, since := h.held, now.Sub(h.progressAt)
		if h == asking {
			if held+n <= FirstPart {
				continue
			}
			held, since = h.held+n, 0
		}
		if large && beyondFirst(held) == 0 || held == 0 {
			continue
		}
		if rank := float64(held) * (max(0, since) + idleFloor).Seconds(); rank > most {
			worst, most = h, rank
		}
	}
	return worst
}

// shed takes a holder out of the account. What it holds counts as leaving until it releases.
func (a *Account) shed(h *Holder) {
	delete(a.incomplete, h)
	held := h.held
	a.add(h, -held)
	h.held = held
	h.state = isShed
	a.leaving += held
}

// restore undoes the shedding of holders that have not been notified.
func (a *Account) restore(list []*Holder) {
	for _, h := range slices.Backward(list) {
		held := h.held
		a.leaving -= held
		h.state, h.held = incomplete, 0
		a.add(h, held)
		a.incomplete[h] = struct{}{}
	}
}

// add changes what a holder holds.
func (a *Account) add(h *Holder, n Bytes) {
	a.beyond += beyondFirst(h.held+n) - beyondFirst(h.held)
	a.held += n
	h.held += n
}

// beyondFirst returns the part of a body of the given size that is not in its first part.
func beyondFirst(held Bytes) Bytes { return max(0, held-FirstPart) }
