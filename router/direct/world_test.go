package direct

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/relay"
	"bilberrylug.dev/core/routing"
	"bilberrylug.dev/core/store"
	"bilberrylug.dev/router/upstream"
)

const upstreamAddress = "10.0.0.1:80"

// newTestWorld returns a world in which the entry "upstreams/ID" with any value names an upstream at the same address, and the
// far ends of the connections that it opens.
func newTestWorld() (*world, func() net.Conn) {
	var far net.Conn
	w := newWorld(Settings{VM: "entry", FailureDomain: "north", AddressReuseSeconds: 2, Retries: Retries{WindowSeconds: 10}}, Options{
		Clock: clockwork.NewFakeClock(), Log: event.New(io.Discard, slog.LevelError, "entry"),
		Dial: func(context.Context, string, string) (net.Conn, error) {
			near, other := net.Pipe()
			far = other
			return near, nil
		},
		Decode: Decoder{
			Layout: mirror.Layout{Config: "config", Upstreams: "upstreams/", Routers: "routers/"},
			Config: func(value []byte) (*routing.Config, error) {
				return routing.New(routing.Version(len(value)), nil, nil, nil, routing.Limits{}), nil
			},
			Upstream: func(key string, _ []byte) (fleet.Entry, error) {
				id := ids.VM(strings.TrimPrefix(key, "upstreams/"))
				return fleet.Entry{ID: id, Service: "desk", Address: upstreamAddress, Domain: "north", Slots: 6}, nil
			},
		},
	})
	w.nudge = func() {}
	return w, func() net.Conn { return far }
}

func registered(id string, at store.Revision) []store.Change {
	return []store.Change{{Item: store.Item{Key: "upstreams/" + id, Modified: at}}}
}

// refusing is a dialect that only refuses.
type refusing struct{ relay.Dialect }

// Refuse implements relay.Dialect.
func (refusing) Refuse(http.Header, relay.Request, time.Duration) {}

// keepConnection puts an idle connection into the pool and returns how to find out whether it has been closed.
func keepConnection(w *world, far func() net.Conn) func() bool {
	conn, err := w.pool.Dial(context.Background(), upstreamAddress)
	Expect(err).NotTo(HaveOccurred())
	w.pool.Put(conn)
	Expect(far().SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	return func() bool {
		_, err := far().Read(make([]byte, 1))
		return errors.Is(err, io.EOF)
	}
}

// configured is a change to the configuration of the given version.
func configured(version int) store.Change {
	return store.Change{Item: store.Item{Key: "config", Value: make([]byte, version)}}
}

var _ = Describe("the router's view of upstreams", func() {
	It("keeps no connection to the upstream that an address had before", func() {
		w, far := newTestWorld()
		w.changed(registered("a", 1))
		ended := keepConnection(w, far)
		w.changed(registered("b", 2))
		Expect(ended()).To(BeTrue(), "a request that may run once would be lost on it")
		Expect(w.fleet.Usable("desk")).To(HaveLen(1))
	})
	It("adopts the new name of an engine that has just started anew, whether the store answers or not", func() {
		w, _ := newTestWorld()
		w.changed(registered("a", 1))
		w.storeAnswered()
		w.fleet.RecordAnswer("a", w.clock.Now())
		u, _ := w.fleet.Get("a")
		w.adopt(u, "b")
		Expect(w.fleet.Usable("desk")).To(HaveLen(1), "a store that is just about to fall silent would leave none")
		Expect(w.fleet.Usable("desk")[0].ID).To(Equal(ids.VM("b")))
	})
	It("keeps no connection to an upstream that another router has lost", func() {
		w, far := newTestWorld()
		w.changed(registered("a", 1))
		ended := keepConnection(w, far)
		w.doubt("a", 0)
		Expect(ended()).To(BeTrue(), "a call that may run once would be lost on it")
	})
	It("failure domain restarted under long generations: one whose run found another engine there goes to another domain", func() {
		w, _ := newTestWorld()
		w.decode.Upstream = func(key string, _ []byte) (fleet.Entry, error) {
			id := ids.VM(strings.TrimPrefix(key, "upstreams/"))
			return fleet.Entry{ID: id, Service: "engines", Address: string(id), Domain: ids.FailureDomain(id[:1]), Slots: 6}, nil
		}
		for i, id := range []string{"n1", "n2", "n3", "s1"} {
			w.changed(registered(id, store.Revision(i+1)))
		}
		w.picker.Domain = "n"
		s := &stream{
			exchange: &exchange{edge: &edge{world: w}, service: routing.Service{Name: "engines"}}, model: placement.DefaultEngineModel,
			tried: map[ids.VM]bool{}, failedAt: map[ids.VM]bool{}, lostIn: map[ids.FailureDomain]bool{},
		}
		s.r = httptest.NewRequest(http.MethodPost, "/", nil)
		r, err := s.place()
		Expect(err).NotTo(HaveOccurred())
		Expect(r.at.Domain).To(Equal(ids.FailureDomain("n")))
		s.unplace(r)
		s.afterRun(r, errMoved)
		r, err = s.place()
		Expect(err).NotTo(HaveOccurred())
		Expect(r.at.Domain).To(Equal(ids.FailureDomain("s")), "each engine of the domain would refuse it in turn")
	})
	It("all engines down at once: a generation is refused after a few tries, and told that it has not run", func() {
		w, _ := newTestWorld()
		dials := 0
		w.pool = upstream.NewPool(func(context.Context, string, string) (net.Conn, error) {
			dials++
			return nil, errors.New("connection refused")
		}, w.clock)
		w.changed(registered("a", 1))
		answer := httptest.NewRecorder()
		x := &exchange{
			edge: &edge{world: w, dialect: refusing{}}, w: answer, r: httptest.NewRequest(http.MethodPost, "/", nil),
			ctx: context.Background(), service: routing.Service{Name: "desk"},
			route: routing.Route{Kind: routing.Streaming, Resumable: true, MaxAttempts: 5}, end: w.clock.Now().Add(25 * time.Second),
		}
		x.stream()
		Expect(dials).To(BeNumerically("<=", notRunAttempts))
		Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
	})
	It("knows the upstreams before the configuration that names their services is in force", func() {
		w, _ := newTestWorld()
		w.decode.Config = func([]byte) (*routing.Config, error) {
			Expect(w.fleet.Usable("desk")).To(HaveLen(1), "a request would be refused for want of an upstream")
			return routing.New(1, nil, nil, nil, routing.Limits{}), nil
		}
		w.changed(append([]store.Change{configured(1)}, registered("a", 1)...))
		Expect(w.config.Load()).NotTo(BeNil())
	})
})
