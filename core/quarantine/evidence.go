package quarantine

import (
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// evidenceLifetime is how long a crash is evidence against the parts of its run.
	evidenceLifetime = time.Minute
	// maxCrashes bounds the crashes that are kept.
	maxCrashes = 256
	// maxSound bounds the parts whose last sound run is remembered, in each of two generations.
	maxSound = 4096
	// maxRuns bounds the sound runs that are kept.
	maxRuns = 128
)

// incarnation is one start of an upstream.
type incarnation struct {
	upstream ids.VM
	started  int64
}

// evidence holds the recent crashes and the times of the last sound runs.
type evidence struct {
	// crashes are in the order of their times.
	crashes []Crash
	// losses holds when upstreams were lost under runs that had proved their prompts sound, as this router has seen it.
	losses map[incarnation]time.Time
	// sound and olderSound are two generations of the parts that have been sound, so that the oldest are dropped.
	sound, olderSound map[Part]soundRun
	// models holds when a part of each model was last sound.
	models map[modelHash]time.Time
	// runs are the last sound runs at this router in a ring, whose oldest entry is at nextRun once it is full.
	runs    []ownRun
	nextRun int
}

// ownRun is a sound run at this router.
type ownRun struct {
	parts []Part
	at    time.Time
}

// soundRun holds when a part was last sound at any router and at this one.
type soundRun struct{ at, ownAt time.Time }

// addCrash adds a crash unless it is known or too old. The time of a known one is corrected to the earliest report, since
// transport only makes reports look younger; that of a snapshot corrects no other one.
func (e *evidence) addCrash(c Crash, now time.Time) bool {
	e.expire(now)
	if len(c.Parts) == 0 || now.Sub(c.At) >= evidenceLifetime {
		return false
	}
	known := slices.IndexFunc(e.crashes, func(k Crash) bool {
		return k.Started == c.Started && k.Upstream == c.Upstream && k.Router == c.Router && slices.Equal(k.Parts, c.Parts)
	})
	if known >= 0 {
		if old := e.crashes[known]; c.stored || !old.stored && !c.At.Before(old.At) {
			return false
		}
		e.crashes = slices.Delete(e.crashes, known, known+1)
	}
	at, _ := slices.BinarySearchFunc(e.crashes, c, compareCrashes)
	e.crashes = slices.Insert(e.crashes, at, c)
	if len(e.crashes) > maxCrashes {
		e.crashes = slices.Delete(e.crashes, 0, len(e.crashes)-maxCrashes)
	}
	return known < 0
}

// suspects returns the parts of a crash that it is evidence against: all, or those that were sound longest ago if there are too many.
func (e *evidence) suspects(parts []Part) []Part {
	out := slices.Clone(parts)
	if len(out) <= maxCrashParts {
		return out
	}
	slices.SortStableFunc(out, func(a, b Part) int { return e.soundAt(a).Compare(e.soundAt(b)) })
	return out[:maxCrashParts:maxCrashParts]
}

func compareCrashes(a, b Crash) int { return a.At.Compare(b.At) }

func (e *evidence) expire(now time.Time) {
	fresh := slices.IndexFunc(e.crashes, func(c Crash) bool { return now.Sub(c.At) < evidenceLifetime })
	if fresh < 0 {
		fresh = len(e.crashes)
	}
	e.crashes = slices.Delete(e.crashes, 0, fresh)
}

// addSound records a sound run of a part, at this router if own is set, and reports whether it is the last one.
func (e *evidence) addSound(p Part, at time.Time, own bool) bool {
	s := e.soundRun(p)
	last := at.After(s.at)
	if last {
		s.at = at
	}
	if own && at.After(s.ownAt) {
		s.ownAt = at
	}
	if e.sound == nil || len(e.sound) >= maxSound {
		e.olderSound, e.sound = e.sound, make(map[Part]soundRun)
	}
	e.sound[p] = s
	if e.models == nil {
		e.models = map[modelHash]time.Time{}
	}
	if at.After(e.models[p.model()]) {
		e.models[p.model()] = at
	}
	return last
}

// addSoundRun records a sound run at this router.
func (e *evidence) addSoundRun(parts []Part, at time.Time) {
	if len(parts) == 0 {
		return
	}
	r := ownRun{slices.Clone(parts), at}
	if len(e.runs) < maxRuns {
		e.runs = append(e.runs, r)
		return
	}
	e.runs[e.nextRun] = r
	e.nextRun = (e.nextRun + 1) % maxRuns
}

// soundRunsWithout returns how many runs of the part's model at this router have been sound without the part since a time.
func (e *evidence) soundRunsWithout(p Part, since time.Time) int {
	n := 0
	for _, r := range e.runs {
		sameModel := p == p.anyModel() || r.parts[0].model() == p.model()
		if r.at.After(since) && sameModel && !Includes(r.parts, p) {
			n++
		}
	}
	return n
}

// modelSound reports whether any part of the part's model has been sound lately.
func (e *evidence) modelSound(p Part, now time.Time) bool {
	return now.Sub(e.models[p.model()]) < evidenceLifetime
}

func (e *evidence) soundRun(p Part) soundRun {
	if s, known := e.sound[p]; known {
		return s
	}
	return e.olderSound[p]
}

// soundAt returns when a part was last sound, or the zero time.
func (e *evidence) soundAt(p Part) time.Time { return e.soundRun(p).at }

// tally returns the evidence on each part of the recent crashes.
func (e *evidence) tally(now time.Time) map[Part]*suspicion {
	e.expire(now)
	out := map[Part]*suspicion{}
	for _, c := range e.crashes {
		for _, p := range c.Parts {
			for _, key := range p.keys() {
				if out[key] == nil {
					out[key] = newSuspicion(key, e.soundAt(key))
				}
				out[key].add(c)
				out[key].models[p.model()] = true
			}
		}
	}
	for p, s := range out {
		if p == p.anyModel() && len(s.models) == 1 && !s.models[p.model()] {
			// The part under its only model says as much.
			delete(out, p)
			continue
		}
		s.sum(e, now)
	}
	return out
}
