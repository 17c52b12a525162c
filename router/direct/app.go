// Package direct implements the router of a site without agents. It serves callers and sends their requests to upstreams
// itself, follows the changes of the store, and exchanges state updates with the other routers.
//
// # Usage
//
//	a, err := direct.New(settings, direct.Options{
//		Clock: clock, BootClock: boot, Log: log, Store: store, Dialect: dialect, Decode: decoder, Dial: upstream.Dial,
//	})
//	err = a.Run(ctx) // serves until ctx is done, then shuts down gracefully
package direct

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/boottime"
	"bilberrylug.dev/core/connlimit"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/httpclose"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/rpc"
	"bilberrylug.dev/core/settings"
	"bilberrylug.dev/core/shutdown"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/router/gossip"
	"bilberrylug.dev/router/upstream"
)

const (
	// heapShare is the fraction of the process's memory that is set as the garbage collector's limit.
	heapShare = 0.5
	// maxReadyDelay is the time since the start after which a router with a configuration reports ready even if it has found
	// no engines from which to fetch the cached prompts.
	maxReadyDelay = time.Second
	// maxBehind is how long a router that knows of a newer configuration than it has reports ready. Changes have two seconds to
	// become active.
	maxBehind = time.Second
	// expireInterval is the interval between checks for expired upstreams.
	expireInterval = 200 * time.Millisecond
	// shutdownPollInterval is the interval at which a graceful shutdown checks for running requests.
	shutdownPollInterval = 50 * time.Millisecond
	// shutdownMargin is the part of the shutdown time reserved for ending the process: the closing of connections,
	// entryRevokeTimeout, and delays on a busy CPU.
	shutdownMargin = 700 * time.Millisecond
	// entryRevokeTimeout bounds the removal of the router's entry from the store. An entry that is not removed expires with
	// its lease.
	entryRevokeTimeout = 100 * time.Millisecond
	// headerTimeout bounds the reading of a request's header, idleTimeout the idle time of a connection. The configuration may
	// set shorter times.
	headerTimeout = 10 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 64 << 10
)

// Options holds the dependencies of an [App].
type Options struct {
	Clock     clockwork.Clock
	BootClock boottime.Clock
	Log       *event.Log
	Store     store.Store
	Dialect   relay.Dialect
	Decode    Decoder
	Dial      upstream.DialFunc
}

// App is a router process: its servers, its connections to the store and to other routers, and its background tasks.
type App struct {
	cfg         Settings
	opts        Options
	state       *state
	handler     *handler
	follower    *mirror.Follower
	broadcaster *gossip.Broadcaster
	dialer      *rpc.Dialer
	group       *group.Group
	shutdown    *shutdownTracker
	schedDelay  *schedDelayMeter
}

// New returns a router that is not running yet. It opens no connections.
func New(cfg Settings, o Options) (*App, error) {
	dialer, err := rpc.NewDialer(settings.TLS{})
	if err != nil {
		return nil, err
	}
	st := newState(cfg, o)
	g := group.NewRecovering(context.Background(), o.Log.Panic)
	tracker := &shutdownTracker{clock: o.Clock}
	tracker.limit.Store(int64(cfg.StopSeconds * float64(time.Second)))
	a := &App{
		dialer: dialer, cfg: cfg, opts: o, state: st, group: g, shutdown: tracker,
		schedDelay: &schedDelayMeter{clock: o.Clock, log: o.Log},
	}
	a.handler = &handler{
		state: st, dialect: o.Dialect, prober: &prober{state: st, group: g, checkedAt: map[ids.VM]time.Time{}},
		shutdown: tracker, schedDelay: a.schedDelay, promptsFetched: make(chan struct{}), conns: newCallerConns(st),
	}
	a.handler.prober.onRecovered = a.handler.verifyRecovered
	st.confirm = a.handler.confirmAsync
	a.broadcaster = gossip.NewBroadcaster(gossip.Options{
		Options: cfg.dissemination(o.Decode.Layout.Config, st.sendsChangesTo),
		Dialer:  dialer, Clock: o.Clock, Log: o.Log, Metrics: st.metrics, Group: g,
		LocalState: a.buildUpdate, HandleUpdate: a.applyUpdate, CachedPrompts: st.cachedPrompts,
		Quarantine: st.quarantineReport, MergeQuarantine: st.mergeQuarantine,
		MergeCachedPrompts: st.mergeCachedPrompts, PromptsSince: st.promptsSince, NewPrompts: st.newPrompts, OnChanges: st.applyChanges,
		ReadValue: a.readConfig,
	})
	a.follower = mirror.NewFollower(mirror.Options{
		Store: o.Store, Target: a.broadcaster, Layout: st.decode.Layout, Clock: o.Clock, Log: o.Log, OnAnswer: st.storeAnswered,
		OnStoreChange: func() { st.broadcastSoon() }, IsWatcher: st.watchesStore,
	})
	st.broadcastSoon = a.broadcaster.RequestBroadcast
	st.applyRouter = a.applyRouter
	st.behind = a.broadcaster.Behind
	return a, nil
}

