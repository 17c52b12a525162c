package main

import (
	"context"
	"os"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/process"
	"bilberrylug.dev/platform"
	"bilberrylug.dev/router/direct"
	"bilberrylug.dev/router/upstream"
)

// #include <stdlib.h>
import "C" // The platform runs only programs that are linked to the C library.

// dropReport is the pause between reports of dropped log lines.
const dropReport = time.Second

func reportDropped(out *event.Queue, log *event.Log) {
	if n := out.Dropped(); n > 0 {
		log.Write(event.LinesDropped, "lines", n)
	}
}

// serveDirect runs a router that speaks to the platform's upstreams itself.
func serveDirect(ctx context.Context, cfg direct.Settings, path string) error {
	hangups := process.Hangups()
	clock := clockwork.NewRealClock()
	out := event.NewQueue(os.Stdout)
	g := group.New(context.Background())
	g.Go(out.Run)
	defer g.Stop()
	log := event.New(out, cfg.Level(), string(cfg.VM))
	s := platform.NewStore(cfg.Store.Address, upstream.Dial)
	a, err := direct.New(cfg, direct.Options{
		Clock: clock, Log: log, Store: s, Dialect: platform.Dialect{}, Dial: upstream.Dial, CloseStoreConns: s.CloseIdleConnections,
		Decode: direct.Decoder{Layout: platform.Layout, Config: platform.ParseConfig, Upstream: platform.ParseUpstream},
	})
	if err != nil {
		return err
	}
	g.Go(func(ctx context.Context) { group.Every(ctx, clock, dropReport, func() { reportDropped(out, log) }) })
	g.Go(func(ctx context.Context) { a.Reload(ctx, path, hangups) })
	return a.Run(ctx)
}
