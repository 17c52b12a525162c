package direct

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/budget"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/metric"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/core/shutdown"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/router/upstream"
)

// returnTime is how long living upstreams may take to register anew after an outage of the store.
const returnTime = 2 * time.Second

// Decoder decodes what other writers keep in the store.
type Decoder struct {
	Layout   mirror.Layout
	Config   func(value []byte) (*routing.Config, error)
	Upstream func(key string, value []byte) (fleet.Entry, error)
}

// world is what the router believes of its surroundings.
type world struct {
	clock   clockwork.Clock
	log     *event.Log
	metrics *metric.Registry
	decode  Decoder
	pool    *upstream.Pool

	config atomic.Pointer[routing.Config]
	// configured is closed at the first configuration.
	configured chan struct{}

	mu     sync.Mutex
	fleet  *fleet.Directory
	picker placement.Picker
	calls  *placement.CallPicker
	// gates bound the calls under way, by service.
	gates  map[ids.Service]*placement.Limiter
	budget *budget.Budget
	// running holds the streams under way, by upstream.
	running map[ids.VM]map[*stream]bool
	// duty decides whether this router watches the store.
	duty *mirror.WatcherRole
	// nudge has the other routers told soon.
	nudge func()
	// homes remembers where prompts were read; newHomes are those that the others have not been told.
	homes    *placement.PrefixIndex
	newHomes []*wire.PromptHome
	// reuse is how long an address stays with its service after its upstream has ended.
	reuse time.Duration
	// renamed are the upstreams found under another name.
	renamed []renamed
	// others are the routers that serve and those that stop.
	others *shutdown.Fleet
	// pace is the usual pace of the generations' output.
	pace placement.TokenTime
	// began is when the process started.
	began time.Time
	// routerChanged takes changes of the routers' entries.
	routerChanged func(c store.Change)
}

func newWorld(cfg Settings, o Options) *world {
	return &world{
		clock: o.Clock, log: o.Log, metrics: metric.New(), decode: o.Decode,
		pool:   upstream.NewPool(o.Dial, o.Clock),
		fleet:  fleet.New(returnTime),
		picker: placement.Picker{Router: cfg.VM, Domain: cfg.FailureDomain, Routers: minRouters, LoadTracker: placement.NewLoadTracker()},
		gates:  map[ids.Service]*placement.Limiter{}, calls: placement.NewCallPicker(cfg.FailureDomain), budget: budget.New(cfg.budget(), o.Clock.Now()),
		running: map[ids.VM]map[*stream]bool{}, homes: placement.NewPrefixIndex(), duty: mirror.NewWatcherRole(cfg.VM), reuse: cfg.reuse(),
		configured: make(chan struct{}), others: shutdown.NewFleet(), began: o.Clock.Now(),
	}
}

// minRouters is the number of routers that is assumed before the others are known.
const minRouters = 4

// changed takes news of the store. A configuration comes last, so that its upstreams are known when it is in force.
func (w *world) changed(news []store.Change) {
	var config []store.Change
	for _, c := range news {
		switch {
		case c.Key == w.decode.Layout.Config:
			config = append(config, c)
		case hasPrefix(c.Key, w.decode.Layout.Upstreams):
			w.upstreamChanged(c)
		case hasPrefix(c.Key, w.decode.Layout.Routers):
			w.routerChanged(c)
		}
	}
	for _, c := range config {
		w.configChanged(c)
	}
}

func (w *world) configChanged(c store.Change) {
	if c.Removed {
		return
	}
	cfg, err := w.decode.Config(c.Value)
	if err != nil {
		w.log.Write(event.ConfigUnreadable, "store_revision", uint64(c.Modified), "error", err.Error())
		return
	}
	if old := w.config.Load(); old != nil && old.Version >= cfg.Version {
		return
	}
	if w.config.Swap(cfg) == nil {
		close(w.configured)
	}
	w.metrics.Gauge("config_version").Update(int64(cfg.Version))
	w.log.Write(event.ConfigInForce, "version", uint64(cfg.Version), "store_revision", uint64(c.Modified))
}

func (w *world) upstreamChanged(c store.Change) {
	now := w.clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteStore(now)
	if c.Removed {
		id := ids.VM(c.Key[len(w.decode.Layout.Upstreams):])
		w.fleet.Remove(id, now)
		w.picker.Forget(id)
		w.calls.Forget(id)
		w.log.Write(event.UpstreamChanged, "upstream", id, "state", "entry removed", "store_revision", uint64(c.Modified))
		return
	}
	e, err := w.decode.Upstream(c.Key, c.Value)
	if err != nil {
		w.log.Write(event.EntryUnreadable, "key", c.Key, "error", err.Error(), "store_revision", uint64(c.Modified))
		return
	}
	old, known := w.fleet.Get(e.ID)
	w.fleet.Put(e)
	if !known || old.Started != e.Started {
		// Connections of the address's former upstream may look open when it was lost without a word.
		w.pool.CloseIdle(e.Address)
	}
	if known && old.Entry == e {
		return
	}
	w.log.Write(event.UpstreamChanged, "upstream", e.ID, "service", e.Service, "address", e.Address,
		"failure_domain", e.Domain, "draining", e.Draining, "started", e.Started, "store_revision", uint64(c.Modified))
}

// storeAnswered notes that the store has answered this router.
func (w *world) storeAnswered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.noteStore(now)
	w.duty.RecordSelf(now)
	w.noteStore(now)
}

// noteStore tells the directory whether the store answers any router that is in touch. The caller holds the lock.
func (w *world) noteStore(now time.Time) { w.fleet.SetStoreReachable(w.duty.StoreReachable(now), now) }

// watches tells whether this router watches the store itself.
func (w *world) watches() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.duty.IsWatcher(w.clock.Now())
}

// serves tells whether this router sends another the changes of the store.
func (w *world) serves(vm ids.VM) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.duty.SendsChangesTo(vm, w.clock.Now())
}

// countRouters notes how many routers share the limits.
func (w *world) countRouters(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.picker.Routers = max(minRouters, n)
}

// expire drops the upstreams that are gone after an outage.
func (w *world) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.clock.Now()
	w.noteStore(now)
	for _, id := range w.fleet.Expire(now) {
		w.log.Write(event.UpstreamChanged, "upstream", id, "state", "not back after the store's outage")
	}
	w.pool.CloseExpired()
}

// takeRepeat draws on the budget of repeats.
func (w *world) takeRepeat(s ids.Service) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	ok := w.budget.AllowRetry(s, w.clock.Now(), w.picker.Routers)
	if !ok {
		w.metrics.Counter("repeats_denied", "service", string(s)).Inc(1)
	}
	return ok
}

func hasPrefix(key, prefix string) bool { return len(key) > len(prefix) && key[:len(prefix)] == prefix }
