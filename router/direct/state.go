package direct

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/boottime"
	"bilberrylug.dev/core/budget"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/metric"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/pace"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/quarantine"
	"bilberrylug.dev/core/ratelimit"
	"bilberrylug.dev/core/rollout"
	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/core/shutdown"
	"bilberrylug.dev/core/sse"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/router/upstream"
)

// reregisterTime is how long running upstreams may take to register again after an outage of the store. An upstream that has
// left receives no more work within changeTime, of which the check that removes it takes up to expireInterval.
const (
	reregisterTime = changeTime - expireInterval - 100*time.Millisecond
	changeTime     = 2 * time.Second
)

// Decoder decodes the entries that other processes write to the store.
type Decoder struct {
	Layout   mirror.Layout
	Config   func(value []byte) (*routing.Config, error)
	Upstream func(key string, value []byte) (fleet.Entry, error)
	// RolloutOrder decodes an order of a rollout, without its revision. RolloutStatus returns the key and the value of a status, which names
	// the version as the order does.
	RolloutOrder  func(key string, value []byte) (rollout.Order, error)
	RolloutStatus func(service ids.Service, status rollout.Status, order []byte) (key string, value []byte)
}

// state is the router's knowledge of the configuration, the upstreams and the other routers.
type state struct {
	clock clockwork.Clock
	// boot tells how long ago something was, also if the machine was suspended since.
	boot    boottime.Clock
	log     *event.Log
	metrics *metric.Registry
	decode  Decoder
	pool    *upstream.Pool
	limits  Upstreams
	answers *answerMemory
	// callerMemory accounts for what callers send, callerBound bounds their connections; zero is no bound.
	callerMemory *callerMemory
	callerBound  int

	config atomic.Pointer[routing.Config]
	// configured is closed when the first configuration becomes active.
	configured chan struct{}
	// behind returns how long the router has known of a newer configuration than it has, or zero.
	behind func() time.Duration

	mu sync.Mutex
	// activation is closed and replaced when a configuration becomes active.
	activation chan struct{}
	fleet      *fleet.Directory
	picker     placement.Picker
	calls      *placement.CallPicker
	// limiters holds the concurrency limiters for calls, by service.
	limiters map[ids.Service]*placement.Limiter
	// admissionDue holds the limiters whose waiting calls are looked at when a pause ends.
	admissionDue map[*placement.Limiter]bool
	budget       *budget.Budget
	// running holds the running streams, by upstream.
	running map[ids.VM]map[*stream]bool
	// watcherRole decides whether this router watches the store.
	watcherRole *mirror.WatcherRole
	// broadcastSoon triggers a broadcast of the state to the other routers.
	broadcastSoon func()
	// confirm asks an upstream for its ID, in the background.
	confirm func(u fleet.Upstream)
	// routers holds the other routers that are present.
	routers []ids.VM
	// promptEngines holds the engine that has each prompt in its KV cache, recordedPrompts the ones that this router has
	// recorded lately, for the other routers.
	promptEngines   *placement.PrefixIndex
	recordedPrompts promptLog
	// era is the latest era of the store of which there is a change.
	era store.Era
	// addressReuse is how long the address of an ended upstream is not given to another service.
	addressReuse time.Duration
	// undeclared holds the latest changes of upstreams' entries whose services the configuration did not declare, or that came before the
	// first configuration, by key.
	undeclared map[string]store.Change
	// leaving holds the upstreams that have said lately that they are leaving.
	leaving []leavingUpstream
	// renamed holds the upstreams whose addresses recently answered with another ID.
	renamed []renamedUpstream
	// peers tracks which other routers serve and which are stopping.
	peers *shutdown.Fleet
	// quarantine decides which prompts are no longer sent to engines because a part of them crashes engines.
	quarantine *quarantine.Quarantine
	// savedQuarantine is the last known snapshot of the quarantine in the store. saveQuarantineSoon wakes its keeper.
	savedQuarantine    savedQuarantine
	saveQuarantineSoon func()
	// rateLimits holds the request rates that upstreams take.
	rateLimits *ratelimit.Limiter
	// pace holds the windows of upstreams that have just started or recovered; nil if the settings do not switch it on.
	pace *pace.Tracker
	// configuredAt is when the first configuration became active.
	configuredAt time.Time
	// conventions holds the conventions of the streams of services.
	conventions map[ids.Service]*sse.Conventions
	// tokenTime is the mean time per output token over all engines.
	tokenTime placement.TokenTime
	// startedAt is when the process started.
	startedAt time.Time
	// applyRouter applies a change of a router's entry.
	applyRouter func(c store.Change)
	// rollouts is nil if the settings have none.
	rollouts *rollouts
}

