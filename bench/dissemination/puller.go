package dissemination

import (
	"time"

	"bilberrylug.dev/bench/network"
	"bilberrylug.dev/core/delta"
	"bilberrylug.dev/core/dissemination"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/store"
)

const (
	// updateTimeout bounds a state update.
	updateTimeout = time.Second
	// decodeTimePerKB is the processor time that the decoding of a fetched value takes.
	decodeTimePerKB = time.Microsecond
	// pumpInterval is the longest time between two looks at what is due.
	pumpInterval = 50 * time.Millisecond
)

// puller is a router of the production code.
type puller struct {
	*router
	alive func() bool
	node  *dissemination.Node
}

func newPuller(r *router, alive func() bool) *puller {
	o := dissemination.Options{
		Self: r.vm, Domain: domainName(r.host), ValueKey: configKey,
		Link: dissemination.BytesPerSecond(r.host.Link), CPUShare: r.host.CPUShare,
		SendsChangesTo: func(now time.Time) func(ids.VM) bool { return r.role.SendsChangesTo(now) },
	}
	r.role = mirror.NewWatcherRole(r.vm, o.Narrow())
	p := &puller{router: r, alive: alive, node: dissemination.New(o)}
	for _, other := range r.routers {
		p.node.SetListed(other.vm, string(other.vm))
	}
	p.tick()
	return p
}

func domainName(h *network.Host) ids.FailureDomain { return ids.FailureDomain(rune('a' + h.Domain)) }

func (p *puller) revision() store.Revision { return p.node.Revision() }
func (p *puller) stateChanged()            { p.node.StateChanged(p.Now()) }

func (p *puller) apply(list []store.Change, upTo store.Revision) {
	p.learn(p.node.Apply(list, upTo), p.alive)
}

// tick looks at what is due from time to time.
func (p *puller) tick() {
	if !p.alive() {
		return
	}
	p.pump()
	p.After(pumpInterval, p.tick)
}

func (p *puller) pump() {
	for _, u := range p.node.Updates(p.Now()) {
		p.update(u)
	}
	if pull, ok := p.node.NextPull(p.Now()); ok {
		p.pull(pull)
	}
	if f, ok := p.node.NextFetch(p.Now()); ok {
		p.fetch(f)
	}
}

// call sends a request to another router; serve returns the size of the reply.
func (p *puller) call(to ids.VM, bytes int, timeout time.Duration, serve func(other *puller, reply func(bytes int)), done func(ok bool)) {
	other := p.byVM[to]
	p.Call(p.host, other.host, network.Call{
		Request: bytes, Timeout: timeout,
		Serve: func(reply func(bytes int)) {
			if peer, ok := other.protocol.(*puller); ok {
				serve(peer, reply)
			}
		},
		Done: func(ok bool) {
			if !ok {
				p.result.Unanswered++
			}
			if p.alive() {
				done(ok)
				p.pump()
			}
		},
	})
}

func deltaBytes(d *mirror.Delta) int {
	n := 0
	if d != nil {
		for _, c := range d.List {
			n += len(c.Key) + len(c.Value) + 20
		}
	}
	return n
}

func (p *puller) update(u dissemination.Update) {
	status := p.node.Status()
	contacts := p.role.Contacts(p.Now())
	var reply dissemination.Status
	p.call(u.To, updateBytes+deltaBytes(u.Delta)+25*len(contacts), updateTimeout, func(other *puller, answer func(int)) {
		for _, c := range contacts {
			other.role.RecordPeer(c)
		}
		other.learn(other.node.Receive(p.vm, string(p.vm), status, u.Delta, other.Now()), other.alive)
		reply = other.node.Status()
		other.pump()
		answer(30)
	}, func(ok bool) {
		if ok {
			p.node.UpdateDone(u.To, &reply, p.Now())
		} else {
			p.node.UpdateDone(u.To, nil, p.Now())
		}
	})
}

func (p *puller) pull(req dissemination.Pull) {
	var page dissemination.Page
	p.call(req.From, 40, req.Timeout, func(other *puller, answer func(int)) {
		page = other.node.ServePull(req.Since, req.Snapshot, other.Now())
		answer(40 + deltaBytes(&page.Delta))
	}, func(ok bool) {
		reply := &page
		if !ok {
			reply = nil
		}
		p.learn(p.node.PullDone(req.From, reply, p.Now()), p.alive)
	})
}

func (p *puller) fetch(f dissemination.Fetch) {
	if f.From == "" {
		p.readStore()
		return
	}
	var chunk dissemination.Chunk
	sent := p.Now()
	p.call(f.From, 60, f.Timeout, func(other *puller, answer func(int)) {
		chunk = other.node.ServeFetch(f.ChunkRequest, other.Now()).Chunk()
		answer(60 + len(chunk.Data))
	}, func(ok bool) {
		reply := &chunk
		if !ok {
			reply = nil
		} else {
			p.received[chunk.Revision] += len(chunk.Data)
		}
		if whole, done := p.node.FetchDone(f, reply, p.Now().Sub(sent), p.Now()); done {
			p.decode(f.From, whole)
		}
	})
}

// decode decodes a fetched value. The slice of the store's history is kept, so that the routers share its memory.
func (p *puller) decode(from ids.VM, c *dissemination.Chunk) {
	p.Work(p.host, time.Duration(c.Size/1024)*decodeTimePerKB, func() {
		if !p.alive() {
			return
		}
		for _, h := range p.history {
			if h.Modified == c.Revision && h.Key == configKey && c.Size == len(h.Value) && c.Format <= delta.Zstd {
				p.learn(p.node.Resolve(h.Item), p.alive)
				p.pump()
				return
			}
		}
		p.node.FetchFailed(from, p.Now())
	})
}

// readStore reads the value from the store.
func (p *puller) readStore() {
	var item store.Item
	p.Call(p.host, p.store, network.Call{
		Request: 150, Timeout: 2 * time.Second,
		Serve: func(reply func(bytes int)) {
			for _, c := range p.history {
				if c.Key == configKey {
					item = c.Item
				}
			}
			p.After(storeDelay, func() { reply(int(encodingOverhead * float64(len(item.Value)))) })
		},
		Done: func(ok bool) {
			if !p.alive() {
				return
			}
			if ok {
				p.learn(p.node.Resolve(item), p.alive)
			}
			p.node.StoreReadDone(p.Now())
			p.pump()
		},
	})
}
