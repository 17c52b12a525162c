// Package app assembles the components of an agent and runs them.
//
// # Usage
//
//	a, err := app.New(settings, clockwork.NewRealClock(), log)
//	err = a.Run(ctx) // serves until ctx is done, then shuts down gracefully
package app

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/agent/engine"
	"bilberrylug.dev/agent/plain"
	"bilberrylug.dev/agent/router"
	"bilberrylug.dev/agent/upstream"
	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/connlimit"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/journal"
	"bilberrylug.dev/core/kv"
	"bilberrylug.dev/core/ledgerstore"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/metric"
	"bilberrylug.dev/core/rpc"
)

const (
	// unfinishedJournalRetention and finishedJournalRetention are how long a journal is kept after its last use.
	unfinishedJournalRetention = 2 * time.Minute
	finishedJournalRetention   = time.Minute
	modelPollInterval          = 2 * time.Second
	// drainPollInterval is how often a graceful shutdown checks for running work.
	drainPollInterval = 50 * time.Millisecond
	// maxDrainTime bounds a graceful shutdown; it covers the longest generations.
	maxDrainTime = 30 * time.Minute
	// minDrainTime is how long a stopping agent keeps running so that its leaving state reaches the routers.
	minDrainTime = 500 * time.Millisecond
	// metricsBound bounds the connections to the metrics.
	metricsBound = 64
)

// App is an agent process: the server for routers, the heartbeat and the health probes.
type App struct {
	cfg       Settings
	clock     clockwork.Clock
	log       *event.Log
	metrics   *metric.Registry
	group     *group.Group
	state     *router.State
	server    *router.Server
	heartbeat *router.Heartbeat
	journals  *router.Journals
	health    *upstream.Health
	dialer    *rpc.Dialer
}

// New assembles an agent without starting it. It fails if the TLS settings are invalid.
func New(cfg Settings, clock clockwork.Clock, log *event.Log) (*App, error) {
	dialer, err := rpc.NewDialer(cfg.TLS)
	if err != nil {
		return nil, err
	}
	a := &App{cfg: cfg, clock: clock, log: log, metrics: metric.New(), group: group.NewRecovering(context.Background(), log.Panic), dialer: dialer}
	config := activeconfig.New(true)
	a.state = router.NewState(selfMember(cfg, clock), config, clock)
	limiter := kv.NewCallLimiter(cfg.Platform.ReadsPerSecond, cfg.Platform.WritesPerSecond, func(kind string) {
		a.metrics.Counter("platform_calls", "kind", kind).Inc(1)
	})
	store := kv.New(kv.Options{Address: cfg.Platform.Address, Limiter: limiter})
	limits := journal.Limits{
		MaxBytes: cfg.journalBytes(), RetentionUnfinished: unfinishedJournalRetention, RetentionFinished: finishedJournalRetention,
	}
	a.journals = router.NewJournals(limits, clock, a.metrics)
	a.health = upstream.New(cfg.Upstream+"/healthz", clock, log)
	o := router.Options{
		State: a.state, Config: config, Health: a.health, Ledger: ledgerstore.New(store, clock, log, a.group), Store: store,
		Journals: a.journals, Clock: clock, Log: log, Metrics: a.metrics,
	}
	if cfg.Kind == "model" {
		o.Engine = engine.New(cfg.Upstream)
	} else {
		o.Plain = plain.New(cfg.Upstream)
	}
	a.server = router.New(o)
	a.heartbeat = router.NewHeartbeat(a.state, config, dialer, cfg.Routers, clock, log)
	return a, nil
}

func selfMember(cfg Settings, clock clockwork.Clock) membership.Member {
	return membership.Member{
		VM: cfg.ID, Role: membership.Agent, Address: cfg.Listen, Region: cfg.Region, FailureDomain: cfg.FailureDomain,
		Service: cfg.Service, Incarnation: uint64(clock.Now().UnixNano()), ChecksFence: cfg.ChecksFence,
	}
}

// Run serves until ctx is done, then refuses new work, waits for running work to finish and returns. It fails if the
// agent cannot listen or if serving stops unexpectedly.
func (a *App) Run(ctx context.Context) error {
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", a.cfg.Listen)
	if err != nil {
		return fault.Wrap(fault.SettingsInvalid, err, "listen %s", a.cfg.Listen)
	}
	listener = connlimit.New(listener, connlimit.DefaultBound, a.clock)
	failed := make(chan error, 1)
	a.group.Go(func(ctx context.Context) {
		if err := rpc.Serve(ctx, listener, a.cfg.TLS, a.log.Panic, a.server.Register); err != nil {
			failed <- err
		}
	})
	for _, run := range []func(ctx context.Context){a.journals.Run, a.health.Run, a.pollModels, a.heartbeat.Run} {
		a.group.Keep(a.clock, run)
	}
	a.serveMetrics()
	a.log.Write(event.Started, "listen", a.cfg.Listen, "service", string(a.cfg.Service))
	select {
	case <-ctx.Done():
		a.drain()
	case err = <-failed:
	}
	a.group.Stop()
	a.dialer.Close()
	a.log.Write(event.Stopped)
	return err
}

// pollModels refreshes the reported models, because the engine may load or unload models by itself.
func (a *App) pollModels(ctx context.Context) {
	for {
		a.server.RefreshModels(ctx)
		select {
		case <-ctx.Done():
			return
		case <-a.clock.After(modelPollInterval):
		}
	}
}

// drain announces that the agent is leaving and waits for running work, for at most maxDrainTime.
func (a *App) drain() {
	a.log.Write(event.Stopping)
	a.state.Leave()
	a.heartbeat.Trigger()
	began := a.clock.Now()
	for a.clock.Since(began) < minDrainTime || a.state.Active() > 0 {
		if a.clock.Since(began) > maxDrainTime {
			return
		}
		a.clock.Sleep(drainPollInterval)
	}
}

func (a *App) serveMetrics() {
	if a.cfg.Metrics == "" {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { a.metrics.Write(w) })
	s := &http.Server{Addr: a.cfg.Metrics, Handler: mux, ReadHeaderTimeout: connlimit.HeaderTimeout, IdleTimeout: connlimit.IdleTimeout}
	a.group.Go(func(ctx context.Context) {
		var lc net.ListenConfig
		l, err := lc.Listen(ctx, "tcp", a.cfg.Metrics)
		if err == nil {
			err = s.Serve(connlimit.New(l, metricsBound, a.clock))
		}
		if !errors.Is(err, http.ErrServerClosed) {
			a.log.Write(event.Stopped, "metrics", fmt.Sprint(err))
		}
	})
	a.group.Go(func(ctx context.Context) {
		<-ctx.Done()
		_ = s.Close()
	})
}
