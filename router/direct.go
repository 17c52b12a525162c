package main

import (
	"context"
	"os"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/boottime"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/process"
	"bilberrylug.dev/platform"
	"bilberrylug.dev/router/direct"
	"bilberrylug.dev/router/upstream"
)

// #include <stdlib.h>
import "C" // The platform only runs programs that are linked against the C library.

// dropReportInterval is the time between reports of the number of dropped log lines.
const dropReportInterval = time.Second

func reportDropped(out *event.Queue, log *event.Log) {
	if n := out.Dropped(); n > 0 {
		log.Write(event.LinesDropped, "lines", n)
	}
}

// serveDirect runs a router that calls the platform's upstreams directly. path is the settings file, which is reloaded on
// SIGHUP.
func serveDirect(ctx context.Context, cfg direct.Settings, path string) error {
	hangups := process.Hangups()
	clock := clockwork.NewRealClock()
	out := event.NewQueue(os.Stdout)
	log := event.New(out, cfg.Level(), string(cfg.VM))
	g := group.NewRecovering(context.Background(), log.Panic)
	g.Keep(clock, out.Run)
	defer g.Stop()
	boot, err := boottime.System()
	if err != nil {
		return err
	}
	s := platform.NewStore(cfg.Store.Address, upstream.Dial, clock)
	a, err := direct.New(cfg, direct.Options{
		Clock: clock, BootClock: boot, Log: log, Store: s, Dialect: platform.Dialect{}, Dial: upstream.Dial,
		Decode: direct.Decoder{Layout: platform.Layout, Config: platform.ParseConfig, Upstream: platform.ParseUpstream, RolloutOrder: platform.ParseRolloutOrder, RolloutStatus: platform.RolloutStatus},
	})
	if err != nil {
		return err
	}
	g.Go(func(ctx context.Context) {
		group.Every(ctx, clock, dropReportInterval, func() { reportDropped(out, log) })
	})
	g.Go(func(ctx context.Context) { a.Reload(ctx, path, hangups) })
	return a.Run(ctx)
}
