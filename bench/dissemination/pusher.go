package dissemination

import (
	"time"

	"bilberrylug.dev/bench/network"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/store"
)

const (
	// pushTimeout bounds a state update with all the changes in it.
	pushTimeout = 400 * time.Millisecond
	// pushIdleInterval is the longest time without an update.
	pushIdleInterval = 500 * time.Millisecond
	// pushFallbackDelay is how long a router may lack changes before all others send them.
	pushFallbackDelay = 700 * time.Millisecond
)

// pusher is a router of the baseline.
type pusher struct {
	*router
	alive   func() bool
	replica *mirror.Replica
	// sending holds the routers to which an update is under way, known the revision of each router, behindSince since when it
	// lacks changes.
	sending     map[int]bool
	known       map[int]store.Revision
	behindSince map[int]time.Time
	changed     bool
	nextAt      time.Time
}

func newPusher(r *router, alive func() bool) *pusher {
	r.role = mirror.NewWatcherRole(r.vm, false)
	p := &pusher{
		router: r, alive: alive, replica: mirror.NewReplica(), sending: map[int]bool{}, known: map[int]store.Revision{},
		behindSince: map[int]time.Time{},
	}
	p.tick()
	return p
}

func (p *pusher) revision() store.Revision { return p.replica.Revision() }
func (p *pusher) stateChanged()            { p.changed = true }

func (p *pusher) apply(list []store.Change, upTo store.Revision) {
	p.learn(p.replica.Apply(list, upTo), p.alive)
	p.changed = true
}

func (p *pusher) tick() {
	if !p.alive() {
		return
	}
	p.pump()
	p.After(10*time.Millisecond, p.tick)
}

func (p *pusher) pump() {
	now := p.Now()
	if now.Before(p.nextAt) && (!p.changed || now.Before(p.nextAt.Add(-pushIdleInterval))) {
		return
	}
	p.changed = false
	p.nextAt = now.Add(50*time.Millisecond*time.Duration(1+len(p.routers)/8) + pushIdleInterval)
	for i := range p.routers {
		if i != p.number && !p.sending[i] {
			p.update(i)
		}
	}
}

// sends reports whether this router sends the changes that another one lacks.
func (p *pusher) sends(to int) bool {
	if p.known[to] >= p.revision() {
		delete(p.behindSince, to)
		return false
	}
	since, behind := p.behindSince[to]
	if !behind {
		since = p.Now()
		p.behindSince[to] = since
	}
	return p.role.SendsChangesTo(p.Now())(p.routers[to].vm) || p.Now().Sub(since) > pushFallbackDelay
}

// changesFor returns the changes for another router and their size.
func (p *pusher) changesFor(to int) ([]store.Change, int) {
	if _, known := p.known[to]; !known || !p.sends(to) {
		return nil, 0
	}
	list := p.replica.ChangesSince(p.known[to])
	bytes := 0
	for _, c := range list {
		bytes += len(c.Key) + len(c.Value) + 20
	}
	return list, bytes
}

func (p *pusher) update(to int) {
	p.sending[to] = true
	list, bytes := p.changesFor(to)
	own, since := p.revision(), p.known[to]
	contact := mirror.StoreContact{Router: p.vm}
	for _, c := range p.role.Contacts(p.Now()) {
		if c.Router == p.vm {
			contact = c
		}
	}
	other := p.routers[to]
	var reply []store.Change
	var replyRevision store.Revision
	p.Call(p.host, other.host, network.Call{
		Request: updateBytes + bytes, Timeout: pushTimeout,
		Serve: func(answer func(int)) {
			peer, ok := other.protocol.(*pusher)
			if !ok {
				return
			}
			if !contact.At.IsZero() {
				peer.role.RecordPeer(contact)
			}
			peer.known[p.number] = own
			peer.receive(list, since, own)
			var bytes int
			reply, bytes = peer.changesFor(p.number)
			replyRevision = peer.revision()
			answer(30 + bytes)
		},
		Done: func(ok bool) {
			if !p.alive() {
				return
			}
			delete(p.sending, to)
			if !ok {
				p.result.Unanswered++
				return
			}
			p.known[to] = replyRevision
			p.receive(reply, own, replyRevision)
		},
	})
}

func (p *pusher) receive(list []store.Change, since, upTo store.Revision) {
	if len(list) == 0 {
		return
	}
	for _, c := range list {
		if c.Key == configKey {
			p.received[c.Modified] += len(c.Value)
		}
	}
	p.learn(p.replica.Merge(list, since, upTo), p.alive)
}
