// Package quarantine decides which prompts are no longer sent to engines because a part of them is a poison pill (a "query
// of death"): it crashes each engine that begins to write an answer to it.
//
// Requests share the parts of their prompts, so a crash is evidence against several parts. A run that outlives its first
// events proves its parts sound and cancels the earlier evidence against them. A part is quarantined once enough engine
// processes have crashed under it that no other part explains. While two parts are equally suspect, requests with both are
// refused and a request with only one of them is let through as a trial. A quarantine is a circuit breaker: it opens for a
// time, is then half-open, when one trial decides, and opens for twice the time if the trial crashes as well.
//
// # Usage
//
//	q := quarantine.New(router)
//	parts := quarantine.Parts(model, ids)
//	if v := q.Check(request, parts, now); !v.Allowed { ... refuse ... }
//	changes := q.RecordSound(parts, now)               // a run has delivered [SoundEvents] events, or all it had
//	changes := q.RecordCrash(quarantine.Crash{...})    // an engine ended before that
//	q.RecordLoss(upstream, started, now)               // an engine ended after that
//	changes := q.Settle(now)                           // several times a second
//	q.EndTrial(request)                                // the request has ended
//	report := q.Report(now)                            // for each of the other routers
//	changes := q.Merge(peer, report, now)
//	if q.Unsaved(stored, now) { ... write q.Snapshot(now) to the store ... }
//	changes := q.MergeStored(stored.Aged(elapsed), now)
package quarantine

import (
	"iter"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/core/ids"
)

// SoundEvents is the number of events after which a run has proved its prompt sound. A crash may follow the first ones.
const SoundEvents = 3

const (
	// crashThreshold is the number of unexplained crashes that open the breaker of a part.
	crashThreshold = 3
	// soundCrashThreshold applies to a part that has been sound before, since its last sound run.
	soundCrashThreshold = 4
	// coincidences is the number of crashes of other causes that may look like evidence against a part.
	coincidences = 1
	// maxParts bounds the parts of one prompt that are considered, maxCrashParts those of them that one crash is evidence against.
	maxParts      = 1024
	maxCrashParts = 32
)

// Part identifies a part of a prompt: the upper bits are a hash of the model, the others one of the part's name. Without the model's bits it
// stands for the part under all models.
type Part uint64

// modelShift is the number of bits of a Part that do not identify the model.
const modelShift = 48

type modelHash uint16

func (p Part) model() modelHash { return modelHash(p >> modelShift) }

// anyModel returns the part under all models.
func (p Part) anyModel() Part { return p & (1<<modelShift - 1) }

// keys returns a part, and the part under all models.
func (p Part) keys() []Part {
	if p == p.anyModel() {
		return []Part{p}
	}
	return []Part{p, p.anyModel()}
}

// Includes reports whether a prompt has a part, which may stand for all models.
func Includes(prompt []Part, p Part) bool {
	return slices.ContainsFunc(prompt, func(own Part) bool { return own == p || own.anyModel() == p })
}

// Parts returns the parts of a prompt that may be to blame for a crash, given the names of all its parts in order. The last
// one belongs to the request or its session.
func Parts(model string, names []string) []Part {
	if len(names) < 2 {
		return nil
	}
	names = names[:min(len(names)-1, maxParts)]
	out := make([]Part, 0, len(names))
	hash := Part(xxhash.Sum64String(model)) << modelShift
	for _, name := range names {
		out = append(out, hash|Part(xxhash.Sum64String(name)>>(64-modelShift)))
	}
	return out
}

// Crash is the loss of an engine process under a run that had not yet proved its prompt sound.
type Crash struct {
	// Request is the request whose run it was. It is known at the router that saw the crash only.
	Request  ids.Request
	Parts    []Part
	Upstream ids.VM
	// Started distinguishes one start of the upstream from the next.
	Started int64
	// Router is the router that saw the crash.
	Router ids.VM
	At     time.Time
	// stored is set if the crash is known from a snapshot. The clock of another router has a part in its time, so that it is not reported.
	stored bool
}

// Quarantine holds the evidence and the breakers, as seen by one router. It is not safe for concurrent use.
type Quarantine struct {
	router   ids.VM
	evidence evidence
	breakers map[Part]*breaker
	// startedAt is the time of the first call that tells the time.
	startedAt time.Time
	// peers holds when each of the other routers last sent a report.
	peers map[ids.VM]time.Time
}

