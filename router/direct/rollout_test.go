package direct

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"slices"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/rollout"
	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/core/store"
)

// rolloutRouter is a router with a leader's loop that the test steps. Its store entries are those of a memoryStore.
type rolloutRouter struct {
	*App
	leader *rolloutLeader
	store  *memoryStore
	clock  *clockwork.FakeClock
}

func newRolloutRouter(vm ids.VM, m *memoryStore, clock *clockwork.FakeClock, r *Rollouts) *rolloutRouter {
	st := newState(Settings{VM: vm, FailureDomain: "north", Retries: Retries{WindowSeconds: 10}, Rollouts: r}, Options{
		Clock: clock, BootClock: newBootClock(clock), Log: event.New(io.Discard, slog.LevelError, string(vm)),
		Decode: Decoder{
			Layout: mirror.Layout{Config: "config", Upstreams: "upstreams/", Routers: "routers/", RolloutOrders: "orders/", Rollouts: "records/"},
			Config: func([]byte) (*routing.Config, error) {
				return routing.New(1, nil, []routing.Service{{Name: "desk"}}, nil, routing.Limits{}), nil
			},
			Upstream: func(key string, value []byte) (fleet.Entry, error) {
				id := strings.TrimPrefix(key, "upstreams/")
				return fleet.Entry{ID: ids.VM(id), Service: "desk", Address: id + ":80", Domain: "north", Slots: 6, Version: string(value)}, nil
			},
			RolloutOrder: func(_ string, value []byte) (rollout.Order, error) {
				return rollout.Order{Service: "desk", To: rollout.Version(value), Duration: 15 * time.Second}, nil
			},
			RolloutStatus: func(service ids.Service, s rollout.Status, _ []byte) (string, []byte) {
				value, _ := json.Marshal(s)
				return "status/" + string(service), value
			},
		},
	})
	st.broadcastSoon = func() {}
	a := &App{cfg: Settings{VM: vm}, state: st, shutdown: &shutdownTracker{clock: clock}}
	st.applyRouter = func(store.Change) {}
	return &rolloutRouter{App: a, leader: &rolloutLeader{state: st, store: m}, store: m, clock: clock}
}

// follow applies all items of the store, as the follower does.
func (r *rolloutRouter) follow() {
	var list []store.Change
	for _, i := range r.store.items {
		list = append(list, store.Change{Item: i})
	}
	slices.SortFunc(list, func(a, b store.Change) int { return int(a.Modified) - int(b.Modified) })
	r.state.applyChanges(list)
	r.state.storeAnswered()
}

// upstreamsFor returns the versions of the candidates of a request with a draw.
func (r *rolloutRouter) versionsFor(draw float64) []string {
	x := &exchange{handler: &handler{state: r.state}, service: routing.Service{Name: "desk"}, draw: draw}
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	var out []string
	for _, u := range x.candidates(map[ids.VM]bool{}, "", r.clock.Now()).upstreams {
		out = append(out, u.Version)
	}
	return slices.Compact(out)
}

func (r *rolloutRouter) record() rollout.Record {
	var out rollout.Record
	Expect(json.Unmarshal(r.store.items["records/desk"].Value, &out)).To(Succeed())
	return out
}

