package dissemination

import (
	"slices"
	"time"

	"bilberrylug.dev/bench/network"
	"bilberrylug.dev/core/store"
)

// Version is one version of the configuration.
type Version struct {
	Revision store.Revision
	Bytes    int
	Written  time.Duration
	// Slowest is the longest time until a router had this version or a newer one active, Median the median over the routers.
	// Missing is the number of routers that never had.
	Slowest, Median time.Duration
	Missing         int
}

// Result is the outcome of a run. Bytes are those of the messages between routers and to the store, in both directions, and
// exclude the events of streams.
type Result struct {
	Scenario string
	Policy   Policy
	Routers  int
	Versions []Version
	// MeanBytes and MaxBytes are the bytes a second that a router sends and receives, RemoteBytes those that a router sends to
	// other failure domains.
	MeanBytes, MaxBytes, RemoteBytes float64
	// MaxBusyShare is the highest share of its link that a router used in one direction within a second.
	MaxBusyShare float64
	// LastActive is when a router last activated a configuration.
	LastActive time.Duration
	// CPUShare is the highest share of its part of a core that messages took at a router.
	CPUShare float64
	// MaxQueue is the longest time for which a message waited for a link.
	MaxQueue time.Duration
	// Events counts the events of streams, LateEvents the late ones.
	Events, LateEvents int
	// MostReceived is the highest ratio of the bytes of a value that a router has received from other routers, between two
	// restarts, to the size of the value.
	MostReceived float64
	// Unanswered counts the messages between routers that were not answered in time.
	Unanswered int
}

// Slowest returns the longest time until a version was active everywhere, or the duration of the run if one never was.
func (r *Result) Slowest() time.Duration {
	var out time.Duration
	for _, v := range r.Versions {
		out = max(out, v.Slowest)
	}
	return out
}

func (r *Result) summarize(s *simulation) {
	for i := range r.Versions {
		v := &r.Versions[i]
		var times []time.Duration
		for _, router := range s.routers {
			at, active := router.activeAt(v.Revision)
			if !active {
				v.Missing++
				at = s.scenario.Duration
			}
			times = append(times, at-v.Written)
		}
		slices.Sort(times)
		v.Slowest = times[len(times)-1]
		v.Median = times[len(times)/2]
	}
	seconds := s.scenario.Duration.Seconds()
	for _, router := range s.routers {
		h := router.host
		events := 0
		if s.scenario.Streams {
			events = int(seconds/eventInterval.Seconds()) * (eventBytes + network.FramingBytes)
		}
		total := float64(h.Sent+h.Received-events) / seconds
		r.MeanBytes += total / float64(len(s.routers))
		r.MaxBytes = max(r.MaxBytes, total)
		r.RemoteBytes += float64(h.Remote-events) / seconds / float64(len(s.routers))
		for _, at := range router.activated {
			r.LastActive = max(r.LastActive, at)
		}
		r.CPUShare = max(r.CPUShare, h.CPUTime.Seconds()/seconds/h.CPUShare)
		r.MaxQueue = max(r.MaxQueue, h.MaxQueue)
		router.countReceived()
	}
}

// countReceived updates the highest ratio of received bytes to the size of a value.
func (r *router) countReceived() {
	for revision, bytes := range r.received {
		r.result.MostReceived = max(r.result.MostReceived, float64(bytes)/float64(r.valueBytes(revision)))
	}
}

// activeAt returns when a router first had a revision or a newer one active.
func (r *router) activeAt(revision store.Revision) (time.Duration, bool) {
	var first time.Duration
	found := false
	for active, at := range r.activated {
		if active >= revision && (!found || at < first) {
			first, found = at, true
		}
	}
	return first, found
}

func (s *simulation) valueBytes(revision store.Revision) int {
	for _, c := range s.history {
		if c.Modified == revision {
			return len(c.Value)
		}
	}
	return 1
}
