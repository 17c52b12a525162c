// Package placement picks the engine that runs a generation and the engine that keeps a copy of its KV cache.
//
// It adds up the work that this router has placed and the work that other routers report, and predicts from it, and from
// the measured slowness of each engine, when a prompt would be processed. It also picks upstreams for short calls and
// limits their concurrency.
//
// # Usage
//
//	c, firstEvent, ok := picker.Pick(candidates, request, placement.DefaultEngineModel, now)
//	r := picker.Reserve(c.ID, request, copyAt)
//	r.PrefillDone() // the prompt was processed
//	r.Release()
package placement

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/ids"
)

// Request is a generation to be placed, with its sizes in tokens.
type Request struct {
	// Prompt is the part to be processed, Context the part that is already in the engine's KV cache, and Output the
	// expected output.
	Prompt  int
	Context int
	Output  int
	// CachedAt is the engine that has the prompt in its KV cache, or empty.
	CachedAt ids.VM
	// Seed makes random choices among engines differ between generations.
	Seed uint64
}

// random returns a pseudorandom number in (0, 1] that depends on the seed and the engine.
func (r Request) random(engine ids.VM) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(r.Seed)
	_, _ = d.WriteString(string(engine))
	return (float64(d.Sum64()>>11) + 1) / (1 << 53)
}

// Tokens returns the KV cache tokens that the generation occupies when complete.
func (r Request) Tokens() int { return r.Prompt + r.Context + r.Output }

// peerWorkTTL is how long another router's work counts without renewal, if PeerTTL is not longer; routers renew it several
// times a second.
const peerWorkTTL = 2 * time.Second

// LoadTracker adds up the work at each engine. It is not safe for concurrent use.
type LoadTracker struct {
	own   map[ids.VM]Work
	peers map[ids.VM]peerWork
	// peerSum is the sum of the work in peers by engine, slowAt holds the slowness in peers by engine and router.
	peerSum map[ids.VM]Work
	slowAt  map[ids.VM]map[ids.VM]float64
	// nextExpiry is the time before which no report in peers expires.
	nextExpiry time.Time
	// slowness is the ratio of the measured to the predicted time to the first event.
	slowness map[ids.VM]slownessSample
	// PeerTTL is how long the reports of another router are used, at least peerWorkTTL. In a large fleet they are rare.
	PeerTTL time.Duration
}

func (t *LoadTracker) peerTTL() time.Duration { return max(peerWorkTTL, t.PeerTTL) }

type slownessSample struct {
	ratio float64
	at    time.Time
}

type peerWork struct {
	at   time.Time
	work map[ids.VM]Work
	slow map[ids.VM]float64
}

// NewLoadTracker returns an empty LoadTracker.
func NewLoadTracker() *LoadTracker {
	return &LoadTracker{
		own: map[ids.VM]Work{}, peers: map[ids.VM]peerWork{}, peerSum: map[ids.VM]Work{}, slowAt: map[ids.VM]map[ids.VM]float64{},
		slowness: map[ids.VM]slownessSample{},
	}
}

// OwnWork returns the work that this router has placed at each engine.
func (t *LoadTracker) OwnWork() map[ids.VM]Work { return t.own }

// UpdatePeer replaces the work and the slow engines that another router has reported.
func (t *LoadTracker) UpdatePeer(router ids.VM, work map[ids.VM]Work, slow map[ids.VM]float64, now time.Time) {
	t.RemovePeer(router)
	t.peers[router] = peerWork{at: now, work: maps.Clone(work), slow: maps.Clone(slow)}
	for id, w := range work {
		t.peerSum[id] = t.peerSum[id].Add(w)
	}
	for id, slowness := range slow {
		if t.slowAt[id] == nil {
			t.slowAt[id] = map[ids.VM]float64{}
		}
		t.slowAt[id][router] = slowness
	}
	if expiry := now.Add(t.peerTTL()); len(t.peers) == 1 || expiry.Before(t.nextExpiry) {
		t.nextExpiry = expiry
	}
}

// RemovePeer deletes the work of a router that has ended.
func (t *LoadTracker) RemovePeer(router ids.VM) {
	old := t.peers[router]
	delete(t.peers, router)
	for id, w := range old.work {
		if sum := t.peerSum[id].Add(w.negate()); sum == (Work{}) {
			delete(t.peerSum, id)
		} else {
			t.peerSum[id] = sum
		}
	}
	for id := range old.slow {
		delete(t.slowAt[id], router)
		if len(t.slowAt[id]) == 0 {
			delete(t.slowAt, id)
		}
	}
}

