package placement

import (
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// ejectAfter is the number of consecutive failures after which an upstream is ejected. Some requests fail through no
	// fault of the upstream, but rarely three in a row.
	ejectAfter = 3
	// ejectionTime is how long an upstream stays ejected after its last failure; then it is tried again.
	ejectionTime = 3 * time.Second
)

// OutlierDetector ejects upstreams that fail several requests in a row, even if they are reachable and report themselves
// healthy. It is not safe for concurrent use.
type OutlierDetector struct {
	streaks map[ids.VM]streak
}

type streak struct {
	failures int
	at       time.Time
}

// RecordOutcome records the outcome of a request that an upstream has run or may have run, and reports whether this ejects
// the upstream.
func (d *OutlierDetector) RecordOutcome(id ids.VM, failed bool, now time.Time) bool {
	if !failed {
		delete(d.streaks, id)
		return false
	}
	n := d.streaks[id].failures + 1
	d.streaks[id] = streak{failures: n, at: now}
	return n == ejectAfter
}

// Ejected returns the upstreams that are ejected at present.
func (d *OutlierDetector) Ejected(now time.Time) []ids.VM {
	var out []ids.VM
	for id := range d.streaks {
		if d.isEjected(id, now) {
			out = append(out, id)
		}
	}
	return out
}

func (d *OutlierDetector) isEjected(id ids.VM, now time.Time) bool {
	s := d.streaks[id]
	return s.failures >= ejectAfter && now.Sub(s.at) < ejectionTime
}
