package direct

import (
	"fmt"
	"testing"
	"time"

	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/pace"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/routing"
)

// newPlacement returns a generation that is to be placed in a fleet of the given size whose routers have reported work.
func newPlacement(routers, engines int) *stream {
	st, _ := newTestState()
	now := st.clock.Now()
	for i := range engines {
		st.fleet.Put(fleet.Entry{
			ID: ids.VM(fmt.Sprintf("i-%08x", i)), Service: "pool", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Domain: ids.FailureDomain(fmt.Sprint("d", i%5)), Slots: 16,
		}, 0, time.Now())
	}
	for i := range routers {
		work := map[ids.VM]placement.Work{}
		for j := range 10 {
			work[ids.VM(fmt.Sprintf("i-%08x", (i*31+j*97)%engines))] = placement.Work{Running: 1, Memory: 5700}
		}
		st.picker.UpdatePeer(ids.VM(fmt.Sprint("entry-", i)), work, nil, now)
	}
	st.picker.Routers = routers
	x := &exchange{
		handler: &handler{state: st}, req: relay.Request{Prompt: relay.Prompt{Tokens: 5200, MaxOutput: 560}},
		route:   routing.Route{Resumable: true, Kind: routing.Streaming},
		service: routing.Service{Name: "pool", Engine: &routing.Engine{Slots: 16, MemoryTokens: 55_000, Backups: true}},
	}
	return &stream{
		exchange: x, model: x.engineModel(), tried: map[ids.VM]bool{}, failedDomains: map[ids.FailureDomain]bool{},
		placementReq: x.placementRequest(),
	}
}

// BenchmarkPlace measures the placement of one generation and its copy in a fleet of the given size.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []struct{ routers, engines int }{{4, 24}, {33, 120}, {300, 3000}} {
		b.Run(fmt.Sprintf("%d routers, %d engines", size.routers, size.engines), func(b *testing.B) {
			s := newPlacement(size.routers, size.engines)
			b.ReportAllocs()
			for b.Loop() {
				r, err := s.place()
				if err != nil {
					b.Fatal(err)
				}
				s.release(r)
			}
		})
	}
}

// BenchmarkPlacePaced measures the placement of one generation while a sixth of the engines have just started.
func BenchmarkPlacePaced(b *testing.B) {
	s := newPlacement(33, 120)
	s.pace = pace.New()
	for i := range 20 {
		s.pace.Begin(pace.Start{ID: ids.VM(fmt.Sprintf("i-%08x", i))}, pace.Registered, s.clock.Now())
	}
	b.ReportAllocs()
	for b.Loop() {
		r, err := s.place()
		if err != nil {
			b.Fatal(err)
		}
		s.release(r)
	}
}
