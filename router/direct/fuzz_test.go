package direct

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"google.golang.org/protobuf/proto"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/core/wire"

	"github.com/jonboulle/clockwork"
)

// FuzzTell passes state updates of another router with arbitrary contents to a router that is not running.
func FuzzTell(f *testing.F) {
	seed, err := proto.Marshal(&wire.News{
		Sender: "other", Address: "10.0.0.2:80", Complete: true, ChangesSince: 0, ChangesUpTo: 9,
		Work:     []*wire.Work{{Upstream: "a", UnreadTokens: 4_000_000_000, Running: 1, SlownessPercent: 900, Failing: true}},
		Lost:     []*wire.LostUpstream{{Upstream: "a", Started: -1}},
		Renamed:  []*wire.RenamedUpstream{{Old: "a", Name: "b"}},
		Counts:   []*wire.Counts{{Service: "s", Requests: 1, Repeats: 4_000_000_000}},
		Changes:  []*wire.StoreChange{{Key: "config", OmittedBytes: 4_000_000_000, Revision: 5}, {Key: "upstreams/a", Revision: 3}, {Key: "routers/b", Value: []byte("{"), Revision: 4}},
		Status:   &wire.RouterStatus{Revision: 9, Holds: 5, MinIntervalMs: 4_000_000_000},
		Contacts: []*wire.StoreContact{{Router: "x", AgeMs: 4_000_000_000}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, message []byte) {
		n := &wire.News{}
		if proto.Unmarshal(message, n) != nil {
			return
		}
		clock := clockwork.NewFakeClock()
		a, err := New(Settings{VM: "entry", Address: "127.0.0.1", Peers: "127.0.0.1:1", Retries: Retries{WindowSeconds: 1}}, Options{
			Clock: clock, BootClock: newBootClock(clock), Log: event.New(io.Discard, slog.LevelError, "entry"),
			Decode: Decoder{
				Layout:   mirror.Layout{Config: "config", Upstreams: "upstreams/", Routers: "routers/"},
				Config:   func([]byte) (*routing.Config, error) { return routing.New(1, nil, nil, nil, routing.Limits{}), nil },
				Upstream: func(key string, _ []byte) (fleet.Entry, error) { return fleet.Entry{ID: "a", Address: key}, nil },
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		before := a.broadcaster.Revision()
		for range 2 {
			if _, err := a.broadcaster.Tell(context.Background(), n); err != nil {
				t.Fatal(err)
			}
		}
		if a.broadcaster.Revision() < before {
			t.Fatal("the revision has gone back")
		}
		a.buildUpdate()
		a.expire()
		_, _ = a.broadcaster.Pull(context.Background(), &wire.PullRequest{Since: uint64(len(message))})
		_, _ = a.broadcaster.Fetch(context.Background(), &wire.ChunkRequest{Revision: 1, Offset: uint32(len(message))})
	})
}