func newState(cfg Settings, o Options) *state {
	limits := cfg.Upstreams.withDefaults()
	if cfg.Rollouts == nil {
		o.Decode.Layout = o.Decode.Layout.WithoutRollouts()
	}
	metrics := metric.New()
	var windows *pace.Tracker
	if cfg.Placement.Pace {
		windows = pace.New()
	}
	return &state{
		clock: o.Clock, boot: o.BootClock, log: o.Log, metrics: metrics, decode: o.Decode,
		callerMemory: newCallerMemory(cfg.MemoryMegabytes, o.Clock, o.Log, metrics), callerBound: cfg.callerBound(),
		pool:   upstream.NewPool(o.Dial, o.Clock, limits.poolLimits()),
		limits: limits, answers: newAnswerMemory(cfg.MemoryMegabytes),
		fleet:      fleet.New(reregisterTime, cfg.minOutage()),
		picker:     placement.Picker{Router: cfg.VM, Domain: cfg.FailureDomain, Routers: minRouters, LoadTracker: placement.NewLoadTracker()},
		quarantine: quarantine.New(cfg.VM), rateLimits: ratelimit.New(cfg.VM),
		limiters: map[ids.Service]*placement.Limiter{}, admissionDue: map[*placement.Limiter]bool{}, calls: placement.NewCallPicker(cfg.FailureDomain),
		budget: budget.New(cfg.budget(), o.Clock.Now()), running: map[ids.VM]map[*stream]bool{}, conventions: map[ids.Service]*sse.Conventions{},
		promptEngines: placement.NewPrefixIndex(), watcherRole: mirror.NewWatcherRole(cfg.VM, cfg.narrow()), addressReuse: cfg.addressReuse(), undeclared: map[string]store.Change{},
		configured: make(chan struct{}), activation: make(chan struct{}), behind: func() time.Duration { return 0 }, peers: shutdown.NewFleet(), startedAt: o.Clock.Now(),
		confirm: func(fleet.Upstream) {}, saveQuarantineSoon: func() {}, pace: windows, rollouts: newRollouts(cfg, o.Clock.Now(), o.BootClock),
	}
}

// streamConventions returns the conventions of a service's streams.
func (st *state) streamConventions(service ids.Service) *sse.Conventions {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.conventions[service] == nil {
		st.conventions[service] = &sse.Conventions{}
	}
	return st.conventions[service]
}

// minRouters is the number of routers that is assumed while fewer are known.
const minRouters = 4

// storeAnswered records that the store has answered this router.
func (st *state) storeAnswered() {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.clock.Now()
	// The first call records an outage that ends with this answer, the second one its end.
	st.updateStoreReachable(now)
	st.watcherRole.RecordSelf(now)
	st.updateStoreReachable(now)
	st.rolloutHeard(now)
}

// updateStoreReachable passes to the directory whether the store has recently answered this router or another one. The
// caller must hold st.mu.
func (st *state) updateStoreReachable(now time.Time) {
	st.fleet.SetStoreReachable(st.watcherRole.StoreReachable(now), st.watcherRole.LastContact(), now)
}

// watchesStore reports whether this router is one of those that watch the store.
func (st *state) watchesStore() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.watcherRole.IsWatcher(st.clock.Now())
}

// sendsChangesTo returns a function that reports whether this router is the one that sends the store's changes to another
// router.
func (st *state) sendsChangesTo(now time.Time) func(vm ids.VM) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.watcherRole.SendsChangesTo(now)
}

// intervalsUntilStale is the number of intervals of state updates for which the reports of another router are used.
const intervalsUntilStale = 3

// setPeers sets the other routers, which share the limits, and the longest interval of state updates.
func (st *state) setPeers(peers []ids.VM, interval time.Duration) {
	peerTTL := intervalsUntilStale * interval
	st.mu.Lock()
	defer st.mu.Unlock()
	st.routers = peers
	st.rateLimits.SetPeers(peers, interval)
	st.picker.Routers = max(minRouters, len(peers)+1)
	st.picker.PeerTTL = peerTTL
	st.budget.PeerTTL = peerTTL
	st.peers.PeerTTL = peerTTL
}

// expireUpstreams removes the upstreams that have not registered again after an outage of the store, and closes the
// connections that have been idle for too long.
func (st *state) expireUpstreams() {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.clock.Now()
	st.updateStoreReachable(now)
	for _, id := range st.fleet.Expire(now) {
		st.log.Write(event.UpstreamChanged, "upstream", id, "state", "not registered again after store outage")
	}
	for _, e := range st.fleet.AdmitReturned(now) {
		st.log.Write(event.UpstreamChanged, "upstream", e.ID, "service", e.Service, "address", e.Address, "state", "stays registered after store return")
	}
	st.logLimits(st.rateLimits.Expire(now), "")
	st.updatePresence(now)
	st.retainWindows()
	st.pool.CloseExpired()
}

// allowRetry charges a retry to the service's retry budget, and reports whether it is allowed.
func (st *state) allowRetry(service ids.Service) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	ok := st.budget.AllowRetry(service, st.clock.Now(), st.picker.Routers)
	if !ok {
		st.metrics.Counter("repeats_denied", "service", string(service)).Inc(1)
	}
	return ok
}
