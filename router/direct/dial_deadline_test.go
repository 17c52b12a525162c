package direct

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/ids"
)

// atDeadline is a context that has reached its deadline and has not ended yet.
type atDeadline struct {
	context.Context
	at time.Time
}

func (d atDeadline) Deadline() (time.Time, bool) { return d.at, true }

// Guards against sound upstreams that are declared lost because a dial notices the end of a request's time before its context does.
var _ = Describe("a dial that ends at the deadline of a request", func() {
	It("is no loss of the upstream", func() {
		r := newTestRouter(0)
		r.dialVia(func(context.Context, string, string) (net.Conn, error) { return nil, os.ErrDeadlineExceeded })
		sound := newRawUpstream(ok)
		r.register("desk", sound)
		r.mu.Lock()
		u, _ := r.fleet.Get(ids.VM(sound.address))
		r.mu.Unlock()
		x := &exchange{handler: r.handler, r: &http.Request{}}
		_, err := x.connect(atDeadline{context.Background(), r.clock.Now()}, u)
		Expect(err).To(MatchError(errNotSent))
		Expect(r.everLost(sound)).To(BeFalse())
	})
})
