// Package app assembles a router from its components and runs it.
//
// # Usage
//
//	a, err := app.New(settings, clockwork.NewRealClock(), log)
//	err = a.Run(ctx) // until ctx is done, then shuts down gracefully
package app

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/connlimit"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/httpclose"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/kv"
	"bilberrylug.dev/core/ledgerstore"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/metric"
	"bilberrylug.dev/core/rpc"
	"bilberrylug.dev/router/agent"
	"bilberrylug.dev/router/answer"
	"bilberrylug.dev/router/caller"
	"bilberrylug.dev/router/fleetview"
	"bilberrylug.dev/router/kvwatch"
	"bilberrylug.dev/router/orders"
	"bilberrylug.dev/router/peer"
)

const (
	// shutdownPollInterval is how often a graceful shutdown checks for running requests.
	shutdownPollInterval = 50 * time.Millisecond
	// shutdownDelay is the minimum time that a router keeps serving after it has become unready, so that the load balancer
	// and the peers can notice.
	shutdownDelay = time.Second
	// shutdownTimeout limits a graceful shutdown. It is long enough for the longest generations.
	shutdownTimeout = 30 * time.Minute
	// fetchTimeout bounds fetching a configuration from one peer.
	fetchTimeout = 5 * time.Second
	// refreshTimeout bounds all attempts to get a newer configuration for a request.
	refreshTimeout = 2 * time.Second
	// idBytes is the number of random bytes in a generated ID.
	idBytes = 12
	// operatorsBound bounds the connections of operators.
	operatorsBound = 64
)

// App is a router that reaches its upstreams through agents.
type App struct {
	cfg         Settings
	clock       clockwork.Clock
	log         *event.Log
	metrics     *metric.Registry
	group       *group.Group
	config      *activeconfig.Holder
	view        *fleetview.View
	dialer      *rpc.Dialer
	server      *peer.Server
	exchange    *peer.Exchange
	grants      *peer.Grants
	watcher     *kvwatch.Watcher
	orders      *orders.Reconciler
	answers     *answer.Registry
	caller      *caller.Server
	newerConfig chan string
}

// New returns a router that is not running yet. It fails if the TLS files cannot be loaded.
func New(cfg Settings, clock clockwork.Clock, log *event.Log) (*App, error) {
	cfg = cfg.withDefaults()
	dialer, err := rpc.NewDialer(cfg.TLS)
	if err != nil {
		return nil, err
	}
	a := &App{
		cfg: cfg, clock: clock, log: log, metrics: metric.New(), group: group.NewRecovering(context.Background(), log.Panic),
		config: activeconfig.New(false), dialer: dialer, newerConfig: make(chan string, 1),
	}
	epoch := uint64(clock.Now().UnixNano())
	a.view = fleetview.New(fleetview.Options{
		Self: membership.Member{
			VM: cfg.ID, Role: membership.Router, Address: cfg.Listen, Region: cfg.Region,
			FailureDomain: cfg.FailureDomain, Incarnation: epoch,
		},
		Config: a.config, Clock: clock, Rand: mathrand.New(mathrand.NewPCG(mathrand.Uint64(), epoch)),
	})
	calls := kv.NewCallLimiter(cfg.Platform.ReadsPerSecond, cfg.Platform.WritesPerSecond, func(kind string) {
		a.metrics.Counter("platform_calls", "kind", kind).Inc(1)
	})
	a.buildComponents(kv.New(kv.Options{Address: cfg.Platform.Address, Limiter: calls}), epoch)
	return a, nil
}

func (a *App) buildComponents(store kv.Store, epoch uint64) {
	a.grants = peer.NewGrants(a.view, a.config, a.dialer, a.clock)
	o := peer.Options{
		View: a.view, Config: a.config, Dialer: a.dialer, Seeds: a.cfg.Routers, Grants: a.grants, Clock: a.clock, Log: a.log,
		Epoch: epoch, OnNewerConfig: a.onNewerConfig, OnChange: func() { a.exchange.Trigger() },
	}
	a.server = peer.NewServer(o)
	a.exchange = peer.NewExchange(o)
	a.watcher = kvwatch.New(kvwatch.Options{
		Store: store, View: a.view, Config: a.config, Clock: a.clock, Log: a.log, OnConfigChange: a.onConfigChange, OnMemberChange: a.exchange.Trigger,
	})
	agents := agent.New(agent.Options{
		View: a.view, Dialer: a.dialer, Config: a.config, Clock: a.clock, Log: a.log, Group: a.group, Refresh: a.refreshConfig,
	})
	a.orders = orders.New(orders.Options{
		Store: store, View: a.view, Config: a.config, Agents: agents, Clock: a.clock, Log: a.log, LoadsPerMinute: a.cfg.LoadsPerMinute,
	})
	a.answers = answer.NewRegistry(answer.Options{
		Owner: ids.Owner(fmt.Sprintf("%s/%x", a.cfg.ID, epoch)), View: a.view, Agents: agents, Clock: a.clock, Log: a.log,
		Metrics: a.metrics, Group: a.group, CallerGrace: a.cfg.CallerGrace.Std(), MaxBytes: a.cfg.AnswerMegabytes << 20,
	})
	a.caller = caller.New(caller.Options{
		View: a.view, Config: a.config, Agents: agents, Answers: a.answers, Grants: a.grants,
		Ledger: ledgerstore.New(store, a.clock, a.log, a.group), Clock: a.clock, Log: a.log, Metrics: a.metrics,
		NewID: newID, NewSeed: mathrand.Uint64, Refresh: a.refreshConfig,
	})
}

func newID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func (a *App) onConfigChange() {
	a.log.Write(event.ConfigActivated, "revision", uint64(a.config.Revision()))
	a.exchange.Trigger()
}

