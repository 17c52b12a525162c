package pace

import (
	"math"
	"time"

	"bilberrylug.dev/core/ids"
)

// window limits the requests in flight at one start of an upstream, over all routers. Each router counts its own good answers; the size is
// the sum of what all routers have gained since the last decrease.
type window struct {
	start Start
	// epoch counts the decreases and the repeated beginnings, base is the size at the last one.
	epoch int
	base  float64
	// gained is what this router's answers have added to the size since then, peers what those of the other routers have.
	gained float64
	peers  map[ids.VM]float64
	// threshold is the size up to which each fast answer adds one request. Beyond it, and if answers are slower than those of the peers but
	// do not slow down further, a whole window of answers does.
	threshold            float64
	begunAt, decreasedAt time.Time
	// answers is the number of good answers that this router has seen.
	answers int
	// best is the lowest ratio of an answer's time to the expected one in this epoch, zero if there was none.
	best float64
	// failed is set if the last answer was a failure.
	failed bool
	// scaled is set once the initial size has been set relative to what the peers carry.
	scaled bool
}

func newWindow(s Start, epoch int, now time.Time) *window {
	return &window{
		start: s, epoch: epoch, base: initialSize, peers: map[ids.VM]float64{}, threshold: math.Inf(1), begunAt: now,
		decreasedAt: now.Add(-decreaseInterval),
	}
}

// growth is what good answers at all routers have added to the size since the last decrease.
func (w *window) growth() float64 {
	sum := w.gained
	for _, g := range w.peers {
		sum += g
	}
	return sum
}

func (w *window) size() float64 { return w.base + w.growth() }

func (w *window) change(s State, reason string, before float64, now time.Time) Change {
	return Change{
		Start: w.start, State: s, Reason: reason, Size: w.size(), Before: before, Answers: w.answers, Age: now.Sub(w.begunAt),
	}
}

// grow records a good answer with its ratio to the expected time. Fast is set if it came as fast as those of the peers.
func (w *window) grow(ratio float64, fast bool, now time.Time) {
	w.failed = false
	if now.Sub(w.decreasedAt) < decreaseInterval {
		return
	}
	if w.best == 0 || ratio < w.best {
		w.best = ratio
	}
	size := w.size()
	switch {
	case fast && size < w.threshold:
		w.gained++
	case fast, ratio <= slowFactor*w.best:
		w.gained += 1 / size
	default:
		return
	}
	w.answers++
}

// reset enters an epoch that begins with a size.
func (w *window) reset(epoch int, base float64, now time.Time) {
	w.epoch, w.base, w.threshold, w.decreasedAt = epoch, base, base, now
	w.gained, w.best = 0, 0
	clear(w.peers)
}

// RecordTrouble records that an upstream refused, failed or stalled, and reports whether this decreases its window.
func (t *Tracker) RecordTrouble(s Start, trouble Trouble, now time.Time) (Change, bool) {
	w := t.get(s)
	if w == nil {
		return Change{}, false
	}
	first := trouble == Failed && !w.failed
	w.failed = trouble == Failed
	if first || now.Sub(w.decreasedAt) < decreaseInterval {
		return Change{}, false
	}
	before := w.size()
	w.reset(w.epoch+1, max(minSize, before/2), now)
	return w.change(Decreased, string(trouble), before, now), true
}
