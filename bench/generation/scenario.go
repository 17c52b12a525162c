package generation

import (
	"math"
	"time"

	"bilberrylug.dev/core/ids"
)

// Scenario describes a site and the load on it.
type Scenario struct {
	Name    string
	Routers int
	Engines int
	Domains int
	// Slots and MemoryTokens are the limits of one engine.
	Slots        int
	MemoryTokens int
	// Rate returns the number of generations that arrive per second at a time since the start.
	Rate     func(t time.Duration) float64
	Duration time.Duration
	// UpdateInterval is the least interval of state updates between two routers.
	UpdateInterval time.Duration
	Losses         []Loss
	// Noise is the share of time in which an engine works noiseFactor times slower because of its neighbours.
	Noise float64
	// Warming describes the engines that have just come back; if it is zero, they work at their usual speed and routers do not measure it.
	Warming Warming
}

// Loss is a failure of a share of the engines of one failure domain, or of one engine.
type Loss struct {
	At     time.Duration
	Engine ids.VM
	Domain int
	Share  float64
	For    time.Duration
}

// wave returns a rate that swings around a mean.
func wave(mean float64) func(time.Duration) float64 {
	const swing, period = 0.55, 17 * time.Second
	return func(t time.Duration) float64 {
		return mean * (1 + swing*math.Sin(2*math.Pi*float64(t)/float64(period)))
	}
}

// Large is the load of the users' large site: 120 engines of 16 slots behind 33 routers, 27 long prompts a second on average.
func Large() Scenario {
	return Scenario{
		Name: "large", Routers: 33, Engines: 120, Domains: 5, Slots: 16, MemoryTokens: 55_000, Rate: wave(26.7),
		Duration: 34 * time.Second, UpdateInterval: 50 * time.Millisecond, Noise: 0.05,
	}
}

// Crest is the large site at twice its load.
func Crest() Scenario {
	s := Large()
	s.Name = "crest at 16 slots"
	s.Rate = wave(50)
	return s
}

// DomainLosses is the large site while one failure domain after the other is lost for a moment.
func DomainLosses() Scenario {
	s := Large()
	s.Name = "failure domains lost in turn"
	for i, at := range []float64{4.9, 11, 17, 24, 30} {
		s.Losses = append(s.Losses, Loss{At: time.Duration(at * float64(time.Second)), Domain: i, Share: 0.9, For: 1200 * time.Millisecond})
	}
	s.Losses = append(s.Losses,
		Loss{At: 8100 * time.Millisecond, Domain: 2, Share: 0.52, For: 1200 * time.Millisecond},
		Loss{At: 20200 * time.Millisecond, Domain: 4, Share: 0.53, For: 1200 * time.Millisecond})
	return s
}

// Small is the load of the users' first site: 24 engines behind 4 routers.
func Small() Scenario {
	return Scenario{
		Name: "small", Routers: 4, Engines: 24, Domains: 3, Slots: 64, MemoryTokens: 55_000, Rate: wave(4.9),
		Duration: 60 * time.Second, UpdateInterval: 50 * time.Millisecond, Noise: 0.05,
	}
}
