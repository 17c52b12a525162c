package pace

import (
	"cmp"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// endReportTime is how long the end of a window is reported. It exceeds the longest interval of state updates.
	endReportTime = 4 * time.Second
	// maxReportedSize bounds the sizes that are taken from reports.
	maxReportedSize = 1 << 20
)

// endedWindow is a window that has ended.
type endedWindow struct {
	start Start
	epoch int
	at    time.Time
}

// Report is the state of a window as one router tells it to another.
type Report struct {
	Start
	// Epoch counts the decreases and repeated beginnings of the window, Base is its size at the last one.
	Epoch int
	Base  float64
	// Gained is what the reporting router's own answers have added to the size since then.
	Gained float64
	// Established is set if the window has ended.
	Established bool
}

// valid reports whether the sizes may be those of a window.
func (r Report) valid() bool {
	return r.Base >= minSize && r.Base <= maxReportedSize && r.Gained >= 0 && r.Gained <= maxReportedSize
}

// Reports returns the windows and the ends of windows for the other routers. A window in which nothing has happened is left out: at the
// start of a site all upstreams have one.
func (t *Tracker) Reports(now time.Time) []Report {
	var out []Report
	for _, w := range t.windows {
		if w.epoch == 0 && w.gained == 0 {
			continue
		}
		out = append(out, Report{Start: w.start, Epoch: w.epoch, Base: w.base, Gained: w.gained})
	}
	for id, e := range t.ended {
		if now.Sub(e.at) > endReportTime {
			delete(t.ended, id)
			continue
		}
		out = append(out, Report{Start: e.start, Epoch: e.epoch, Established: true})
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Started, b.Started)) })
	return out
}

// Merge applies the reports of another router to the windows of this one, and returns the windows that have ended. A report of an earlier
// epoch is out of date. Of two routers that enter an epoch at once, the smaller base counts; that of a new window is each router's own.
func (t *Tracker) Merge(router ids.VM, list []Report, now time.Time) []Change {
	var out []Change
	for _, r := range list {
		w := t.get(r.Start)
		if w == nil || r.Epoch < w.epoch {
			continue
		}
		if r.Established {
			out = append(out, t.end(w, "established at another router", 0, now))
			continue
		}
		if !r.valid() {
			continue
		}
		if r.Epoch > w.epoch {
			w.reset(r.Epoch, r.Base, now)
		}
		if w.epoch > 0 {
			w.base = min(w.base, r.Base)
		}
		w.peers[router] = max(w.peers[router], r.Gained)
	}
	return out
}
