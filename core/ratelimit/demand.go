package ratelimit

import (
	"maps"
	"math"
	"time"

	"bilberrylug.dev/core/ids"
)

const (
	// demandTime is the time constant of the mean over which demand is measured.
	demandTime = 2 * time.Second
	// minDemand is the demand that each router that is present counts with at least, so that a request that comes after a pause need not
	// wait until the demand of its router is known.
	minDemand Rate = 0.05
	// deadband is the relative change of the demand below which the last announcement is repeated, so that all routers count with the
	// same value while the demand is steady.
	deadband = 0.25
)

// meter measures the rate of requests with an exponentially decaying mean.
type meter struct {
	rate Rate
	at   time.Time
}

func (m *meter) record(now time.Time) {
	m.rate = m.current(now) + Rate(1/demandTime.Seconds())
	m.at = now
}

func (m *meter) current(now time.Time) Rate {
	return m.rate * Rate(math.Exp(-now.Sub(m.at).Seconds()/demandTime.Seconds()))
}

// serviceDemand is the demand for a service at each router.
type serviceDemand struct {
	own           meter
	lastAnnounced Rate
	// announced is what this router has told the others, peers what they have told it.
	announced announcements
	peers     map[ids.VM]*announcements
}

func (l *Limiter) demand(s ids.Service) *serviceDemand {
	d, known := l.services[s]
	if !known {
		d = &serviceDemand{peers: map[ids.VM]*announcements{}}
		l.services[s] = d
	}
	return d
}

// RecordRequest records a request of a caller for a service.
func (l *Limiter) RecordRequest(s ids.Service, now time.Time) { l.demand(s).own.record(now) }

// Announce returns the demand for a service at this router, for a state update that is sent now.
func (l *Limiter) Announce(s ids.Service, now time.Time) Rate {
	d := l.demand(s)
	current := d.own.current(now)
	if math.Abs(float64(current-d.lastAnnounced)) > deadband*float64(d.lastAnnounced) {
		d.lastAnnounced = current
	}
	d.announced.add(d.lastAnnounced, now)
	return d.lastAnnounced
}

// MergeDemand records the demand for a service that another router has announced.
func (l *Limiter) MergeDemand(router ids.VM, s ids.Service, demand Rate, now time.Time) {
	if math.IsNaN(float64(demand)) || demand < 0 {
		return
	}
	d := l.demand(s)
	a, known := d.peers[router]
	if !known {
		a = &announcements{}
		d.peers[router] = a
	}
	a.add(demand, now)
}

// SetPeers tells which other routers are present, and the longest interval at which they receive state updates of this one.
func (l *Limiter) SetPeers(present []ids.VM, interval time.Duration) {
	l.interval = interval
	clear(l.present)
	for _, vm := range present {
		l.present[vm] = true
	}
	for _, d := range l.services {
		maps.DeleteFunc(d.peers, func(vm ids.VM, _ *announcements) bool { return !l.present[vm] })
	}
}

// Unseen returns about how many requests for a service the other routers take between two of their state updates.
func (l *Limiter) Unseen(s ids.Service) float64 {
	d, known := l.services[s]
	if !known {
		return 0
	}
	sum := Rate(0)
	for _, a := range d.peers {
		sum += a.latest()
	}
	return float64(sum) * l.interval.Seconds()
}

// sharer is a router that shares a limit, with its demand.
type sharer struct {
	router ids.VM
	demand Rate
}

// sharers returns the routers that are present with their demand for a service, this one first. Its own demand counts as far as all others
// have been told of it, and theirs as far as they may rely on this router to know it: the sum of the shares that all routers take is then
// never above one, although each one knows the others' demand only as it was some time ago.
func (l *Limiter) sharers(s ids.Service, now time.Time) []sharer {
	d := l.demand(s)
	since := now.Add(-l.interval)
	own := d.announced.least(since)
	if len(l.present) == 0 {
		own = d.own.current(now)
	}
	out := append(make([]sharer, 0, len(l.present)+1), sharer{l.self, max(minDemand, own)})
	for vm := range l.present {
		demand := minDemand
		if a, known := d.peers[vm]; known {
			demand = max(demand, a.least(since))
		}
		out = append(out, sharer{vm, demand})
	}
	return out
}
