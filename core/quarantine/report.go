package quarantine

import (
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// crashReportTime is how long a crash is reported to the other routers. It exceeds several of the longest intervals
	// between reports.
	crashReportTime = 15 * time.Second
	// releaseReportTime is how long a release is reported.
	releaseReportTime = time.Minute
	// maxReportCrashes, maxReportBreakers and maxReportSound bound a report.
	maxReportCrashes  = 16
	maxReportBreakers = 2 * maxStanding
	maxReportSound    = 32
	// maxReportAlternatives bounds the alternatives of one breaker in a report.
	maxReportAlternatives = 8
)

// Report is what a router tells the others. It contains ages and no times, since clocks differ.
type Report struct {
	// Crashes are those that the router itself has seen.
	Crashes []CrashReport
	// Breakers are those that stand, whoever opened them, and those that were released lately.
	Breakers []BreakerReport
	// Sound holds the parts under suspicion that have been sound at the router itself.
	Sound []SoundReport
}

// CrashReport reports a crash.
type CrashReport struct {
	Parts    []Part
	Upstream ids.VM
	Started  int64
	// Router is the router that has seen the crash. It is empty in a report of that router.
	Router ids.VM
	Age    time.Duration
}

// BreakerReport reports the state of a breaker.
type BreakerReport struct {
	Part    Part
	Epoch   uint32
	Age     time.Duration
	OpenFor time.Duration
	// Released is set if the breaker was released ReleasedAge ago.
	Released     bool
	ReleasedAge  time.Duration
	Crashes      int
	Alternatives []Part
}

// SoundReport reports the age of the last sound run with a part.
type SoundReport struct {
	Part Part
	Age  time.Duration
}

// IsEmpty reports whether there is nothing to report.
func (r Report) IsEmpty() bool { return len(r.Crashes)+len(r.Breakers)+len(r.Sound) == 0 }

// Report returns the report for the other routers. Its size is bounded.
func (q *Quarantine) Report(now time.Time) Report {
	q.evidence.expire(now)
	q.forget(now)
	var r Report
	suspects := map[Part]bool{}
	for _, c := range slices.Backward(q.evidence.crashes) {
		for _, p := range c.Parts {
			suspects[p] = true
		}
		age := now.Sub(c.At)
		if c.Router != q.router || c.stored || age >= crashReportTime || len(r.Crashes) >= maxReportCrashes {
			continue
		}
		r.Crashes = append(r.Crashes, CrashReport{Parts: c.Parts, Upstream: c.Upstream, Started: c.Started, Age: age})
	}
	for _, b := range q.newestBreakers() {
		suspects[b.part] = true
		lapsed := !b.standing() && now.Sub(b.releasedAt) >= releaseReportTime
		if lapsed || b.suspended || b.stored || len(r.Breakers) >= maxReportBreakers {
			continue
		}
		r.Breakers = append(r.Breakers, b.report(now))
	}
	r.Sound = q.evidence.reportSound(suspects, now)
	return r
}

// newestBreakers returns the breakers, first those that stand, and of these the newest first.
func (q *Quarantine) newestBreakers() []*breaker {
	out := q.sorted()
	slices.SortStableFunc(out, func(a, b *breaker) int {
		if a.standing() != b.standing() {
			if a.standing() {
				return -1
			}
			return 1
		}
		return b.openedAt.Compare(a.openedAt)
	})
	return out
}

func (b *breaker) report(now time.Time) BreakerReport {
	r := BreakerReport{
		Part: b.part, Epoch: b.epoch, Age: now.Sub(b.openedAt), OpenFor: b.openFor, Crashes: b.crashes,
		Alternatives: b.alternatives[:min(len(b.alternatives), maxReportAlternatives)],
	}
	if !b.standing() {
		r.Released, r.ReleasedAge = true, now.Sub(b.releasedAt)
	}
	return r
}

// reportSound returns those of the parts that have lately been sound at this router, the newest first.
func (e *evidence) reportSound(parts map[Part]bool, now time.Time) []SoundReport {
	var out []SoundReport
	for p := range parts {
		if at := e.soundRun(p).ownAt; !at.IsZero() && now.Sub(at) < evidenceLifetime {
			out = append(out, SoundReport{Part: p, Age: now.Sub(at)})
		}
	}
	slices.SortFunc(out, func(a, b SoundReport) int {
		if a.Age != b.Age {
			return int(a.Age - b.Age)
		}
		return comparePart(a.Part, b.Part)
	})
	return out[:min(len(out), maxReportSound)]
}
