package slopes_test

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"syscall"
	"testing"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/membership"
	"bilberrylug.dev/core/rpc"
	"bilberrylug.dev/core/settings"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/router/fleetview"
	"bilberrylug.dev/router/peer"
)

// BenchmarkHeartbeatCall measures one heartbeat over a loopback connection, with client and server in one process.
func BenchmarkHeartbeatCall(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var lc net.ListenConfig
	listener, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	clock := clockwork.NewRealClock()
	config := activeconfig.New(false)
	self := member(0)
	self.Role = membership.Router
	v := fleetview.New(fleetview.Options{Self: self, Config: config, Clock: clock, Rand: rand.New(rand.NewPCG(1, 2))})
	dialer, _ := rpc.NewDialer(settings.TLS{})
	server := peer.NewServer(peer.Options{
		View: v, Config: config, Dialer: dialer, Grants: peer.NewGrants(v, config, dialer, clock), Clock: clock,
		Log: event.New(io.Discard, slog.LevelError, "b"), Epoch: 7, OnNewerConfig: func(string) {}, OnChange: func() {},
	})
	g := group.New(ctx)
	defer g.Stop()
	g.Go(func(ctx context.Context) {
		_ = rpc.Serve(ctx, listener, settings.TLS{}, func(any, []byte) {}, server.Register)
	})
	var members []membership.Member
	for i := range 3580 {
		members = append(members, member(i))
	}
	v.MergeMembers(members)
	_, version := v.ChangedAfter(0)
	client := wire.NewDRPCRouterClient(dialer.Conn(listener.Addr().String()))
	request := &wire.ExchangeRequest{
		Header: &wire.Header{Sender: "upstream-0001"}, Role: "agent", KnownEpoch: 7, KnownVersion: version,
		Load: &wire.Load{Running: 8, QueuedTokens: 1000, Slots: 16, CadenceUs: 30000},
	}
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	var reply *wire.ExchangeReply
	for b.Loop() {
		if reply, err = client.Exchange(ctx, request); err != nil {
			b.Fatal(err)
		}
	}
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	spent := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	b.ReportMetric(float64(spent)/float64(b.N), "cpu_ns/op")
	b.ReportMetric(float64(wireBytes(request)), "request_B")
	b.ReportMetric(float64(wireBytes(reply)), "reply_B")
}
