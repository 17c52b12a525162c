// Package app puts the parts of a router together and runs them.
//
// # Usage
//
//	a, err := app.New(settings, clockwork.NewRealClock(), log)
//	err = a.Run(ctx) // until ctx ends, then a planned stop
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
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/group"
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
	watch "bilberrylug.dev/router/kvwatch"
	"bilberrylug.dev/router/orders"
	"bilberrylug.dev/router/peer"
)

const (
	stopPoll = 50 * time.Millisecond
	// stopNotice is the time in which the balancer and the peers learn of a planned stop.
	stopNotice = time.Second
	// stopLimit bounds a planned stop; it covers the longest generations.
	stopLimit      = 30 * time.Minute
	fetchTimeout   = 5 * time.Second
	refreshTimeout = 2 * time.Second
	idBytes        = 12
)

// App is one router.
type App struct {
	cfg      Settings
	clock    clockwork.Clock
	log      *event.Log
	metrics  *metric.Registry
	group    *group.Group
	config   *activeconfig.Holder
	view     *fleetview.View
	dialer   *rpc.Dialer
	server   *peer.Server
	exchange *peer.Exchange
	grants   *peer.Grants
	watch    *watch.Watcher
	orders   *orders.Reconciler
	answers  *answer.Registry
	caller   *caller.Server
	newer    chan string
}

// New puts a router together.
func New(cfg Settings, clock clockwork.Clock, log *event.Log) (*App, error) {
	cfg = cfg.withDefaults()
	dialer, err := rpc.NewDialer(cfg.TLS)
	if err != nil {
		return nil, err
	}
	a := &App{
		cfg: cfg, clock: clock, log: log, metrics: metric.New(), group: group.New(context.Background()),
		config: activeconfig.New(false), dialer: dialer, newer: make(chan string, 1),
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
	a.build(kv.New(kv.Options{Address: cfg.Platform.Address, Limiter: calls}), epoch)
	return a, nil
}

func (a *App) build(store kv.Store, epoch uint64) {
	a.grants = peer.NewGrants(a.view, a.config, a.dialer, a.clock)
	o := peer.Options{
		View: a.view, Config: a.config, Dialer: a.dialer, Seeds: a.cfg.Routers, Grants: a.grants, Clock: a.clock, Log: a.log,
		Epoch: epoch, OnNewerConfig: a.noteNewer, OnChange: func() { a.exchange.Trigger() },
	}
	a.server = peer.NewServer(o)
	a.exchange = peer.NewExchange(o)
	a.watch = watch.New(watch.Options{
		Store: store, View: a.view, Config: a.config, Clock: a.clock, Log: a.log, OnConfigChange: a.inForce, OnMemberChange: a.exchange.Trigger,
	})
	links := agent.New(agent.Options{
		View: a.view, Dialer: a.dialer, Config: a.config, Clock: a.clock, Log: a.log, Group: a.group, Refresh: a.refresh,
	})
	a.orders = orders.New(orders.Options{
		Store: store, View: a.view, Config: a.config, Agents: links, Clock: a.clock, Log: a.log, LoadsPerMinute: a.cfg.LoadsPerMinute,
	})
	a.answers = answer.NewRegistry(answer.Options{
		Owner: ids.Owner(fmt.Sprintf("%s/%x", a.cfg.ID, epoch)), View: a.view, Agents: links, Clock: a.clock, Log: a.log,
		Metrics: a.metrics, Group: a.group, CallerGrace: a.cfg.CallerGrace.Std(), MaxBytes: a.cfg.AnswerMegabytes << 20,
	})
	a.caller = caller.New(caller.Options{
		View: a.view, Config: a.config, Agents: links, Answers: a.answers, Grants: a.grants,
		Ledger: ledgerstore.New(store, a.clock, a.log, a.group), Clock: a.clock, Log: a.log, Metrics: a.metrics,
		NewID: newID, NewSeed: mathrand.Uint64, Refresh: a.refresh,
	})
}

func newID() string {
	b := make([]byte, idBytes)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func (a *App) inForce() {
	a.log.Write(event.ConfigActivated, "revision", uint64(a.config.Revision()))
	a.exchange.Trigger()
}

// noteNewer remembers the last peer that has a newer configuration.
func (a *App) noteNewer(address string) {
	select {
	case a.newer <- address:
	default:
	}
}

// fetchNewer takes newer configurations from peers until the context ends.
func (a *App) fetchNewer(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-a.newer:
			a.fetchFrom(ctx, address)
		}
	}
}

