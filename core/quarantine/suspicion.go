package quarantine

import (
	"cmp"
	"maps"
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

// suspicion is the evidence on a part.
type suspicion struct {
	part    Part
	soundAt time.Time
	// crashes are the incarnations that have crashed under the part since its last sound run, earlier those before it.
	crashes, earlier map[incarnation]time.Time
	routers          []ids.VM
	// models are those under which upstreams have crashed.
	models          map[modelHash]bool
	firstAt, lastAt time.Time
	// incidents is the number of incidents since the last sound run. Count is their weight, total that of all.
	incidents, count, total int
	// alternatives are the parts that explain the crashes as well.
	alternatives []Part
}

func newSuspicion(p Part, soundAt time.Time) *suspicion {
	return &suspicion{part: p, soundAt: soundAt, crashes: map[incarnation]time.Time{}, models: map[modelHash]bool{}}
}

// add adds a crash that is not earlier than those added before.
func (s *suspicion) add(c Crash) {
	key := incarnation{c.Upstream, c.Started}
	if !c.At.After(s.soundAt) {
		if s.earlier == nil {
			s.earlier = map[incarnation]time.Time{}
		}
		addFirst(s.earlier, key, c.At)
		return
	}
	addFirst(s.crashes, key, c.At)
	if !slices.Contains(s.routers, c.Router) {
		s.routers = append(s.routers, c.Router)
	}
	if s.firstAt.IsZero() {
		s.firstAt = c.At
	}
	s.lastAt = c.At
}

func addFirst(times map[incarnation]time.Time, key incarnation, at time.Time) {
	if _, known := times[key]; !known {
		times[key] = at
	}
}

// sum weighs the incidents.
func (s *suspicion) sum(e *evidence, now time.Time) {
	s.incidents = incidents(s.crashes, nil, s.incidentTime())
	s.count = max(s.incidents, s.batchWeight(e, now))
	s.total = s.count
	if s.everSound() {
		all := maps.Clone(s.crashes)
		for key, at := range s.earlier {
			all[key] = at
		}
		s.total = incidents(all, nil, incidentTime)
	}
}

func (s *suspicion) everSound() bool { return !s.soundAt.IsZero() }

func (s *suspicion) threshold() int {
	if s.everSound() {
		return soundCrashThreshold
	}
	return crashThreshold
}

func (s *suspicion) incidentTime() time.Duration {
	if s.everSound() {
		return soundIncidentTime
	}
	return incidentTime
}

// explains reports whether s accounts for the crashes of other but for coincidences.
func (s *suspicion) explains(other *suspicion) bool {
	return incidents(other.crashes, s.crashes, other.incidentTime()) <= coincidences
}

// incidents returns the number of incidents among the crashes, without those in except.
func incidents(crashes, except map[incarnation]time.Time, window time.Duration) int {
	return len(group(crashes, except, window))
}

// incident is a number of upstreams that have crashed together.
type incident struct {
	firstAt   time.Time
	upstreams int
}

// group returns the incidents among the crashes, without those in except, in the order of their times.
func group(crashes, except map[incarnation]time.Time, window time.Duration) []incident {
	times := make([]time.Time, 0, len(crashes))
	for key, at := range crashes {
		if _, explained := except[key]; !explained {
			times = append(times, at)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	var out []incident
	for _, at := range times {
		if n := len(out); n > 0 && at.Sub(out[n-1].firstAt) <= window {
			out[n-1].upstreams++
			continue
		}
		out = append(out, incident{at, 1})
	}
	return out
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
	var kept []*suspicion
	for _, s := range byWeight(suspects) {
		alternatives, explained := s.alternativesAmong(kept)
		if explained || len(kept) == maxBreakers {
			continue
		}
		for _, other := range alternatives {
			s.alternatives = append(s.alternatives, other.part)
			other.alternatives = append(other.alternatives, s.part)
		}
		kept = append(kept, s)
		out[s.part] = s
	}
	return out
}

// alternativesAmong returns those of the suspects, which have no less against them, that explain the crashes of s as well as
// s explains theirs, or that one explains them better.
func (s *suspicion) alternativesAmong(suspects []*suspicion) (alternatives []*suspicion, explained bool) {
	for _, other := range suspects {
		if !other.explains(s) {
			continue
		}
		if other.everSound() != s.everSound() || !s.explains(other) {
			return nil, true
		}
		alternatives = append(alternatives, other)
	}
	return alternatives, false
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
