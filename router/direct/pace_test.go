package direct

import (
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/pace"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/core/settings"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/core/wire"
)

// pacedState is a state that paces upstreams. Its configuration has been active for long.
type pacedState struct {
	*state
	clock *clockwork.FakeClock
}

func newPacedState(list ...string) pacedState {
	st, _ := newTestState()
	st.pace = pace.New()
	st.decode.Config = func([]byte) (*routing.Config, error) {
		return routing.New(1, nil, []routing.Service{{Name: "pool"}}, nil, routing.Limits{}), nil
	}
	st.decode.Upstream = func(key string, value []byte) (fleet.Entry, error) {
		id := strings.TrimPrefix(key, "upstreams/")
		return fleet.Entry{ID: ids.VM(id), Service: "pool", Address: id, Domain: "north", Slots: 6, Started: int64(len(value))}, nil
	}
	p := pacedState{st, st.clock.(*clockwork.FakeClock)}
	for _, id := range list {
		p.register(id, 1)
	}
	st.applyChanges([]store.Change{configSet(1)})
	p.storeAnswered()
	p.clock.Advance(firstListTime)
	return p
}

// register applies the entry of an upstream's start.
func (p pacedState) register(id string, started int) {
	p.applyChanges([]store.Change{{Item: store.Item{Key: "upstreams/" + id, Value: make([]byte, started)}}})
}

// outcome records the end of a call.
func (p pacedState) outcome(id ids.VM, a *answer, err error) {
	u, _ := p.fleet.Get(id)
	x := &exchange{
		handler: &handler{state: p.state}, service: routing.Service{Name: "pool"}, r: httptestRequest(), ctx: httptestRequest().Context(),
	}
	x.paceCall(u, a, err, 10*time.Millisecond)
	if err == nil {
		x.recordOutcome(u, a, nil)
	}
}

func httptestRequest() *http.Request {
	r, err := http.NewRequest(http.MethodGet, "/", nil)
	Expect(err).NotTo(HaveOccurred())
	return r
}

func withStatus(code int) *answer { return &answer{resp: &http.Response{StatusCode: code}} }

// generation returns a generation that is to be placed.
func (p pacedState) generation() *stream {
	return &stream{
		exchange: &exchange{handler: &handler{state: p.state}, service: routing.Service{Name: "pool"}}, model: placement.DefaultEngineModel,
		tried: map[ids.VM]bool{}, failedAlive: map[ids.VM]bool{}, failedDomains: map[ids.FailureDomain]bool{},
		placementReq: placement.Request{Prompt: 1000, Output: 100},
	}
}

// place places a number of generations, and returns how many of them each upstream got.
func (p pacedState) place(n int) map[ids.VM]int {
	out := map[ids.VM]int{}
	for range n {
		r, err := p.generation().place()
		Expect(err).NotTo(HaveOccurred())
		out[r.upstream.ID]++
	}
	return out
}