var _ = Describe("rollouts at the router", func() {
	var (
		m     *memoryStore
		clock *clockwork.FakeClock
	)
	BeforeEach(func() {
		m, clock = newMemoryStore(), clockwork.NewFakeClock()
		m.put("config", "1", 0)
		m.put("upstreams/a", "v1", 0)
		m.put("upstreams/b", "v1", 0)
	})
	newRouter := func(vm ids.VM) *rolloutRouter {
		return newRolloutRouter(vm, m, clock, &Rollouts{ExposeShare: 0.1, ExposeSlack: 50, RollbackMs: 5000})
	}
	// begin makes a router see an order whose new version has upstreams.
	begin := func(r *rolloutRouter) {
		r.follow()
		clock.Advance(4 * time.Second)
		m.put("orders/desk", "v2", 0)
		m.put("upstreams/n", "v2", 0)
		r.follow()
	}
	// lead makes a router lead and write its first record.
	lead := func(r *rolloutRouter) {
		for range 30 {
			r.leader.tick(context.Background())
			clock.Advance(100 * time.Millisecond)
		}
		ExpectWithOffset(1, r.leader.lease.ID).NotTo(BeZero())
	}
	// Guards against calls of the store, fields of the updates and a choice by version at sites without rollouts.
	It("do nothing without their settings", func() {
		r := newRolloutRouter("r1", m, clock, nil)
		r.follow()
		m.put("orders/desk", "v2", 0)
		m.put("upstreams/n", "v2", 0)
		r.follow()
		Expect(r.versionsFor(0)).To(ConsistOf("v1", "v2"))
		Expect(r.buildUpdate().GetRollouts()).To(BeEmpty())
		Expect(r.state.decode.Layout.Prefixes()).To(Equal([]string{"upstreams/", "config", "routers/"}))
	})
	It("call the store only while an order is without a verdict", func() {
		r := newRouter("r1")
		r.follow()
		for range 20 {
			r.leader.tick(context.Background())
			clock.Advance(time.Second)
		}
		Expect(m.calls).To(BeZero())
		Expect(r.buildUpdate().GetRollouts()).To(BeEmpty())
	})
	// Guards against requests to a version before its order, and against retries that leave the version of their request.
	It("send a request to one version, for all its attempts", func() {
		r := newRouter("r1")
		r.follow()
		clock.Advance(4 * time.Second)
		m.put("upstreams/n", "v2", 0)
		r.follow()
		Expect(r.versionsFor(0)).To(Equal([]string{"v1"}), "there is no order yet")
		m.put("orders/desk", "v2", 0)
		r.follow()
		Expect(r.versionsFor(0)).To(Equal([]string{"v1"}), "there is no record yet")
		lead(r)
		Expect(r.record().Phase).To(Equal(rollout.Canary))
		Expect(r.versionsFor(0)).To(Equal([]string{"v2"}))
		Expect(r.versionsFor(0)).To(Equal([]string{"v2"}))
		Expect(r.versionsFor(0.999)).To(Equal([]string{"v1"}))
		Expect(string(m.items["status/desk"].Value)).To(MatchJSON(`{"state":"running","to":"v2"}`))
	})
	// Guards against a decision that is lost, or made twice, because the answer to its write was lost.
	It("read a decision back whose answer is lost", func() {
		r := newRouter("r1")
		begin(r)
		m.loseAnswers = 2
		lead(r)
		Expect(r.record().Phase).To(Equal(rollout.Canary))
		Expect(r.state.rollouts.services["desk"].recordAt).To(Equal(m.items["records/desk"].Modified))
	})
	// Guards against a leader that was frozen or cut off and writes after its successor.
	It("write nothing once another router leads", func() {
		r := newRouter("r1")
		begin(r)
		lead(r)
		_ = m.Revoke(context.Background(), r.leader.lease)
		m.put("records/leader", `{"router":"r2","lease":99}`, 99)
		before := m.items["records/desk"]
		r.leader.renewAt = clock.Now().Add(time.Hour)
		r.leader.step(context.Background(), "desk")
		for range 3 {
			clock.Advance(3 * time.Second)
			for range 20 {
				r.state.mu.Lock()
				s := r.state.rollouts.services["desk"]
				s.RecordAnswer(s.RecordRequest(rollout.Request{Route: "a", Version: "v1", Upstream: "a", Domain: "north"}, clock.Now()),
					rollout.Outcome{Duration: time.Millisecond}, clock.Now())
				r.state.mu.Unlock()
			}
			if r.leader.lease.ID != 0 {
				r.leader.step(context.Background(), "desk")
			}
		}
		Expect(m.items["records/desk"]).To(Equal(before))
		Expect(r.leader.lease.ID).To(BeZero(), "it has learnt that it does not lead")
	})
	// Guards against a rollout that stands still until a long lease of a dead leader has ended.
	It("are taken over from a leader that sends no updates while others do", func() {
		r := newRouter("r1")
		begin(r)
		m.put("records/leader", `{"router":"r2","lease":99}`, 99)
		r.follow()
		other := newRouter("r3")
		other.follow()
		for range 8 {
			r.leader.tick(context.Background())
			clock.Advance(200 * time.Millisecond)
			r.applyUpdate(other.buildUpdate())
		}
		r.leader.tick(context.Background())
		Expect(r.leader.lease.ID).NotTo(BeZero())
		Expect(string(m.items["records/leader"].Value)).To(ContainSubstring(`"r1"`))
	})
	// Guards against a bad version that goes on at other routers while the store is away.
	It("stop a bad version at all routers while the store is away", func() {
		r, other := newRouter("r1"), newRouter("r2")
		begin(r)
		lead(r)
		other.follow()
		Expect(other.versionsFor(0)).To(Equal([]string{"v2"}))
		m.away = true
		r.state.mu.Lock()
		s := r.state.rollouts.services["desk"]
		answer := func(version rollout.Version, upstream ids.VM, domain ids.FailureDomain, failed bool) {
			sent := s.RecordRequest(rollout.Request{Route: "a", Version: version, Upstream: upstream, Domain: domain, UpstreamAge: time.Minute}, clock.Now())
			s.RecordAnswer(sent, rollout.Outcome{Failed: failed, Duration: 10 * time.Millisecond}, clock.Now())
		}
		for i := range 50 {
			answer("v1", "a", "north", false)
			answer("v2", []ids.VM{"n", "m"}[i%2], []ids.FailureDomain{"north", "south"}[i%2], i%3 == 0)
		}
		r.state.mu.Unlock()
		update := r.buildUpdate()
		Expect(r.versionsFor(0)).To(Equal([]string{"v1"}))
		other.applyUpdate(update)
		Expect(other.versionsFor(0)).To(Equal([]string{"v1"}))
		m.away = false
		clock.Advance(3 * time.Second)
		for range 5 {
			r.leader.tick(context.Background())
			clock.Advance(400 * time.Millisecond)
		}
		Expect(r.leader.lease.ID).To(BeZero(), "nobody leads without an order to decide on")
		Expect(r.record().Phase).To(Equal(rollout.RolledBack))
		Expect(string(m.items["status/desk"].Value)).To(MatchJSON(`{"state":"rolled_back","to":"v2"}`))
	})
})
