package placement

import (
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// failStreak is the number of failures in a row after which an upstream is kept out: some requests fail by themselves, three
	// in a row hardly.
	failStreak = 3
	// failTime is how long it is kept out before it is tried again.
	failTime = 3 * time.Second
)

// OutlierDetector notes the upstreams that fail one request after the other, though they live and may call themselves well. It is not
// safe for concurrent use.
type OutlierDetector struct {
	streaks map[ids.VM]streak
}

type streak struct {
	failures int
	at       time.Time
}

// RecordOutcome takes the outcome of a request that an upstream has run or may have run, and tells whether it is kept out from now on.
func (f *OutlierDetector) RecordOutcome(id ids.VM, failed bool, now time.Time) bool {
	if !failed {
		delete(f.streaks, id)
		return false
	}
	n := f.streaks[id].failures + 1
	f.streaks[id] = streak{failures: n, at: now}
	return n == failStreak
}

// Ejected returns the upstreams that are better not tried at present.
func (f *OutlierDetector) Ejected(now time.Time) []ids.VM {
	var out []ids.VM
	for id := range f.streaks {
		if f.failing(id, now) {
			out = append(out, id)
		}
	}
	return out
}

func (f *OutlierDetector) failing(id ids.VM, now time.Time) bool {
	s := f.streaks[id]
	return s.failures >= failStreak && now.Sub(s.at) < failTime
}
