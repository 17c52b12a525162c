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

// newTestState returns a state in which every entry "upstreams/ID" registers an upstream at upstreamAddress, whatever its
// value, and a function that returns the remote end of the last connection that the state opened.
func newTestState() (*state, func() net.Conn) {
	var remote net.Conn
	clock := clockwork.NewFakeClock()
	st := newState(Settings{VM: "entry", FailureDomain: "north", AddressReuseSeconds: 2, Retries: Retries{WindowSeconds: 10}}, Options{
		Clock: clock, BootClock: newBootClock(clock), Log: event.New(io.Discard, slog.LevelError, "entry"),
		Dial: func(context.Context, string, string) (net.Conn, error) {
			local, remoteConn := net.Pipe()
			remote = remoteConn
			return local, nil
		},
		Decode: Decoder{
			Layout: mirror.Layout{Config: "config", Upstreams: "upstreams/", Routers: "routers/"},
			Config: func(value []byte) (*routing.Config, error) {
				return routing.New(routing.Version(len(value)), nil, nil, nil, routing.Limits{}), nil
			},
			Upstream: func(key string, _ []byte) (fleet.Entry, error) {
				id := ids.VM(strings.TrimPrefix(key, "upstreams/"))
				return fleet.Entry{ID: id, Service: "lookup", Address: upstreamAddress, Domain: "north", Slots: 6}, nil
			},
		},
	})
	st.broadcastSoon = func() {}
	return st, func() net.Conn { return remote }
}

// upstreamAdded returns a change that registers an upstream at the given revision.
func upstreamAdded(id string, rev store.Revision) []store.Change {
	return []store.Change{{Item: store.Item{Key: "upstreams/" + id, Modified: rev}}}
}

// refusingDialect is a dialect that implements Refuse only.
type refusingDialect struct{ relay.Dialect }

// Refuse implements relay.Dialect.
func (refusingDialect) Refuse(http.Header, relay.Request, time.Duration) {}

// poolConnection adds an idle connection to the pool. The returned function reports whether it has been closed.
func poolConnection(st *state, remote func() net.Conn) func() bool {
	conn, err := st.pool.Dial(context.Background(), upstreamAddress)
	Expect(err).NotTo(HaveOccurred())
	st.pool.Put(conn)
	Expect(remote().SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
	return func() bool {
		_, err := remote().Read(make([]byte, 1))
		return errors.Is(err, io.EOF)
	}
}

// configSet returns a change that sets the configuration to the given version.
func configSet(version int) store.Change {
	return store.Change{Item: store.Item{Key: "config", Value: make([]byte, version)}}
}

var _ = Describe("the router's state of the upstreams", func() {
	It("drops connections to the previous upstream at an address", func() {
		st, remote := newTestState()
		st.applyChanges(upstreamAdded("a", 1))
		closed := poolConnection(st, remote)
		st.applyChanges(upstreamAdded("b", 2))
		Expect(closed()).To(BeTrue(), "a request that must not be retried would be lost on it")
		Expect(st.fleet.Usable("lookup")).To(HaveLen(1))
	})
	It("takes over the new ID of a restarted engine whether the store answers or not", func() {
		st, _ := newTestState()
		st.applyChanges(upstreamAdded("a", 1))
		st.storeAnswered()
		u, _ := st.fleet.Get("a")
		st.fleet.RecordAnswer(u, st.boot.Now(), st.clock.Now())
		st.updateID(u, "b", st.boot.Now())
		Expect(st.fleet.Usable("lookup")).To(HaveLen(1), "if the store became unavailable now, no upstream would be left")
		Expect(st.fleet.Usable("lookup")[0].ID).To(Equal(ids.VM("b")))
	})
	It("drops connections to an upstream that another router reported as lost", func() {
		st, remote := newTestState()
		st.applyChanges(upstreamAdded("a", 1))
		closed := poolConnection(st, remote)
		st.markSuspected("a", 0)
		Expect(closed()).To(BeTrue(), "a call that must not be retried would be lost on it")
	})
	It("places a generation in another failure domain after its domain was restarted", func() {
		st, _ := newTestState()
		st.decode.Upstream = func(key string, _ []byte) (fleet.Entry, error) {
			id := ids.VM(strings.TrimPrefix(key, "upstreams/"))
			return fleet.Entry{ID: id, Service: "engines", Address: string(id), Domain: ids.FailureDomain(id[:1]), Slots: 6}, nil
		}
		for i, id := range []string{"n1", "n2", "n3", "s1"} {
			st.applyChanges(upstreamAdded(id, store.Revision(i+1)))
		}
		st.picker.Domain = "n"
		s := &stream{
			exchange: &exchange{handler: &handler{state: st}, service: routing.Service{Name: "engines"}}, model: placement.DefaultEngineModel,
			tried: map[ids.VM]bool{}, failedAlive: map[ids.VM]bool{}, failedDomains: map[ids.FailureDomain]bool{},
		}
		s.r = httptest.NewRequest(http.MethodPost, "/", nil)
		r, err := s.place()
		Expect(err).NotTo(HaveOccurred())
		Expect(r.upstream.Domain).To(Equal(ids.FailureDomain("n")))
		s.release(r)
		s.handleFailedRun(r, errAddressReused)
		r, err = s.place()
		Expect(err).NotTo(HaveOccurred())
		Expect(r.upstream.Domain).To(Equal(ids.FailureDomain("s")), "all restarted engines of the domain would refuse it one after another")
	})
	It("refuses a generation as not run after a few attempts if all engines are down", func() {
		st, _ := newTestState()
		dials := 0
		st.pool = upstream.NewPool(func(context.Context, string, string) (net.Conn, error) {
			dials++
			return nil, errors.New("connection refused")
		}, st.clock, upstream.DefaultLimits)
		st.applyChanges(upstreamAdded("a", 1))
		answer := httptest.NewRecorder()
		x := &exchange{
			handler: &handler{state: st, dialect: refusingDialect{}}, w: answer, r: httptest.NewRequest(http.MethodPost, "/", nil),
			ctx: context.Background(), service: routing.Service{Name: "lookup"},
			route:    routing.Route{Kind: routing.Streaming, Resumable: true, MaxAttempts: 5},
			deadline: st.clock.Now().Add(25 * time.Second),
		}
		x.stream()
		Expect(dials).To(BeNumerically("<=", maxRefusals))
		Expect(answer.Code).To(Equal(http.StatusServiceUnavailable))
	})
	It("applies upstreams before the configuration that names their services", func() {
		st, _ := newTestState()
		st.decode.Config = func([]byte) (*routing.Config, error) {
			Expect(st.fleet.Usable("lookup")).To(HaveLen(1), "a request would be refused because no upstream is available")
			return routing.New(1, nil, nil, nil, routing.Limits{}), nil
		}
		st.applyChanges(append([]store.Change{configSet(1)}, upstreamAdded("a", 1)...))
		Expect(st.config.Load()).NotTo(BeNil())
	})
})
