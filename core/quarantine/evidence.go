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
	// sound and olderSound are two generations of the parts that have been sound, so that the oldest are dropped.
	sound, olderSound map[Part]soundRun
}

// soundRun holds when a part was last sound at any router and at this one.
type soundRun struct{ at, ownAt time.Time }

// addCrash adds a crash unless it is known or too old. The time of a known one is corrected to the earliest report, since
// transport only makes reports look younger.
func (e *evidence) addCrash(c Crash, now time.Time) bool {
	e.expire(now)
	if len(c.Parts) == 0 || now.Sub(c.At) >= evidenceLifetime {
		return false
	}
	known := slices.IndexFunc(e.crashes, func(k Crash) bool {
		return k.Started == c.Started && k.Upstream == c.Upstream && k.Router == c.Router && slices.Equal(k.Parts, c.Parts)
	})
	if known >= 0 {
		if !c.At.Before(e.crashes[known].At) {
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
	return last
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
			if out[p] == nil {
				out[p] = newSuspicion(p, e.soundAt(p))
			}
			out[p].add(c)
		}
	}
	for _, s := range out {
		s.sum()
	}
	return out
}
