package quarantine

import (
	"cmp"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
)

// incidentTime is the time within which upstreams that crash together count as one incident: a loss of many upstreams for
// another cause is no evidence against the parts of all their runs. For parts that were sound before it is
// soundIncidentTime.
const (
	incidentTime      = 250 * time.Millisecond
	soundIncidentTime = time.Second
)

// suspicion is the evidence against a part.
type suspicion struct {
	part    Part
	soundAt time.Time
	crashes map[incarnation]time.Time
	routers []ids.VM
	lastAt  time.Time
	// count is the number of incidents.
	count int
	// alternatives are the parts that explain the crashes as well.
	alternatives []Part
}

// add adds a crash later than those added before.
func (s *suspicion) add(c Crash) {
	key := incarnation{c.Upstream, c.Started}
	if _, known := s.crashes[key]; !known {
		s.crashes[key] = c.At
	}
	if !slices.Contains(s.routers, c.Router) {
		s.routers = append(s.routers, c.Router)
	}
	s.lastAt = c.At
}

func (s *suspicion) threshold() int {
	if s.everSound() {
		return soundCrashThreshold
	}
	return crashThreshold
}

func (s *suspicion) everSound() bool { return !s.soundAt.IsZero() }

// explains reports whether s accounts for the crashes of other but for coincidences.
func (s *suspicion) explains(other *suspicion) bool {
	return other.incidents(s.crashes) <= coincidences
}

// incidents returns the number of incidents among the crashes, without those in except.
func (s *suspicion) incidents(except map[incarnation]time.Time) int {
	times := make([]time.Time, 0, len(s.crashes))
	for key, at := range s.crashes {
		if _, explained := except[key]; !explained {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	window := incidentTime
	if s.everSound() {
		window = soundIncidentTime
	}
	n := 0
	var first time.Time
	for _, at := range times {
		if n == 0 || at.Sub(first) > window {
			n++
			first = at
		}
	}
	return n
}

// blame returns the parts that must be considered the cause of crashes, each with the others that explain its crashes as
// well. A part is left out if another one explains its crashes and has more against it.
func blame(tally map[Part]*suspicion) map[Part]*suspicion {
	suspects := map[Part]*suspicion{}
	for p, s := range tally {
		if s.count >= s.threshold() {
			suspects[p] = s
		}
	}
	out := map[Part]*suspicion{}
	for _, s := range byWeight(suspects) {
		var alternatives []Part
		explained := false
		for _, other := range byWeight(out) {
			if !other.explains(s) {
				continue
			}
			if other.everSound() != s.everSound() || !s.explains(other) {
				explained = true
				break
			}
			alternatives = append(alternatives, other.part)
		}
		if explained {
			continue
		}
		s.alternatives = alternatives
		for _, p := range alternatives {
			out[p].alternatives = append(out[p].alternatives, s.part)
		}
		out[s.part] = s
	}
	return out
}

// byWeight returns the suspects in a fixed order: first those that have never been sound, then by the number of incidents.
func byWeight(suspects map[Part]*suspicion) []*suspicion {
	out := make([]*suspicion, 0, len(suspects))
	for _, s := range suspects {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b *suspicion) int {
		if a.everSound() != b.everSound() {
			if a.everSound() {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.count, a.count), cmp.Compare(a.part, b.part))
	})
	return out
}
