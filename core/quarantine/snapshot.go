package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Bounds of a snapshot. With them it is small enough to be passed on among the routers like any other small value of the store.
const (
	maxSnapshotCrashes      = 12
	maxSnapshotCrashParts   = 96
	maxSnapshotBreakers     = maxStanding
	maxSnapshotSound        = 24
	maxSnapshotAlternatives = 4
)

// Snapshot returns what has to outlast all routers: the breakers, and the recent crashes that none of them explains, whichever
// router has seen them. Its size is bounded.
func (q *Quarantine) Snapshot(now time.Time) Report {
	q.evidence.expire(now)
	q.forget(now)
	var r Report
	suspects := map[Part]bool{}
	for _, b := range q.newestBreakers() {
		if b.suspended || len(r.Breakers) == maxSnapshotBreakers || !b.standing() && now.Sub(b.releasedAt) >= releaseReportTime {
			continue
		}
		report := b.report(now)
		report.Alternatives = report.Alternatives[:min(len(report.Alternatives), maxSnapshotAlternatives)]
		r.Breakers = append(r.Breakers, report)
		suspects[b.part] = true
	}
	parts := 0
	for _, c := range q.unexplained() {
		if parts += len(c.Parts); parts > maxSnapshotCrashParts || len(r.Crashes) == maxSnapshotCrashes {
			break
		}
		r.Crashes = append(r.Crashes, CrashReport{Parts: c.Parts, Upstream: c.Upstream, Started: c.Started, Router: c.Router, Age: now.Sub(c.At)})
		for _, p := range c.Parts {
			suspects[p] = true
		}
	}
	for p := range suspects {
		if at := q.evidence.soundAt(p); !at.IsZero() {
			r.Sound = append(r.Sound, SoundReport{Part: p, Age: now.Sub(at)})
		}
	}
	slices.SortFunc(r.Sound, func(a, b SoundReport) int { return cmp.Or(cmp.Compare(a.Age, b.Age), comparePart(a.Part, b.Part)) })
	r.Sound = r.Sound[:min(len(r.Sound), maxSnapshotSound)]
	return r
}

// unexplained returns the recent crashes without those of parts whose breakers stand, in an order that does not depend on the
// router: which of many crashes are part of a snapshot must not differ between routers that know the same ones.
func (q *Quarantine) unexplained() []Crash {
	out := slices.DeleteFunc(slices.Clone(q.evidence.crashes), q.explained)
	slices.SortFunc(out, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(a.Started, b.Started), cmp.Compare(a.Upstream, b.Upstream), slices.Compare(a.Parts, b.Parts), cmp.Compare(a.Router, b.Router))
	})
	return out
}

// Unsaved reports whether a snapshot in the store lacks something of what is known now.
func (q *Quarantine) Unsaved(stored Report, now time.Time) bool {
	known := q.Snapshot(now)
	for _, c := range known.Crashes {
		if !slices.ContainsFunc(stored.Crashes, c.same) {
			return true
		}
	}
	for _, b := range known.Breakers {
		if !slices.ContainsFunc(stored.Breakers, b.notNewerThan) {
			return true
		}
	}
	for _, s := range stored.Breakers {
		if b := q.breakers[s.Part]; b != nil && !s.Released && !b.standing() && b.epoch >= s.Epoch {
			return true
		}
	}
	return false
}

func (c CrashReport) same(other CrashReport) bool {
	return c.Upstream == other.Upstream && c.Started == other.Started && c.Router == other.Router && slices.Equal(c.Parts, other.Parts)
}

// notNewerThan reports whether another report on the same part tells as much.
func (b BreakerReport) notNewerThan(other BreakerReport) bool {
	return b.Part == other.Part && (b.Epoch < other.Epoch || b.Epoch == other.Epoch && (other.Released || !b.Released))
}

// Aged returns the report as it reads some time later.
func (r Report) Aged(elapsed time.Duration) Report {
	out := Report{Crashes: slices.Clone(r.Crashes), Breakers: slices.Clone(r.Breakers), Sound: slices.Clone(r.Sound)}
	for i := range out.Crashes {
		out.Crashes[i].Age += elapsed
	}
	for i := range out.Breakers {
		out.Breakers[i].Age += elapsed
		out.Breakers[i].ReleasedAge += elapsed
	}
	for i := range out.Sound {
		out.Sound[i].Age += elapsed
	}
	return out
}
