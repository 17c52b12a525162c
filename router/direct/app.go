// Package direct is the router of a site without agents: it speaks to callers and upstreams itself, follows the store,
// and shares news with the other routers.
//
// # Usage
//
//	a, err := direct.New(settings, direct.Options{Clock: clock, Log: log, Store: store, Dialect: dialect, Decode: decoder, Dial: upstream.Dial})
//	err = a.Run(ctx) // until ctx ends, then a planned stop
package direct

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/link"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/settings"
	"bilberrylug.dev/core/shutdown"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/router/gossip"
	"bilberrylug.dev/router/upstream"
)

const (
	// memoryShare is the part of the allowed memory that the collector keeps the heap within.
	memoryShare = 0.5
	// readyLimit is the time after which a router with a configuration is ready though it knows of no engine.
	readyLimit = time.Second
	// expireInterval is the pause between looks for upstreams that are gone.
	expireInterval = 200 * time.Millisecond
	// stopPoll is the pause between looks at the running work of a planned stop.
	stopPoll = 50 * time.Millisecond
	// stopMargin is left of the stop's time for ending the process: for drainTime, entryEnd, and a busy processor.
	stopMargin = 700 * time.Millisecond
	// drainTime bounds the closing of callers' connections.
	drainTime = 150 * time.Millisecond
	// entryEnd bounds the removal of the router's entry; it lapses otherwise.
	entryEnd = 100 * time.Millisecond
	// headerTime and idleTime bound what callers may take where the configuration does not say less.
	headerTime = 10 * time.Second
	idleTime   = 60 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
)

// Options are what a router needs.
type Options struct {
	Clock   clockwork.Clock
	Log     *event.Log
	Store   store.Store
	Dialect relay.Dialect
	Decode  Decoder
	Dial    upstream.DialFunc
	// CloseStoreConns closes the store's connections after a call without an answer.
	CloseStoreConns func()
}

// App is one router.
type App struct {
	cfg      Settings
	o        Options
	world    *world
	edge     *edge
	follower *mirror.Follower
	teller   *gossip.Broadcaster
	dialer   *link.Dialer
	group    *group.Group
	stop     *stopper
	lag      *lagMeter
}

// New puts a router together.
func New(cfg Settings, o Options) (*App, error) {
	dialer, err := link.NewDialer(settings.TLS{})
	if err != nil {
		return nil, err
	}
	w := newWorld(cfg, o)
	g := group.New(context.Background())
	stop := &stopper{clock: o.Clock}
	stop.limit.Store(int64(cfg.StopSeconds * float64(time.Second)))
	a := &App{dialer: dialer, cfg: cfg, o: o, world: w, group: g, stop: stop, lag: &lagMeter{clock: o.Clock, log: o.Log}}
	a.edge = &edge{world: w, dialect: o.Dialect, probes: &prober{world: w, group: g, checked: map[ids.VM]time.Time{}}, stop: stop, lag: a.lag, learnt: make(chan struct{})}
	a.edge.probes.returned = a.edge.returned
	a.follower = mirror.NewFollower(mirror.Options{
		Store: o.Store, Layout: o.Decode.Layout, Clock: o.Clock, Log: o.Log, OnChanges: w.changed, OnAnswer: w.storeAnswered,
		OnFailure: o.CloseStoreConns, OnStoreChange: func() { w.nudge() }, IsWatcher: w.watches,
	})
	a.teller = gossip.NewBroadcaster(gossip.Options{
		Self: cfg.VM, Seeds: without(cfg.Seeds, cfg.Peers), Dialer: dialer, Clock: o.Clock, Log: o.Log, Group: g, LocalState: a.news, HandleUpdate: a.takeNews,
		CachedPrompts: w.allHomes, MergeCachedPrompts: w.takeHomes, SendsChangesTo: w.serves, MergeChanges: a.follower.Merge, ChangesSince: a.follower.ChangesSince,
	})
	w.nudge = a.teller.RequestBroadcast
	w.routerChanged = a.routerChanged
	return a, nil
}

// Run serves until the context ends, then finishes what runs and returns.
func (a *App) Run(ctx context.Context) error {
	setMemoryLimit(a.cfg)
	callers := &http.Server{
		Handler: a.edge, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: a.o.Log.Standard(),
	}
	side := echo.New()
	side.GET("/metrics", func(c echo.Context) error { a.world.metrics.Write(c.Response()); return nil })
	readiness := &http.Server{Handler: http.HandlerFunc(a.answerReady), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	metrics := &http.Server{Handler: side, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}
	failed := make(chan error, 4)
	for address, server := range map[string]*http.Server{
		a.cfg.Callers: callers, a.cfg.Readiness: readiness, a.cfg.metricsAddress(): metrics,
	} {
		l, err := listen(ctx, address)
		if err != nil {
			return err
		}
		a.group.Go(func(context.Context) { serve(server, l, failed) })
	}
	peers, err := listen(ctx, a.cfg.Peers)
	if err != nil {
		return err
	}
	a.group.Go(func(ctx context.Context) {
		if err := link.Serve(ctx, peers, settings.TLS{}, a.teller.Register); err != nil {
			failed <- err
		}
	})
	a.group.Go(a.follower.Run)
	a.group.Go(a.teller.Run)
	a.group.Go(a.keepEntry)
	a.group.Go(a.edge.learnPrompts)
	a.group.Go(a.edge.probes.run)
	a.group.Go(a.lag.run)
	a.group.Go(func(ctx context.Context) { group.Every(ctx, a.o.Clock, expireInterval, a.tidy) })
	a.o.Log.Write(event.Started, "callers", a.cfg.Callers, "region", a.cfg.Region, "failure_domain", a.cfg.FailureDomain)
	select {
	case <-ctx.Done():
		a.planStop()
	case err = <-failed:
	}
	a.drain(callers)
	a.o.Log.Write(event.Stopped, "active", a.stop.active.Load())
	for _, s := range []*http.Server{callers, readiness, metrics} {
		_ = s.Close()
	}
	a.group.Stop()
	a.dialer.Close()
	return err
}

func setMemoryLimit(cfg Settings) {
	if cfg.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMegabytes<<20)))
	}
}

func without(list []string, own string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(s string) bool { return s == own })
}

func listen(ctx context.Context, address string) (net.Listener, error) {
	var lc net.ListenConfig
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

// tidy drops what is gone and counts the routers.
func (a *App) tidy() {
	a.world.expire()
	a.world.countRouters(len(a.teller.Peers()) + 1)
}

// ready tells that callers can be served as well as the router will be able to.
func (a *App) ready() bool {
	if a.stop.stopping() || a.lag.high.Load() || a.world.config.Load() == nil {
		return false
	}
	select {
	case <-a.edge.learnt:
		return true
	default:
		return a.o.Clock.Since(a.world.began) > readyLimit
	}
}

func (a *App) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !a.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// drain closes the callers' connections as they become idle and waits a moment for the others.
func (a *App) drain(callers *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		a.o.Log.Write(event.Stopping, "cut", a.stop.active.Load(), "error", err.Error())
	}
}

// planStop waits until the balancer sends nothing more and what runs has ended, or the stop's time is over.
func (a *App) planStop() {
	a.stop.begin()
	a.o.Log.Write(event.Stopping, "active", a.stop.active.Load())
	for {
		s, _ := a.stop.stop()
		if s.Remaining == 0 || s.Elapsed > shutdown.DetectionTime && a.stop.active.Load() == 0 {
			return
		}
		a.o.Clock.Sleep(stopPoll)
	}
}
