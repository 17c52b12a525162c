package quarantine_test

import (
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/quarantine"
)

// partPolicy is the package under test at each router of a fleet whose clocks differ by hours.
type partPolicy struct {
	routers []*quarantine.Quarantine
	changes []quarantine.Change
	// stored is the snapshot in the store, storedAt when it was written.
	stored   quarantine.Report
	storedAt time.Time
	// settledAt is when the routers last looked at what has settled.
	settledAt time.Time
}

// settleInterval is the time between two looks.
const settleInterval = 200 * time.Millisecond

// savePause is the least time between two writes.
const savePause = time.Second

// save lets the first router that knows of something that the store lacks write it.
func (p *partPolicy) save(now time.Time) {
	if now.Sub(p.settledAt) >= settleInterval {
		p.settledAt = now
		for i, q := range p.routers {
			p.changes = append(p.changes, q.Settle(clockOf(i, now))...)
		}
	}
	if now.Sub(p.storedAt) < savePause {
		return
	}
	for i, q := range p.routers {
		if at := clockOf(i, now); q.Unsaved(p.stored, at) {
			p.stored, p.storedAt = q.Snapshot(at), now
			return
		}
	}
}

func (p *partPolicy) restart(now time.Time) {
	p.routers = newPartPolicy(len(p.routers)).routers
	for i, q := range p.routers {
		p.changes = append(p.changes, q.MergeStored(p.stored.Aged(now.Sub(p.storedAt)), clockOf(i, now))...)
	}
}

func newPartPolicy(routers int) *partPolicy {
	p := &partPolicy{}
	for i := range routers {
		p.routers = append(p.routers, quarantine.New(routerID(i)))
	}
	return p
}

func clockOf(router int, now time.Time) time.Time { return now.Add(time.Duration(router) * time.Hour) }

func (p *partPolicy) allow(router int, r prompt, now time.Time) bool {
	return p.routers[router].Check(r.request, r.parts, clockOf(router, now)).Allowed
}

func (p *partPolicy) recordCrash(router int, r prompt, engine ids.VM, now time.Time) {
	p.changes = append(p.changes, p.routers[router].RecordCrash(quarantine.Crash{
		Request: r.request, Parts: r.parts, Upstream: engine, At: clockOf(router, now),
	})...)
}

func (p *partPolicy) recordSound(router int, r prompt, now time.Time) {
	p.changes = append(p.changes, p.routers[router].RecordSound(r.parts, clockOf(router, now))...)
	p.routers[router].EndTrial(r.request)
}

func (p *partPolicy) report(router int, now time.Time) any {
	return p.routers[router].Report(clockOf(router, now))
}

func (p *partPolicy) merge(from, to int, report any, now time.Time) {
	p.changes = append(p.changes, p.routers[to].Merge(routerID(from), report.(quarantine.Report), clockOf(to, now))...)
}

// noPolicy sends each prompt to engines.
type noPolicy struct{}

func (noPolicy) allow(int, prompt, time.Time) bool          { return true }
func (noPolicy) recordCrash(int, prompt, ids.VM, time.Time) {}
func (noPolicy) recordSound(int, prompt, time.Time)         {}
func (noPolicy) save(time.Time)                             {}
func (noPolicy) restart(time.Time)                          {}
func (noPolicy) report(int, time.Time) any                  { return nil }
func (noPolicy) merge(int, int, any, time.Time)             {}

// callerPolicy refuses the requests of a caller after three crashes under them, known at once to all routers.
type callerPolicy struct {
	noPolicy
	crashes map[int]int
}

func (p callerPolicy) allow(_ int, r prompt, _ time.Time) bool { return p.crashes[r.caller] < 3 }

func (p callerPolicy) recordCrash(_ int, r prompt, _ ids.VM, _ time.Time) { p.crashes[r.caller]++ }
