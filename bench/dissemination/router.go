package dissemination

import (
	"time"

	"bilberrylug.dev/bench/network"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/store"
)

// router is one router. Its decisions are made by its protocol.
type router struct {
	*simulation
	number int
	vm     ids.VM
	host   *network.Host
	role   *mirror.WatcherRole
	protocol
	// watching is set while the router watches the store.
	watching bool
	// active is the revision of the configuration that is active, activated when each was activated or replaced.
	active    store.Revision
	activated map[store.Revision]time.Duration
	// generation is incremented at each restart; what was started before it is dropped.
	generation int
	// received counts the bytes of the value that were received since the last start, by revision.
	received map[store.Revision]int
}

// protocol is the exchange of changes between routers.
type protocol interface {
	// apply applies changes that the store has returned.
	apply(list []store.Change, upTo store.Revision)
	revision() store.Revision
	// stateChanged records that the router's own state has changed.
	stateChanged()
	// pump does what is due.
	pump()
}

// start starts a router, or restarts it without its state.
func (r *router) start() {
	r.generation++
	generation := r.generation
	alive := func() bool { return r.generation == generation }
	r.active = 0
	r.countReceived()
	clear(r.received)
	if r.policy == Pull {
		r.protocol = newPuller(r, alive)
	} else {
		r.protocol = newPusher(r, alive)
	}
	r.watch(alive)
	if r.scenario.Streams {
		r.events(alive)
	}
	r.changeState(alive)
}

// watch watches the store, as long as the router has that role.
func (r *router) watch(alive func() bool) {
	if !alive() {
		return
	}
	again := func(pause time.Duration) { r.After(pause, func() { r.watch(alive) }) }
	if r.revision() > 0 && !r.role.IsWatcher(r.Now()) {
		r.watching = false
		again(watchPause)
		return
	}
	wait := watchWait
	if !r.watching && r.policy == Pull {
		wait = time.Millisecond
	}
	r.watching = true
	since := r.revision()
	var changes []store.Change
	var upTo store.Revision
	r.Call(r.host, r.store, network.Call{
		Request: 150, Timeout: watchTimeout,
		Serve: func(reply func(bytes int)) {
			replied := false
			answer := func() {
				if replied {
					return
				}
				replied = true
				changes, upTo = r.changesSince(since)
				r.After(storeDelay, func() { reply(storeBytes(changes)) })
			}
			if r.written > since {
				answer()
				return
			}
			r.waiting = append(r.waiting, answer)
			r.After(wait, answer)
		},
		Done: func(ok bool) {
			if !alive() {
				return
			}
			if ok {
				r.role.RecordSelf(r.Now())
				r.apply(changes, upTo)
			}
			r.pump()
			again(watchPause)
		},
	})
}

// changesSince returns the newest change of each key after a revision.
func (s *simulation) changesSince(since store.Revision) ([]store.Change, store.Revision) {
	newest := map[string]store.Change{}
	for _, c := range s.history {
		if c.Modified > since {
			newest[c.Key] = c
		}
	}
	var out []store.Change
	for _, c := range s.history {
		if newest[c.Key].Modified == c.Modified {
			out = append(out, c)
		}
	}
	return out, s.written
}

func storeBytes(list []store.Change) int {
	n := 0
	for _, c := range list {
		n += len(c.Key) + int(encodingOverhead*float64(len(c.Value))) + 60
	}
	return n
}

// events sends events of streams to callers, and counts the late ones.
func (r *router) events(alive func() bool) {
	if !alive() {
		return
	}
	sentAt := r.Now()
	r.Work(r.host, 20*time.Microsecond, func() {
		r.Send(r.host, r.callers, eventBytes, func() {
			r.result.Events++
			if r.Now().Sub(sentAt) > lateEvent {
				r.result.LateEvents++
			}
		})
	})
	r.After(eventInterval, func() { r.events(alive) })
}

// changeState changes the router's own state at random times.
func (r *router) changeState(alive func() bool) {
	if !alive() || r.scenario.Updates <= 0 {
		return
	}
	r.After(time.Duration(r.rng.ExpFloat64()/r.scenario.Updates*float64(time.Second)), func() {
		if alive() {
			r.stateChanged()
			r.pump()
			r.changeState(alive)
		}
	})
}

// learn activates the configuration among new changes, which takes processor time.
func (r *router) learn(changes []store.Change, alive func() bool) {
	for _, c := range changes {
		if c.Key != configKey {
			continue
		}
		r.Work(r.host, time.Duration(len(c.Value)/1024)*parseTimePerKB, func() {
			if alive() && c.Modified > r.active {
				r.active = c.Modified
				r.activated[c.Modified] = r.Elapsed()
			}
		})
	}
}
