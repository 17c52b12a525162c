// Package placing decides at which engine a generation runs and which engine keeps the copy of its memory.
//
// It adds up the work that this router has placed, what other routers say they have placed, and what the engine itself last
// reported, and predicts from that when a prompt would be read.
//
// # Usage
//
//	id, ok := book.Pick(candidates, placing.Request{Prompt: 5000, Output: 600}, now)
//	ticket := book.Place(id, need, now)
//	ticket.FirstEvent()
//	ticket.End()
package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/ids"
)

// Request is the size of a generation in tokens.
type Request struct {
	// Prompt is what has to be read, Context what is already in the engine's memory, Output the expected rest.
	Prompt  int
	Context int
	Output  int
	// CachedAt is the engine that has read the prompt before, or empty.
	CachedAt ids.VM
	// Seed makes the draws among engines differ from one generation to the next.
	Seed uint64
}

// draw returns a number between 0 and 1, the generation's own for an engine.
func (n Request) draw(engine ids.VM) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(n.Seed)
	_, _ = d.WriteString(string(engine))
	return (float64(d.Sum64()>>11) + 1) / (1 << 53)
}

// Tokens is the memory that the generation takes up at its end.
func (n Request) Tokens() int { return n.Prompt + n.Context + n.Output }

// newsLifetime is how long a peer's word on its work is believed without renewal; peers renew it several times a second.
const newsLifetime = 2 * time.Second

// LoadTracker adds up the work at each engine. It is not safe for concurrent use.
type LoadTracker struct {
	own   map[ids.VM]Work
	peers map[ids.VM]news
	// slowness is the measured time to the first event against the predicted one.
	slowness map[ids.VM]measure
}

type measure struct {
	ratio float64
	at    time.Time
}

type news struct {
	at   time.Time
	work map[ids.VM]Work
	slow map[ids.VM]float64
}

// NewLoadTracker returns an empty ledger.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{own: map[ids.VM]Work{}, peers: map[ids.VM]news{}, slowness: map[ids.VM]measure{}}
}

// Own returns the work that this router has under way.
func (l *LoadTracker) Own() map[ids.VM]Work { return l.own }

// UpdatePeer takes another router's word on all its work and on the engines that it has found slow.
func (l *LoadTracker) UpdatePeer(router ids.VM, work map[ids.VM]Work, slow map[ids.VM]float64, now time.Time) {
	l.peers[router] = news{at: now, work: work, slow: slow}
}

// RemovePeer drops the work of a router that has ended.
func (l *LoadTracker) RemovePeer(router ids.VM) { delete(l.peers, router) }

// WorkAt returns all known work at an engine.
func (l *LoadTracker) WorkAt(id ids.VM, now time.Time) Work {
	sum := l.own[id]
	for _, n := range l.peers {
		if now.Sub(n.at) <= newsLifetime {
			sum = sum.Add(n.work[id])
		}
	}
	return sum
}

// Slowness returns how long work takes at an engine against the usual, as this router or another has found.
func (l *LoadTracker) Slowness(id ids.VM, now time.Time) float64 {
	slowness := l.measured(id, now)
	for _, n := range l.peers {
		if now.Sub(n.at) <= newsLifetime {
			slowness = max(slowness, n.slow[id])
		}
	}
	return slowness
}

// SlowEngines returns the engines that this router has found slow.
func (l *LoadTracker) SlowEngines(now time.Time) map[ids.VM]float64 {
	out := map[ids.VM]float64{}
	for id := range l.slowness {
		if s := l.measured(id, now); s >= slowSign {
			out[id] = s
		}
	}
	return out
}

// measured returns what this router has measured itself. It fades, so that an engine that is no longer slow gets work again.
func (l *LoadTracker) measured(id ids.VM, now time.Time) float64 {
	s, known := l.slowness[id]
	if !known {
		return 1
	}
	return 1 + (s.ratio-1)*math.Exp(-float64(now.Sub(s.at))/float64(slownessLife))
}

const (
	// slownessWeight is the weight of a new measure in the running mean; a neighbour's load lasts for some requests.
	slownessWeight = 0.3
	// slownessLife is the time in which a measure fades to a third; troubles of engines last some seconds.
	slownessLife = 6 * time.Second
	// maxSlowness bounds what one measure says.
	maxSlowness = 8
)

// RecordFirstEvent takes the time that reading a prompt took against the predicted one.
func (l *LoadTracker) RecordFirstEvent(id ids.VM, taken, predicted time.Duration, now time.Time) {
	if predicted <= 0 {
		return
	}
	before := l.measured(id, now)
	ratio := min(maxSlowness, max(1.0/maxSlowness, float64(taken)/float64(predicted)*before))
	l.slowness[id] = measure{ratio: before*(1-slownessWeight) + ratio*slownessWeight, at: now}
}

// failSign is the slowness that the first failure of a living engine counts as; each further one doubles it. Engines that
// crash are noticed otherwise.
const failSign = 3

// Failed notes that an engine that lives has failed a generation before its first event, and tells whether that is the first
// sign.
func (l *LoadTracker) RecordFailure(id ids.VM, now time.Time) bool {
	return l.RecordSlowness(id, max(failSign, 2*l.measured(id, now)), now)
}

// RecordSlowness takes a sign that an engine is slow at present by at least a factor, and tells whether it is the first one.
func (l *LoadTracker) RecordSlowness(id ids.VM, ratio float64, now time.Time) bool {
	before := l.measured(id, now)
	if ratio = min(maxSlowness, ratio); ratio > before {
		l.slowness[id] = measure{ratio: ratio, at: now}
	}
	return before < slowSign && ratio >= slowSign
}

// Forget drops what was measured at an engine that is gone.
func (l *LoadTracker) Forget(id ids.VM) { delete(l.slowness, id) }

// add changes the own work at an engine; an engine without work is dropped.
func (l *LoadTracker) add(id ids.VM, w Work) {
	sum := l.own[id].Add(w)
	if sum.Running <= 0 && sum.Memory <= 0 {
		delete(l.own, id)
		return
	}
	l.own[id] = sum
}