// expire deletes the reports of other routers that have expired.
func (t *LoadTracker) expire(now time.Time) {
	if !now.After(t.nextExpiry) {
		return
	}
	t.nextExpiry = now.Add(t.peerTTL())
	for router, peer := range t.peers {
		expiry := peer.at.Add(t.peerTTL())
		switch {
		case now.After(expiry):
			t.RemovePeer(router)
		case expiry.Before(t.nextExpiry):
			t.nextExpiry = expiry
		}
	}
}

// WorkAt returns all known work at an engine.
func (t *LoadTracker) WorkAt(id ids.VM, now time.Time) Work {
	t.expire(now)
	return t.own[id].Add(t.peerSum[id])
}

// Slowness returns how much longer than predicted work takes at an engine, as a factor: the highest that this router has
// measured or another one has reported.
func (t *LoadTracker) Slowness(id ids.VM, now time.Time) float64 {
	t.expire(now)
	slowness := t.ownSlowness(id, now)
	for _, reported := range t.slowAt[id] {
		slowness = max(slowness, reported)
	}
	return slowness
}

// InFlight returns the generations that this router runs at an engine, and those that others run as far as known.
func (t *LoadTracker) InFlight(id ids.VM, now time.Time) (own, others int) {
	t.expire(now)
	return t.own[id].Running, t.peerSum[id].Running
}

// IsSlow reports whether this router has measured an engine as slow, or another one has reported it.
func (t *LoadTracker) IsSlow(id ids.VM, now time.Time) bool {
	return t.Slowness(id, now) >= slowThreshold
}

// SlowEngines returns the engines that this router has measured as slow, with their slowness.
func (t *LoadTracker) SlowEngines(now time.Time) map[ids.VM]float64 {
	out := map[ids.VM]float64{}
	for id := range t.slowness {
		if s := t.ownSlowness(id, now); s >= slowThreshold {
			out[id] = s
		}
	}
	return out
}

// ownSlowness returns the slowness that this router has measured. It decays, so that an engine that is no longer slow gets
// work again.
func (t *LoadTracker) ownSlowness(id ids.VM, now time.Time) float64 {
	s, known := t.slowness[id]
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

// RecordFirstEvent records the measured time to the first event of a prompt against the predicted one. The prediction
// already includes the known slowness, so the ratio of both is multiplied by it.
func (t *LoadTracker) RecordFirstEvent(id ids.VM, taken, predicted time.Duration, now time.Time) {
	if predicted <= 0 {
		return
	}
	before := t.ownSlowness(id, now)
	ratio := min(maxSlowness, max(1.0/maxSlowness, float64(taken)/float64(predicted)*before))
	t.slowness[id] = slownessSample{ratio: before*(1-slownessWeight) + ratio*slownessWeight, at: now}
}

// failureSlowness is the slowness that the first failure of a live engine counts as; each further failure doubles it.
// Crashed engines are detected by other means.
const failureSlowness = 3

// RecordFailure records that a live engine failed a generation before its first event, and reports whether this makes the
// engine slow.
func (t *LoadTracker) RecordFailure(id ids.VM, now time.Time) bool {
	return t.RecordSlowness(id, max(failureSlowness, 2*t.ownSlowness(id, now)), now)
}

// RecordSlowness records that an engine is slow by at least the given factor at present, and reports whether it was not
// slow before.
func (t *LoadTracker) RecordSlowness(id ids.VM, ratio float64, now time.Time) bool {
	before := t.ownSlowness(id, now)
	if ratio = min(maxSlowness, ratio); ratio > before {
		t.slowness[id] = slownessSample{ratio: ratio, at: now}
	}
	return before < slowThreshold && ratio >= slowThreshold
}

// Forget deletes the measurements of an engine that no longer exists.
func (t *LoadTracker) Forget(id ids.VM) { delete(t.slowness, id) }

// add adds to the router's own work at an engine, and deletes the entry once no work is left.
func (t *LoadTracker) add(id ids.VM, w Work) {
	sum := t.own[id].Add(w)
	if sum.Running <= 0 && sum.Memory <= 0 {
		delete(t.own, id)
		return
	}
	t.own[id] = sum
}
