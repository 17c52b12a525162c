// Package placing picks the engine that runs a generation and the engine that keeps a copy of its KV cache.
//
// It adds up the work that this router has placed and the work that other routers report, and predicts from it, and from
// the measured slowness of each engine, when a prompt would be processed. It also picks upstreams for short calls and
// limits their concurrency.
//
// # Usage
//
//	c, firstEvent, ok := picker.Pick(candidates, need, placing.DefaultModel, now)
//	ticket := picker.Place(c.ID, need, copyAt)
//	ticket.Read() // the prompt was processed
//	ticket.End()
package placing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/ids"
)

// Need is a generation to be placed, with its sizes in tokens.
type Need struct {
	// Prompt is the part to be processed, Context the part that is already in the engine's KV cache, and Output the
	// expected output.
	Prompt  int
	Context int
	Output  int
	// Home is the engine that has the prompt in its KV cache, or empty.
	Home ids.VM
	// Seed makes random choices among engines differ between generations.
	Seed uint64
}

// random returns a pseudorandom number in (0, 1] that depends on the seed and the engine.
func (n Need) random(engine ids.VM) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(n.Seed)
	_, _ = d.WriteString(string(engine))
	return (float64(d.Sum64()>>11) + 1) / (1 << 53)
}

// Tokens returns the KV cache tokens that the generation occupies when complete.
func (n Need) Tokens() int { return n.Prompt + n.Context + n.Output }

// peerWorkTTL is how long another router's work counts without renewal; routers renew it several times a second.
const peerWorkTTL = 2 * time.Second

// Ledger adds up the work at each engine. It is not safe for concurrent use.
type Ledger struct {
	own   map[ids.VM]Work
	peers map[ids.VM]peerWork
	// slowness is the ratio of the measured to the predicted time to the first event.
	slowness map[ids.VM]slownessSample
}

type slownessSample struct {
	ratio float64
	at    time.Time
}

type peerWork struct {
	at   time.Time
	work map[ids.VM]Work
	slow map[ids.VM]float64
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{own: map[ids.VM]Work{}, peers: map[ids.VM]peerWork{}, slowness: map[ids.VM]slownessSample{}}
}

// Own returns the work that this router has placed at each engine.
func (l *Ledger) Own() map[ids.VM]Work { return l.own }

// Peer replaces the work and the slow engines that another router has reported.
func (l *Ledger) Peer(router ids.VM, work map[ids.VM]Work, slow map[ids.VM]float64, now time.Time) {
	l.peers[router] = peerWork{at: now, work: work, slow: slow}
}

// ForgetPeer deletes the work of a router that has ended.
func (l *Ledger) ForgetPeer(router ids.VM) { delete(l.peers, router) }

// At returns all known work at an engine.
func (l *Ledger) At(id ids.VM, now time.Time) Work {
	sum := l.own[id]
	for _, n := range l.peers {
		if now.Sub(n.at) <= peerWorkTTL {
			sum = sum.Add(n.work[id])
		}
	}
	return sum
}

// Slowness returns how much longer than predicted work takes at an engine, as a factor: the highest that this router has
// measured or another one has reported.
func (l *Ledger) Slowness(id ids.VM, now time.Time) float64 {
	slowness := l.ownSlowness(id, now)
	for _, n := range l.peers {
		if now.Sub(n.at) <= peerWorkTTL {
			slowness = max(slowness, n.slow[id])
		}
	}
	return slowness
}

// SlowOnes returns the engines that this router has measured as slow, with their slowness.
func (l *Ledger) SlowOnes(now time.Time) map[ids.VM]float64 {
	out := map[ids.VM]float64{}
	for id := range l.slowness {
		if s := l.ownSlowness(id, now); s >= slowThreshold {
			out[id] = s
		}
	}
	return out
}

// ownSlowness returns the slowness that this router has measured. It decays, so that an engine that is no longer slow gets
// work again.
func (l *Ledger) ownSlowness(id ids.VM, now time.Time) float64 {
	s, known := l.slowness[id]
	if !known {
		return 1
	}
	return 1 + (s.ratio-1)*math.Exp(-float64(now.Sub(s.at))/float64(slownessDecay))
}

const (
	// slownessWeight is the weight of a new sample in the running mean; the load of a noisy neighbour lasts for some
	// requests.
	slownessWeight = 0.3
	// slownessDecay is the time in which a sample decays to about a third (1/e); engines stay impaired for some seconds.
	slownessDecay = 6 * time.Second
	// maxSlowness bounds the slowness of a single sample.
	maxSlowness = 8
)

// Measured records the measured time to the first event of a prompt against the predicted one.
func (l *Ledger) Measured(id ids.VM, taken, predicted time.Duration, now time.Time) {
	if predicted <= 0 {
		return
	}
	before := l.ownSlowness(id, now)
	ratio := min(maxSlowness, max(1.0/maxSlowness, float64(taken)/float64(predicted)*before))
	l.slowness[id] = slownessSample{ratio: before*(1-slownessWeight) + ratio*slownessWeight, at: now}
}

// failureSlowness is the slowness that the first failure of a live engine counts as; each further failure doubles it.
// Crashed engines are detected by other means.
const failureSlowness = 3

// Failed records that a live engine failed a generation before its first event, and reports whether this makes the engine
// slow.
func (l *Ledger) Failed(id ids.VM, now time.Time) bool {
	return l.Slow(id, max(failureSlowness, 2*l.ownSlowness(id, now)), now)
}

// Slow records that an engine is slow by at least the given factor at present, and reports whether it was not slow before.
func (l *Ledger) Slow(id ids.VM, ratio float64, now time.Time) bool {
	before := l.ownSlowness(id, now)
	if ratio = min(maxSlowness, ratio); ratio > before {
		l.slowness[id] = slownessSample{ratio: ratio, at: now}
	}
	return before < slowThreshold && ratio >= slowThreshold
}

// Forget deletes the measurements of an engine that no longer exists.
func (l *Ledger) Forget(id ids.VM) { delete(l.slowness, id) }

// add adds to the router's own work at an engine, and deletes the entry once no work is left.
func (l *Ledger) add(id ids.VM, w Work) {
	sum := l.own[id].Add(w)
	if sum.Running <= 0 && sum.Memory <= 0 {
		delete(l.own, id)
		return
	}
	l.own[id] = sum
}