func (a *App) fetchFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	changed, err := peer.Fetch(ctx, a.dialer, address, a.config, a.cfg.ID)
	if err != nil {
		a.log.Write(event.ConfigUnreadable, "address", address, "error", err.Error())
		return
	}
	if changed {
		a.inForce()
	}
}

// refresh brings in the revision that an agent was ahead with: from the service, or else from the peers.
func (a *App) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	before := a.config.Revision()
	if err := a.watch.ReadConfig(ctx); err == nil {
		return nil
	}
	for _, vm := range a.view.RandomPeers(len(a.view.Routers())) {
		if address, known := a.view.Address(vm); known {
			a.fetchFrom(ctx, address)
		}
		if a.config.Revision() > before {
			return nil
		}
	}
	return fault.New(fault.StaleRevision, "no newer revision than %d found", before)
}

// Run serves until the context ends, then finishes what runs and returns.
func (a *App) Run(ctx context.Context) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", a.cfg.Listen)
	if err != nil {
		return fault.Wrap(fault.SettingsInvalid, err, "listen %s", a.cfg.Listen)
	}
	failed := make(chan error, 3)
	a.group.Go(func(ctx context.Context) {
		if err := rpc.Serve(ctx, listener, a.cfg.TLS, a.server.Register); err != nil {
			failed <- err
		}
	})
	for _, run := range []func(context.Context){
		a.exchange.Run, a.server.DetectFailures, a.grants.Run, a.watch.RunConfig, a.watch.RunVMs, a.orders.Run, a.fetchNewer,
	} {
		a.group.Go(run)
	}
	callers := &http.Server{Addr: a.cfg.Callers, Handler: a.caller.Handler(), ReadHeaderTimeout: time.Minute}
	operators := &http.Server{Addr: a.cfg.Operators, Handler: a.operatorHandler(), ReadHeaderTimeout: time.Minute}
	a.group.Go(func(context.Context) { a.serveCallers(callers, failed) })
	a.group.Go(func(context.Context) { serveHTTP(operators, failed) })
	a.log.Write(event.Started, "listen", a.cfg.Listen, "callers", a.cfg.Callers)
	select {
	case <-ctx.Done():
		a.stop()
	case err = <-failed:
	}
	_ = callers.Close()
	_ = operators.Close()
	a.group.Stop()
	a.dialer.Close()
	a.log.Write(event.Stopped)
	return err
}

func (a *App) serveCallers(s *http.Server, failed chan<- error) {
	if t := a.cfg.CallersTLS; t.CertFile != "" {
		s.TLSConfig = rpc.CallerConfig(t.CertFile, t.KeyFile)
		if err := s.ListenAndServeTLS("", ""); !errors.Is(err, http.ErrServerClosed) {
			failed <- fault.Wrap(fault.SettingsInvalid, err, "callers %s", s.Addr)
		}
		return
	}
	serveHTTP(s, failed)
}

func serveHTTP(s *http.Server, failed chan<- error) {
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		failed <- fault.Wrap(fault.SettingsInvalid, err, "listen %s", s.Addr)
	}
}

// stop is the planned stop: the balancer sees that the router is not ready, and what runs is finished.
func (a *App) stop() {
	a.log.Write(event.Stopping)
	a.caller.Stop()
	a.view.Update(func(t *membership.Table) {
		t.UpdateSelf(a.clock.Now(), func(m *membership.Member) { m.State = membership.Leaving })
	})
	a.exchange.Trigger()
	began := a.clock.Now()
	for a.clock.Since(began) < stopNotice || a.caller.Active() > 0 {
		if a.clock.Since(began) > stopLimit {
			return
		}
		a.clock.Sleep(stopPoll)
	}
}