// Run serves until ctx is done, then shuts down gracefully. It returns an error if a listener cannot be opened or a
// server fails.
func (a *App) Run(ctx context.Context) error {
	setMemoryLimit(a.cfg)
	callers := &http.Server{
		Handler: a.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: a.opts.Log.StdLogger(), ConnContext: a.handler.conns.context, ConnState: a.handler.conns.stateChanged,
	}
	readiness := &http.Server{
		Handler: http.HandlerFunc(a.serveReadiness), ReadTimeout: headerTimeout, WriteTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	metrics := &http.Server{
		Handler: operatorsHandler(a.handler), ReadTimeout: headerTimeout, WriteTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	failed := make(chan error, 4)
	var callersListener net.Listener
	for address, server := range map[string]*http.Server{
		a.cfg.Callers: callers, a.cfg.Readiness: readiness, a.cfg.metricsAddress(): metrics,
	} {
		var control controlFunc
		if server == callers {
			control = limitBuffers
		}
		l, err := listen(ctx, address, control)
		if err != nil {
			return err
		}
		switch server {
		case callers:
			l = a.handler.conns.listener(l)
			callersListener = l
		case readiness:
			l = connlimit.New(l, readinessBound, a.opts.Clock)
		case metrics:
			l = connlimit.New(l, metricsBound, a.opts.Clock)
		}
		a.group.Go(func(context.Context) { serve(server, l, failed) })
	}
	peers, err := listen(ctx, a.cfg.peersListen(), nil)
	if err != nil {
		return err
	}
	a.group.Go(func(ctx context.Context) {
		if err := rpc.Serve(ctx, connlimit.New(peers, peerBound, a.opts.Clock), settings.TLS{}, a.opts.Log.Panic, a.broadcaster.Register); err != nil {
			failed <- err
		}
	})
	a.group.Go(a.handler.fetchPrompts)
	for _, run := range []func(ctx context.Context){
		a.follower.Run, a.broadcaster.Run, a.broadcaster.RunBulk, a.maintainEntry, a.handler.prober.run, a.schedDelay.run,
		func(ctx context.Context) { group.Every(ctx, a.opts.Clock, confirmTick, a.handler.confirmUpstreams) },
		func(ctx context.Context) { group.Every(ctx, a.opts.Clock, expireInterval, a.expire) },
		func(ctx context.Context) { group.Every(ctx, a.opts.Clock, quarantineTick, a.state.settleQuarantine) },
	} {
		a.group.Keep(a.opts.Clock, run)
	}
	if a.state.decode.Layout.Quarantine != "" {
		a.group.Keep(a.opts.Clock, newQuarantineKeeper(a.state, a.opts.Store).run)
	}
	if a.state.rollouts != nil {
		leader := &rolloutLeader{state: a.state, store: a.opts.Store, minLease: time.Duration(a.cfg.Store.LeaseMinimumMs) * time.Millisecond}
		a.group.Keep(a.opts.Clock, leader.run)
		a.group.Keep(a.opts.Clock, func(ctx context.Context) { group.Every(ctx, a.opts.Clock, rolloutTick, a.state.moveOldRuns) })
	}
	a.opts.Log.Write(event.Started, "callers", a.cfg.Callers, "region", a.cfg.Region, "failure_domain", a.cfg.FailureDomain)
	select {
	case <-ctx.Done():
		a.gracefulShutdown()
	case err = <-failed:
	}
	a.closeCallers(callers, callersListener)
	a.opts.Log.Write(event.Stopped, "active", a.shutdown.active.Load())
	for _, s := range []*http.Server{readiness, metrics} {
		_ = s.Close()
	}
	a.group.Stop()
	a.dialer.Close()
	return err
}

func setMemoryLimit(cfg Settings) {
	if cfg.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(cfg.MemoryMegabytes<<20)))
	}
}

func without(list []string, own string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == own })
}

func listen(ctx context.Context, address string, control controlFunc) (net.Listener, error) {
	lc := net.ListenConfig{Control: control}
	l, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "listen %s", address)
	}
	return l, nil
}

func serve(s *http.Server, l net.Listener, failed chan<- error) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- fault.Wrap(fault.Internal, err, "serve %s", l.Addr())
	}
}

// expire removes expired upstreams and idle connections, updates which routers are present, and reports what was shed of callers.
func (a *App) expire() {
	a.state.expireUpstreams()
	a.state.callerMemory.report(a.handler.conns.count())
	a.state.setPeers(slices.Collect(maps.Keys(a.broadcaster.Peers())), a.broadcaster.LongestInterval())
}

// ready reports whether the load balancer should send callers here: the router has a configuration, has fetched the
// engines' cached prompts or waited maxReadyDelay for them, is not stopping, has no high scheduling delay, and does not lack a
// newer configuration for long.
func (a *App) ready() bool {
	if a.shutdown.stopping() || a.schedDelay.high.Load() || a.state.config.Load() == nil || a.state.behind() > maxBehind {
		return false
	}
	select {
	case <-a.handler.promptsFetched:
		return true
	default:
		return a.opts.Clock.Since(a.state.startedAt) > maxReadyDelay
	}
}

func (a *App) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !a.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// closeCallers accepts no further connections, closes the open ones as they become idle, and waits for the requests that were
// accepted at the last moment, for as long as the graceful shutdown may take.
func (a *App) closeCallers(callers *http.Server, l net.Listener) {
	a.shutdown.close()
	cut := httpclose.Close(callers, httpclose.Options{
		Clock: a.opts.Clock, Listener: l, Active: a.handler.conns.busy, OnCut: func() { a.shutdown.cutting.Store(true) },
		Left: func() time.Duration {
			s, _ := a.shutdown.status()
			return s.Remaining
		},
	})
	a.handler.conns.closeAll()
	if cut > 0 {
		a.opts.Log.Write(event.Stopping, "cut", cut)
	}
}

// gracefulShutdown marks the router as stopping and waits until the load balancer has noticed and no request is running, or
// until the time for the shutdown is over.
func (a *App) gracefulShutdown() {
	a.shutdown.begin()
	a.opts.Log.Write(event.Stopping, "active", a.shutdown.active.Load())
	for {
		s, _ := a.shutdown.status()
		if s.Remaining == 0 || s.Elapsed > shutdown.DetectionTime && a.shutdown.active.Load() == 0 {
			return
		}
		a.opts.Clock.Sleep(shutdownPollInterval)
	}
}
