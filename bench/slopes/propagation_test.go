package slopes_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/rpc"
	"bilberrylug.dev/core/settings"
	"bilberrylug.dev/router/fleetview"
	"bilberrylug.dev/router/peer"
)

// minimalRouter is the part of a router that exchanges members and configurations with its peers.
type minimalRouter struct {
	view     *fleetview.View
	config   *activeconfig.Holder
	exchange *peer.Exchange
}

// startRouter starts the router with number i and returns it with its address.
func startRouter(b *testing.B, g *group.Group, i int, seeds []string) (*minimalRouter, string) {
	var lc net.ListenConfig
	listener, err := lc.Listen(g.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	address := listener.Addr().String()
	clock := clockwork.NewRealClock()
	r := &minimalRouter{config: activeconfig.New(false)}
	vm := ids.VM(fmt.Sprintf("entry-%03d", i))
	r.view = fleetview.New(fleetview.Options{
		Self:   membership.Member{VM: vm, Role: membership.Router, Address: address, Region: "r", FailureDomain: "d", Incarnation: 1},
		Config: r.config, Clock: clock, Rand: rand.New(rand.NewPCG(uint64(i), 2)),
	})
	dialer, _ := rpc.NewDialer(settings.TLS{})
	o := peer.Options{
		View: r.view, Config: r.config, Dialer: dialer, Seeds: seeds, Grants: peer.NewGrants(r.view, r.config, dialer, clock),
		Clock: clock, Log: event.New(io.Discard, slog.LevelError, "b"), Epoch: uint64(i + 1), OnChange: func() { r.exchange.Trigger() },
		OnNewerConfig: func(from string) {
			g.Go(func(ctx context.Context) {
				if changed, _ := peer.Fetch(ctx, dialer, from, r.config, vm); changed {
					r.exchange.Trigger()
				}
			})
		},
	}
	server := peer.NewServer(o)
	r.exchange = peer.NewExchange(o)
	g.Go(func(ctx context.Context) {
		_ = rpc.Serve(ctx, listener, settings.TLS{}, func(any, []byte) {}, server.Register)
	})
	g.Go(r.exchange.Run)
	return r, address
}

// BenchmarkRevisionPropagation measures the time from the arrival of a revision at one router until it is active on all of
// them, in one process over loopback connections. It reports the longest time.
func BenchmarkRevisionPropagation(b *testing.B) {
	for _, n := range []int{10, 40, 160} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := group.New(b.Context())
			defer g.Stop()
			var routers []*minimalRouter
			var seeds []string
			for i := range n {
				r, address := startRouter(b, g, i, seeds[:min(len(seeds), 3)])
				routers = append(routers, r)
				seeds = append(seeds, address)
			}
			waitUntil(func() bool { return all(routers, func(r *minimalRouter) bool { return len(r.view.Routers()) == n }) })
			set, _ := (&declared.Config{Services: []declared.Service{{Name: service, Kind: declared.ModelService}}}).Chunks()
			head := &declared.Head{}
			var longest time.Duration
			for b.Loop() {
				head = head.Next(declared.Summary{}, set)
				began := time.Now()
				_, _ = routers[0].config.Accept(head, set.Bodies)
				routers[0].exchange.Trigger()
				waitUntil(func() bool {
					return all(routers, func(r *minimalRouter) bool { return r.config.Revision() == head.Revision })
				})
				longest = max(longest, time.Since(began))
			}
			b.ReportMetric(float64(longest.Milliseconds()), "longest_ms")
		})
	}
}

func waitUntil(done func() bool) {
	for !done() {
		time.Sleep(time.Millisecond)
	}
}

func all(routers []*minimalRouter, ok func(*minimalRouter) bool) bool {
	for _, r := range routers {
		if !ok(r) {
			return false
		}
	}
	return true
}

// heapBytes returns the heap size after a garbage collection.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkFootprint measures the heap size of a router's member table and of its configuration.
func BenchmarkFootprint(b *testing.B) {
	for _, n := range []int{300, 3580} {
		b.Run(fmt.Sprintf("members_%d", n), func(b *testing.B) {
			before := heapBytes()
			t := membership.NewTable(member(0), membership.Timeouts{})
			for i := range n {
				t.Merge(start, []membership.Member{member(i)})
			}
			for b.Loop() {
				t.Unacknowledged("peer")
			}
			b.ReportMetric(float64(heapBytes()-before), "heap_B")
			runtime.KeepAlive(t)
		})
	}
	for _, n := range []int{1000, 19000} {
		b.Run(fmt.Sprintf("workspaces_%d", n), func(b *testing.B) {
			cfg := &declared.Config{}
			for i := range n {
				name := fmt.Sprintf("workspace-%05d", i)
				cfg.Workspaces = append(cfg.Workspaces, declared.Workspace{Name: ids.Workspace(name), KeyHash: declared.HashKey(name), Services: []ids.Service{service}})
			}
			set, _ := cfg.Chunks()
			head := (&declared.Head{}).Next(declared.Summary{}, set)
			before := heapBytes()
			h := activeconfig.New(false)
			_, _ = h.Accept(head, set.Bodies)
			for b.Loop() {
				h.Revision()
			}
			b.ReportMetric(float64(heapBytes()-before), "heap_B")
			b.ReportMetric(float64(chunkBytes(set)), "chunks_B")
			runtime.KeepAlive(h)
		})
	}
}

func chunkBytes(set declared.ChunkSet) int {
	n := 0
	for _, body := range set.Bodies {
		n += len(body)
	}
	return n
}
