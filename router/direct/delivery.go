package direct

import (
	"net/http"
	"slices"
	"time"

	"bilberrylug.dev/core/memory"
)

const (
	// deliveryShare is the part of the process's memory that the first 64 KiB of answers and events may take while they are written to
	// callers. What is beyond them in answers is limited by answerShare, and in events by upstreams.max_event_bytes.
	deliveryShare = 0.1
	// minDeliveryMemory and defaultDeliveryMemory are that memory in bytes if the process has little, and if its memory is not known.
	minDeliveryMemory     = 4 << 20
	defaultDeliveryMemory = 128 << 20
	// freeDelivery is the size up to which an answer or event is not accounted for, since it fits into the buffers of the connection.
	freeDelivery = 8 << 10
	// deliveryPiece is the size in which an answer is written, so that a caller that reads slowly is told from one that does not read.
	deliveryPiece = 64 << 10
	// unreadTime is the time without progress after which an answer makes room for others that are being received. An answer that
	// makes progress is written until the request's deadline.
	unreadTime = 2 * time.Second
)

// deliveryMemory returns the memory for deliveries of a process with the given memory in MiB, zero if it is not known.
func deliveryMemory(megabytes int64) memory.Bytes {
	if megabytes <= 0 {
		return defaultDeliveryMemory
	}
	return max(minDeliveryMemory, memory.Bytes(deliveryShare*float64(megabytes<<20)))
}

// delivery writes to a caller. If callers that do not read hold too much, the writing to the one of them that has held most without
// progress ends with an error.
type delivery struct {
	x      *exchange
	holder *memory.Holder
	// counted is set if the delivery is in the account.
	counted bool
}

// deliver starts the writing of n bytes.
func (x *exchange) deliver(n int) delivery {
	d := delivery{x: x}
	if n <= freeDelivery {
		return d
	}
	rc := http.NewResponseController(x.w)
	d.holder = x.callerMemory.deliveries.Open(func() { _ = rc.SetWriteDeadline(past) }, x.clock.Now())
	shed, granted := x.callerMemory.deliveries.Grow(d.holder, min(memory.Bytes(n), memory.FirstPart), x.clock.Now())
	d.counted = granted
	// An answer for which there is no room is written all the same.
	notifyAll(slices.DeleteFunc(shed, func(h *memory.Holder) bool { return h == d.holder }))
	return d
}

// write writes a text in pieces.
func (d *delivery) write(text []byte) error {
	for len(text) > 0 {
		n, err := d.x.w.Write(text[:min(len(text), deliveryPiece)])
		if err != nil {
			return err
		}
		text = text[n:]
		if d.counted {
			d.x.callerMemory.deliveries.Grow(d.holder, 0, d.x.clock.Now())
		}
	}
	return nil
}

// end ends the delivery. It reports whether it was shed, after which the connection cannot be used.
func (d *delivery) end() (shed bool) {
	if d.holder == nil {
		return false
	}
	shed = d.counted && !d.holder.Complete()
	d.holder.Release()
	if shed {
		d.x.callerMemory.recordUnread(d.x.r.RemoteAddr)
	}
	return shed
}

// awaitAnswerMemory closes connections of callers that do not read their answers, until there is memory for another step of an answer. It
// reports false if there is none.
func (x *exchange) awaitAnswerMemory() bool {
	for wait := minRoomWait; wait < maxRoomWait; wait *= 2 {
		h := x.callerMemory.deliveries.ShedSlowest(x.clock.Now().Add(-unreadTime))
		if h == nil && wait == minRoomWait {
			return false
		}
		if h != nil {
			h.Notify()
		}
		x.clock.Sleep(wait)
		if x.answers.acquire(answerStep) {
			return true
		}
	}
	return false
}