var _ = Describe("the window of an upstream", func() {
	DescribeTable("begins with", func(event func(p pacedState)) {
		p := newPacedState("a", "b")
		Expect(p.pace.Len()).To(BeZero())
		event(p)
		Expect(p.pace.Len()).To(Equal(1))
	},
		Entry("a new start", func(p pacedState) { p.register("a", 2) }),
		Entry("a new upstream", func(p pacedState) { p.register("c", 1) }),
		Entry("a start at another upstream's address", func(p pacedState) {
			u, _ := p.fleet.Get("a")
			p.fleet.RecordAnswer(u, p.boot.Now(), p.clock.Now())
			p.updateID(u, "c", p.boot.Now())
		}),
		Entry("the return from a loss", func(p pacedState) {
			u, _ := p.fleet.Get("a")
			p.markLost(u, "test")
			p.clock.Advance(minLoss)
			p.markRecovered(u)
		}),
		Entry("an ejection", func(p pacedState) {
			for range 3 {
				p.outcome("a", withStatus(http.StatusInternalServerError), nil)
			}
		}),
		Entry("a pause that the upstream asked for", func(p pacedState) {
			u, _ := p.fleet.Get("a")
			p.recordStatements(u, relay.Reply{RetryAfter: time.Second}, p.boot.Now())
		}),
	)
	DescribeTable("does not begin with", func(event func(p pacedState)) {
		p := newPacedState("a", "b")
		event(p)
		Expect(p.pace.Len()).To(BeZero())
	},
		Entry("an entry that is written again", func(p pacedState) { p.register("a", 1) }),
		// Guards against held-back upstreams after each lost packet.
		Entry("the return from a short loss", func(p pacedState) {
			u, _ := p.fleet.Get("a")
			p.markLost(u, "test")
			p.clock.Advance(minLoss - time.Millisecond)
			p.markRecovered(u)
		}),
		// Guards against held-back upstreams after an outage of the store.
		Entry("the same start that had left the store", func(p pacedState) {
			p.applyChanges([]store.Change{{Item: store.Item{Key: "upstreams/a"}, Removed: true}})
			p.register("a", 1)
		}),
		Entry("two failures", func(p pacedState) {
			for range 2 {
				p.outcome("a", withStatus(http.StatusInternalServerError), nil)
			}
		}),
	)
	It("does not begin without the setting", func() {
		p := newPacedState("a", "b")
		p.pace = nil
		p.register("a", 2)
		p.outcome("a", withStatus(http.StatusOK), nil)
		p.outcome("a", nil, errUpstreamFull)
		p.retainWindows()
		Expect(p.place(4)).To(HaveLen(2))
		a := &App{state: p.state, shutdown: &shutdownTracker{clock: p.clock}}
		Expect(a.buildUpdate().GetWindows()).To(BeEmpty())
	})
	It("is switched on by the settings", func() {
		path := filepath.Join(GinkgoT().TempDir(), "router.yaml")
		load := func(more string) Settings {
			text := "vm: r\nfailure_domain: d\naddress: 127.0.0.1\ncallers: :1\nreadiness: :2\npeers: :3\nmetrics_port: 4\nstop_seconds: 1\n" +
				"store:\n  address: :5\nretries:\n  window_seconds: 1\n" + more
			Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
			cfg, err := settings.Load[Settings](path)
			Expect(err).NotTo(HaveOccurred())
			return cfg
		}
		o := Options{Clock: clockwork.NewFakeClock(), Log: event.New(io.Discard, slog.LevelError, "r")}
		Expect(newState(load(""), o).pace).To(BeNil())
		Expect(newState(load("placement:\n  pace: true\n"), o).pace).NotTo(BeNil())
	})
	It("is forgotten with its upstream", func() {
		p := newPacedState("a", "b")
		p.register("a", 2)
		p.fleet.Forget("a", 2, p.clock.Now())
		p.expireUpstreams()
		Expect(p.pace.Len()).To(BeZero())
	})
	It("is carried over when the entry of a start arrives that was found at its address", func() {
		p := newPacedState("a", "b")
		u, _ := p.fleet.Get("a")
		p.fleet.RecordAnswer(u, p.boot.Now(), p.clock.Now())
		p.updateID(u, "c", p.boot.Now())
		p.pace.RecordAnswer(pace.Answer{Start: pace.Start{ID: "c"}, Ratio: 1}, p.clock.Now())
		p.decode.Upstream = func(string, []byte) (fleet.Entry, error) {
			return fleet.Entry{ID: "c", Service: "pool", Address: "a", Domain: "north", Slots: 6, Started: 7}, nil
		}
		p.register("c", 7)
		p.expireUpstreams()
		reports := p.pace.Reports(p.clock.Now())
		Expect(reports).To(HaveLen(1))
		Expect(reports[0].Start).To(Equal(pace.Start{ID: "c", Started: 7}))
		Expect(reports[0].Gained).To(Equal(1.0))
	})
})

var _ = Describe("generations while one of three engines has just started", func() {
	// Guards against the flood that an engine gets that looks empty.
	It("go to it up to its window, beyond which the others come first", func() {
		p := newPacedState("a", "b", "c")
		p.place(18)
		p.register("d", 1)
		got := p.place(4)
		Expect(got["d"]).To(BeNumerically("<=", 2))
		Expect(got["d"]).To(BeNumerically(">", 0))
		p.pace = pace.New()
		Expect(p.place(4)["d"]).To(BeNumerically(">", 2), "baseline: no window")
	})
	It("go to it although its window is full if there is no other, also copies of their KV caches", func() {
		p := newPacedState("a")
		p.register("b", 1)
		p.place(8)
		s := p.generation()
		s.tried["a"] = true
		r, err := s.place()
		Expect(err).NotTo(HaveOccurred())
		Expect(r.upstream.ID).To(Equal(ids.VM("b")))
	})
	It("go to it more and more with each good answer, also with those that another router has seen", func() {
		p, other := newPacedState("a", "b", "c"), newPacedState("a", "b", "c")
		p.place(18)
		for _, q := range []pacedState{p, other} {
			q.register("d", 1)
		}
		Expect(p.place(8)["d"]).To(BeNumerically("<=", 3))
		for range 4 {
			other.outcome("d", withStatus(http.StatusOK), nil)
		}
		from := &App{state: other.state, shutdown: &shutdownTracker{clock: other.clock}}
		encoded, err := proto.Marshal(from.buildUpdate())
		Expect(err).NotTo(HaveOccurred())
		var update wire.News
		Expect(proto.Unmarshal(encoded, &update)).To(Succeed())
		to := &App{state: p.state, shutdown: &shutdownTracker{clock: p.clock}}
		to.applyUpdate(&update)
		Expect(p.place(8)["d"]).To(BeNumerically(">", 3))
	})
})

var _ = Describe("calls while one of three upstreams has just started", func() {
	It("go to the others while these have free slots and its window is full", func() {
		p := newPacedState("a", "b", "c")
		p.register("c", 2)
		got := map[ids.VM]int{}
		x := &exchange{handler: &handler{state: p.state}, service: routing.Service{Name: "pool"}}
		for range 11 {
			u, _, _, refusal := x.chargeCall(nil)
			Expect(refusal).To(BeNil())
			got[u.ID]++
		}
		Expect(got["c"]).To(Equal(2))
		Expect(got["a"] + got["b"]).To(Equal(9))
	})
})