// onNewerConfig queues the address of a peer that has a newer configuration. It does nothing if an address is already
// queued.
func (a *App) onNewerConfig(address string) {
	select {
	case a.newerConfig <- address:
	default:
	}
}

// fetchNewerConfigs fetches newer configurations from the queued peers until ctx is done.
func (a *App) fetchNewerConfigs(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-a.newerConfig:
			a.fetchConfigFrom(ctx, address)
		}
	}
}

func (a *App) fetchConfigFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	changed, err := peer.Fetch(ctx, a.dialer, address, a.config, a.cfg.ID)
	if err != nil {
		a.log.Write(event.ConfigUnreadable, "address", address, "error", err.Error())
		return
	}
	if changed {
		a.onConfigChange()
	}
}

// refreshConfig is called when an agent has a newer revision than this router. It reads the configuration from the
// platform's key-value service or, if that fails, from the peers.
func (a *App) refreshConfig(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	before := a.config.Revision()
	if err := a.watcher.ReadConfig(ctx); err == nil {
		return nil
	}
	for _, vm := range a.view.RandomPeers(len(a.view.Routers())) {
		if address, known := a.view.Address(vm); known {
			a.fetchConfigFrom(ctx, address)
		}
		if a.config.Revision() > before {
			return nil
		}
	}
	return fault.New(fault.StaleRevision, "no newer revision than %d found", before)
}

// Run serves until ctx is done, then waits for the running requests and returns. It returns an error if a listener fails.
func (a *App) Run(ctx context.Context) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", a.cfg.Listen)
	if err != nil {
		return fault.Wrap(fault.SettingsInvalid, err, "listen %s", a.cfg.Listen)
	}
	callersListener, err := lc.Listen(ctx, "tcp", a.cfg.Callers)
	if err != nil {
		return fault.Wrap(fault.SettingsInvalid, err, "listen for callers on %s", a.cfg.Callers)
	}
	operatorsListener, err := lc.Listen(ctx, "tcp", a.cfg.Operators)
	if err != nil {
		return fault.Wrap(fault.SettingsInvalid, err, "listen for operators on %s", a.cfg.Operators)
	}
	listener = connlimit.New(listener, connlimit.DefaultBound, a.clock)
	callersListener = connlimit.New(callersListener, connlimit.DefaultBound, a.clock)
	operatorsListener = connlimit.New(operatorsListener, operatorsBound, a.clock)
	failed := make(chan error, 3)
	a.group.Go(func(ctx context.Context) {
		if err := rpc.Serve(ctx, listener, a.cfg.TLS, a.log.Panic, a.server.Register); err != nil {
			failed <- err
		}
	})
	for _, run := range []func(context.Context){
		a.exchange.Run, a.server.DetectFailures, a.grants.Run, a.watcher.RunConfig, a.watcher.RunVMs, a.orders.Run, a.fetchNewerConfigs,
	} {
		a.group.Keep(a.clock, run)
	}
	callers := &http.Server{Addr: a.cfg.Callers, Handler: a.caller.Handler(), ReadHeaderTimeout: connlimit.HeaderTimeout, IdleTimeout: connlimit.IdleTimeout}
	operators := &http.Server{Addr: a.cfg.Operators, Handler: a.operatorHandler(), ReadHeaderTimeout: connlimit.HeaderTimeout, IdleTimeout: connlimit.IdleTimeout}
	a.group.Go(func(context.Context) { a.serveCallers(callers, callersListener, failed) })
	a.group.Go(func(context.Context) { serveHTTP(operators, operatorsListener, failed) })
	a.log.Write(event.Started, "listen", a.cfg.Listen, "callers", a.cfg.Callers)
	select {
	case <-ctx.Done():
		a.shutdown(callers, callersListener)
	case err = <-failed:
	}
	_ = callers.Close()
	_ = operators.Close()
	a.group.Stop()
	a.dialer.Close()
	a.log.Write(event.Stopped)
	return err
}

func (a *App) serveCallers(s *http.Server, l net.Listener, failed chan<- error) {
	serve := s.Serve
	if t := a.cfg.CallersTLS; t.CertFile != "" {
		s.TLSConfig = rpc.CallerConfig(t.CertFile, t.KeyFile)
		serve = func(l net.Listener) error { return s.ServeTLS(l, "", "") }
	}
	if err := serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- fault.Wrap(fault.SettingsInvalid, err, "serve callers on %s", s.Addr)
	}
}

func serveHTTP(s *http.Server, l net.Listener, failed chan<- error) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- fault.Wrap(fault.SettingsInvalid, err, "listen %s", s.Addr)
	}
}

// shutdown is the graceful shutdown: it makes the router unready, so that the load balancer stops sending requests, and
// waits for the running requests to finish.
func (a *App) shutdown(callers *http.Server, l net.Listener) {
	a.log.Write(event.Stopping)
	a.caller.Stop()
	a.view.Update(func(t *membership.Table) {
		t.UpdateSelf(a.clock.Now(), func(m *membership.Member) { m.State = membership.Leaving })
	})
	a.exchange.Trigger()
	start := a.clock.Now()
	for a.clock.Since(start) < shutdownDelay || a.caller.Active() > 0 {
		if a.clock.Since(start) > shutdownTimeout {
			return
		}
		a.clock.Sleep(shutdownPollInterval)
	}
	cut := httpclose.Close(callers, httpclose.Options{
		Clock: a.clock, Listener: l, Active: func() int64 { return int64(a.caller.Active()) }, Left: func() time.Duration { return shutdownTimeout - a.clock.Since(start) },
	})
	if cut > 0 {
		a.log.Write(event.Stopping, "cut", cut)
	}
}