// New returns an empty Quarantine of a router.
func New(router ids.VM) *Quarantine {
	return &Quarantine{router: router, breakers: map[Part]*breaker{}, peers: map[ids.VM]time.Time{}}
}

// start records the time of the first call.
func (q *Quarantine) start(now time.Time) {
	if q.startedAt.IsZero() {
		q.startedAt = now
	}
}

// RecordCrash records a crash that this router has seen, and returns the decisions that follow from it.
func (q *Quarantine) RecordCrash(c Crash) []Change {
	c.Router = q.router
	c.Parts = q.evidence.suspects(c.Parts)
	now := c.At
	q.start(now)
	if !q.evidence.addCrash(c, now) {
		return nil
	}
	for b := range q.breakersOf(c.Parts) {
		if b.trial != "" && b.trial == c.Request {
			b.trial, b.trialUntil = "", now.Add(trialBackoff)
		}
	}
	return append(q.renew(c, now), q.assess(now)...)
}

// RecordSound records that a run at this router has outlived its first events, and returns the decisions that follow from it.
func (q *Quarantine) RecordSound(parts []Part, now time.Time) []Change {
	parts = parts[:min(len(parts), maxParts)]
	q.evidence.addSoundRun(parts, now)
	affected := false
	for _, p := range parts {
		affected = q.addSound(p, now, true) || affected
	}
	if !affected {
		return nil
	}
	return append(q.releaseSound(now), q.assess(now)...)
}

// addSound records a sound run of a part and reports whether this may change the state of breakers.
func (q *Quarantine) addSound(p Part, at time.Time, own bool) bool {
	affected := false
	for _, key := range p.keys() {
		b := q.breakers[key]
		affected = q.evidence.addSound(key, at, own) && b != nil && b.standing() || affected
	}
	return affected
}

// breakersOf returns the breakers of the parts of a prompt.
func (q *Quarantine) breakersOf(parts []Part) iter.Seq[*breaker] {
	return func(yield func(*breaker) bool) {
		for _, p := range parts {
			for _, key := range p.keys() {
				if b := q.breakers[key]; b != nil && !yield(b) {
					return
				}
			}
		}
	}
}

// assess opens the breakers of the parts that the evidence convicts, and suspends those that it does not convict.
func (q *Quarantine) assess(now time.Time) []Change {
	q.forget(now)
	tally := q.evidence.tally(now)
	blamed := blame(tally)
	var out []Change
	for _, b := range q.sorted() {
		s := tally[b.part]
		if b.active() && s != nil && blamed[b.part] == nil && s.total >= max(crashThreshold, b.crashes) {
			b.suspended = true
			out = append(out, b.change(Released, "not convicted by the evidence", s, now))
		}
	}
	for _, s := range byWeight(blamed) {
		b := q.breakers[s.part]
		if b != nil && b.active() {
			b.update(s)
			continue
		}
		if b = q.open(s, now); b != nil {
			out = append(out, b.change(Opened, "crashes", s, now))
		}
	}
	return out
}

// renew opens the half-open breakers of the parts of a new crash again.
func (q *Quarantine) renew(c Crash, now time.Time) []Change {
	var halfOpen []*breaker
	for b := range q.breakersOf(c.Parts) {
		if !b.active() || q.evidence.soundAt(b.part).After(c.At) {
			continue
		}
		if !c.At.After(b.until()) {
			// The part whose breaker is open explains the crash.
			return nil
		}
		halfOpen = append(halfOpen, b)
	}
	if len(halfOpen) == 0 {
		return nil
	}
	tally := q.evidence.tally(now)
	var out []Change
	for _, b := range halfOpen {
		b.reopen(c.At, q.leastOpenTime(b.part, now))
		s := tally[b.part]
		if s == nil {
			continue
		}
		b.update(s)
		out = append(out, b.change(Opened, "crash of a trial", s, now))
	}
	return out
}

// releaseSound releases the breakers of the parts that have been sound since they were opened.
func (q *Quarantine) releaseSound(now time.Time) []Change {
	var out []Change
	for _, b := range q.sorted() {
		if at := q.evidence.soundAt(b.part); b.standing() && !at.Before(b.openedAt) {
			b.release(at)
			out = append(out, b.change(Released, "sound run", nil, now))
		}
	}
	return out
}
