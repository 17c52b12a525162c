// Package load simulates a deployment under a load shape in one process and records what callers observe.
//
// The agents' queues and the routers' pickers are the production code; engines and time are simulated, so that a minute of
// load at the size of a deployment takes a second and runs are reproducible.
//
// # Usage
//
//	result := load.Run(load.Mandi(), load.Crest(), load.Predicted, 1)
package load

import "time"

// Deployment describes the size and the latencies of a site. Slots is the number of slots of each upstream, Cadence is the
// time between the tokens of a stream without load, Prefill is the prefill time of a prompt whose prefix is not cached, and
// OneWayDelay is the network delay in one direction.
type Deployment struct {
	Name        string
	Routers     int
	Upstreams   int
	Slots       int
	Cadence     time.Duration
	Prefill     time.Duration
	OneWayDelay time.Duration
	// ReportDelay is not used by the simulation, whose upstreams report their load every reportInterval.
	ReportDelay time.Duration
}

// Mandi returns the deployment of the auction house's model service at its current size.
func Mandi() Deployment {
	return Deployment{"mandi", 3, 24, 16, 30 * time.Millisecond, 120 * time.Millisecond, 500 * time.Microsecond, 2 * time.Second}
}

// Fondazione returns the deployment of the residencies' model service at its current size.
func Fondazione() Deployment {
	return Deployment{"fondazione", 3, 36, 16, 30 * time.Millisecond, 120 * time.Millisecond, 1500 * time.Microsecond, 2 * time.Second}
}

// Shape describes a load over time.
type Shape struct {
	Name     string
	Duration time.Duration
	// BaseRate and PeakRate are rates in requests per second; the peak lasts from PeakFrom to PeakTo.
	BaseRate, PeakRate float64
	PeakFrom, PeakTo   time.Duration
	// LongShare and StragglerShare are the shares of long requests and stragglers; all others are short. ShortTokens,
	// LongTokens and StragglerTokens are the lengths of their answers.
	ShortTokens     int
	LongTokens      int
	LongShare       float64
	StragglerShare  float64
	StragglerTokens int
	// SlowUpstreams are slowed by SlowFactor from SlowFrom to SlowTo.
	SlowUpstreams    int
	SlowFactor       float64
	SlowFrom, SlowTo time.Duration
	Workspaces       int
	// Prompts is the number of distinct prompt prefixes; if zero, requests share no prefix.
	Prompts int
	// Deadline is how long a request may wait before it starts.
	Deadline time.Duration
}

// Crest returns a shape whose rate jumps to several times the base rate within a second.
func Crest() Shape {
	return Shape{
		Name: "crest", Duration: 60 * time.Second, BaseRate: 30, PeakRate: 160, PeakFrom: 20 * time.Second, PeakTo: 35 * time.Second,
		ShortTokens: 40, LongTokens: 300, LongShare: 0.2, Workspaces: 10, Deadline: 5 * time.Second,
	}
}

// Stragglers returns a shape of short work mixed with a few jobs that are many times longer.
func Stragglers() Shape {
	return Shape{
		Name: "stragglers", Duration: 60 * time.Second, BaseRate: 60, PeakRate: 60, ShortTokens: 30, LongTokens: 300, LongShare: 0.15,
		StragglerShare: 0.02, StragglerTokens: 3000, Workspaces: 10, Deadline: 5 * time.Second,
	}
}

// ShortOnly returns the short work of Stragglers without its other jobs.
func ShortOnly() Shape {
	s := Stragglers()
	s.Name = "short_only"
	s.BaseRate *= 1 - s.LongShare - s.StragglerShare
	s.PeakRate = s.BaseRate
	s.LongShare, s.StragglerShare = 0, 0
	return s
}

// Slowed returns a steady load during which four upstreams, a sixth of Mandi's, are slowed.
func Slowed() Shape {
	return Shape{
		Name: "slowed", Duration: 60 * time.Second, BaseRate: 50, PeakRate: 50, ShortTokens: 40, LongTokens: 200, LongShare: 0.2,
		SlowUpstreams: 4, SlowFactor: 8, SlowFrom: 20 * time.Second, SlowTo: 40 * time.Second, Workspaces: 10, Deadline: 5 * time.Second,
	}
}

// Unslowed returns Slowed without slowed upstreams.
func Unslowed() Shape {
	s := Slowed()
	s.Name = "unslowed"
	s.SlowUpstreams = 0
	return s
}

// Prefixes returns a steady load with few distinct prompt prefixes.
func Prefixes() Shape {
	s := Unslowed()
	s.Name = "prefixes"
	s.Prompts = 200
	return s
}
