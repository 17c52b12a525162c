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
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/router/upstream"
)

const (
	// memoryShare is the part of the allowed memory that the collector keeps the heap within.
	memoryShare = 0.5
	// expireInterval is the pause between looks for upstreams that are gone.
	expireInterval = 200 * time.Millisecond
	// stopPoll is the pause between looks at the running work of a planned stop.
	stopPoll = 50 * time.Millisecond
	// stopNotice is the time in which the balancer learns of a planned stop: it asks once a second and believes the second
	// miss.
	stopNotice = 3 * time.Second
	// stopMargin is left of the stop's time when the process ends.
	stopMargin = 300 * time.Millisecond
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
	// ForgetStore closes the store's connections after a call without an answer.
	ForgetStore func()
}

// App is one router.
type App struct {
	cfg      Settings
	o        Options
	world    *world
	edge     *edge
	follower *mirror.Follower
	group    *group.Group
	stop     *stopper
}

// New puts a router together.
func New(cfg Settings, o Options) *App {
	w := newWorld(cfg, o)
	g := group.New(context.Background())
	stop := &stopper{clock: o.Clock, longWork: stopNotice}
	stop.limit.Store(int64(cfg.StopSeconds * float64(time.Second)))
	a := &App{cfg: cfg, o: o, world: w, group: g, stop: stop}
	a.edge = &edge{world: w, dialect: o.Dialect, probes: &prober{world: w, group: g, checked: map[ids.VM]time.Time{}}, stop: stop}
	w.check = a.edge.probes.check
	a.follower = mirror.NewFollower(mirror.Options{
		Store: o.Store, Layout: o.Decode.Layout, Clock: o.Clock, Log: o.Log, Changed: w.changed, Reached: w.storeReached,
		Silent: o.ForgetStore,
	})
	return a
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
	failed := make(chan error, 3)
	for address, server := range map[string]*http.Server{
		a.cfg.Callers: callers, a.cfg.Readiness: readiness, a.cfg.metricsAddress(): metrics,
	} {
		var lc net.ListenConfig
		l, err := lc.Listen(ctx, "tcp", address)
		if err != nil {
			return fault.Wrap(fault.SettingsInvalid, err, "listen %s", address)
		}
		a.group.Go(func(context.Context) { serve(server, l, failed) })
	}
	a.group.Go(a.follower.Run)
	a.group.Go(a.edge.probes.run)
	a.group.Go(func(ctx context.Context) { group.Every(ctx, a.o.Clock, expireInterval, a.world.expire) })
	a.o.Log.Write(event.Started, "callers", a.cfg.Callers, "failure_domain", a.cfg.FailureDomain)
	var err error
	select {
	case <-ctx.Done():
		a.planStop()
	case err = <-failed:
	}
	a.o.Log.Write(event.Stopped, "active", a.stop.active.Load())
	for _, s := range []*http.Server{callers, readiness, metrics} {
		_ = s.Close()
	}
	a.group.Stop()
	return err
}

func setMemoryLimit(cfg Settings) {
	if cfg.MemoryMegabytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMegabytes<<20)))
	}
}

func serve(s *http.Server, l net.Listener, failed chan<- error) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- fault.Wrap(fault.Internal, err, "serve %s", l.Addr())
	}
}

func (a *App) ready() bool { return !a.stop.stopping() && a.world.config.Load() != nil }

func (a *App) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !a.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// planStop waits until the balancer sends nothing more and what runs has ended, or the stop's time is over.
func (a *App) planStop() {
	a.stop.begin()
	a.o.Log.Write(event.Stopping, "active", a.stop.active.Load())
	for a.stop.since() < time.Duration(a.stop.limit.Load())-stopMargin {
		if a.stop.since() > stopNotice && a.stop.active.Load() == 0 {
			return
		}
		a.o.Clock.Sleep(stopPoll)
	}
}
