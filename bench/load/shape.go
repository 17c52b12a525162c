// Package load drives a deployment in one process through a load shape and records what callers see.
//
// Engines, agents' queues and routers' pickers are the real decision code; time is simulated, so that a minute of load at
// the size of a deployment takes a second and every run gives the same figures.
//
// # Usage
//
//	result := load.Run(load.Mandi(), load.Crest(), load.Predicted)
package load

import "time"

// Deployment is a site's size.
type Deployment struct {
	Name        string
	Routers     int
	Upstreams   int
	Slots       int
	Cadence     time.Duration
	Prefill     time.Duration
	OneWayDelay time.Duration
	ReportDelay time.Duration
}

// Mandi is the auction house's model service at its size of today.
func Mandi() Deployment {
	return Deployment{"mandi", 3, 24, 16, 30 * time.Millisecond, 120 * time.Millisecond, 500 * time.Microsecond, 2 * time.Second}
}

// Fondazione is the residencies' model service at its size of today.
func Fondazione() Deployment {
	return Deployment{"fondazione", 3, 36, 16, 30 * time.Millisecond, 120 * time.Millisecond, 1500 * time.Microsecond, 2 * time.Second}
}

// Shape is a load over time.
type Shape struct {
	Name     string
	Duration time.Duration
	// BaseRate and Peak are requests a second; the peak lasts from PeakFrom to PeakTo.
	BaseRate, PeakRate float64
	PeakFrom, PeakTo   time.Duration
	ShortTokens        int
	LongTokens         int
	LongShare          float64
	StragglerShare     float64
	StragglerTokens    int
	// SlowUpstreams are slowed by SlowFactor from SlowFrom to SlowTo.
	SlowUpstreams    int
	SlowFactor       float64
	SlowFrom, SlowTo time.Duration
	Workspaces       int
	// Prompts is the number of different prompt prefixes; zero means that none is shared.
	Prompts  int
	Deadline time.Duration
}

// Crest is a swing to several times the base within a second.
func Crest() Shape {
	return Shape{
		Name: "crest", Duration: 60 * time.Second, BaseRate: 30, PeakRate: 160, PeakFrom: 20 * time.Second, PeakTo: 35 * time.Second,
		ShortTokens: 40, LongTokens: 300, LongShare: 0.2, Workspaces: 10, Deadline: 5 * time.Second,
	}
}

// Stragglers is short work beside a few jobs many times longer.
func Stragglers() Shape {
	return Shape{
		Name: "stragglers", Duration: 60 * time.Second, BaseRate: 60, PeakRate: 60, ShortTokens: 30, LongTokens: 300, LongShare: 0.15,
		StragglerShare: 0.02, StragglerTokens: 3000, Workspaces: 10, Deadline: 5 * time.Second,
	}
}

// ShortOnly is the short work of the stragglers' shape alone.
func ShortOnly() Shape {
	s := Stragglers()
	s.Name = "short_only"
	s.BaseRate *= 1 - s.LongShare - s.StragglerShare
	s.PeakRate = s.BaseRate
	s.LongShare, s.StragglerShare = 0, 0
	return s
}

// Slowed is a steady load while a sixth of the upstreams is slowed.
func Slowed() Shape {
	return Shape{
		Name: "slowed", Duration: 60 * time.Second, BaseRate: 50, PeakRate: 50, ShortTokens: 40, LongTokens: 200, LongShare: 0.2,
		SlowUpstreams: 4, SlowFactor: 8, SlowFrom: 20 * time.Second, SlowTo: 40 * time.Second, Workspaces: 10, Deadline: 5 * time.Second,
	}
}

// Unslowed is the slowed shape without its fault.
func Unslowed() Shape {
	s := Slowed()
	s.Name = "unslowed"
	s.SlowUpstreams = 0
	return s
}

// Prefixes is a steady load of few different prompts.
func Prefixes() Shape {
	s := Unslowed()
	s.Name = "prefixes"
	s.Prompts = 200
	return s
}
