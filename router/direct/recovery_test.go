package direct

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
)

// The load pattern: a failure domain restarts while the store is away, and nobody else tells the new IDs of its upstreams.
var _ = Describe("an upstream that starts again under another ID while the store is away", func() {
	var r *testRouter
	var asked atomic.Int64
	var name atomic.Value
	var u *rawUpstream
	usable := func() []ids.VM {
		r.mu.Lock()
		defer r.mu.Unlock()
		var out []ids.VM
		for _, u := range r.fleet.Usable("desk") {
			out = append(out, u.ID)
		}
		return out
	}
	// tick lets the router ask what is due, time after the last answer of the store.
	tick := func(storeSilence time.Duration) {
		r.mu.Lock()
		r.watcherRole.RecordSelf(r.clock.Now().Add(-storeSilence))
		r.mu.Unlock()
		r.confirmUpstreams()
	}
	BeforeEach(func() {
		r = newTestRouter(0)
		r.addressReuse = time.Second
		asked.Store(0)
		name.Store("")
		u = newRawUpstream(func(w net.Conn, req *http.Request) {
			asked.Add(1)
			text("HTTP/1.1 200 OK\r\nVm: "+name.Load().(string)+"\r\nContent-Length: 0\r\n\r\n")(w, req)
		})
		name.Store(u.address)
		r.register("desk", u)
	})
	It("is found by the router that asks it", func() {
		tick(2 * time.Second)
		Eventually(asked.Load).Should(BeNumerically("==", 1))
		time.Sleep(250 * time.Millisecond)
		name.Store("next")
		tick(2 * time.Second)
		Eventually(usable).Should(Equal([]ids.VM{"next"}))
	})
	It("is asked even if another router has found its address in use by another one", func() {
		tick(2 * time.Second)
		Eventually(asked.Load).Should(BeNumerically("==", 1))
		Eventually(func() bool {
			r.mu.Lock()
			defer r.mu.Unlock()
			return r.fleet.MayAdopt(ids.VM(u.address), r.boot.Now(), r.addressReuse)
		}).Should(BeTrue())
		name.Store("next")
		r.confirm = r.confirmAsync
		r.dropReplaced(ids.VM(u.address), "entry-2")
		Eventually(usable).Should(Equal([]ids.VM{"next"}))
	})
	It("is not taken over if it has not answered for longer than the reuse time of addresses", func() {
		tick(2 * time.Second)
		Eventually(asked.Load).Should(BeNumerically("==", 1))
		time.Sleep(1100 * time.Millisecond)
		name.Store("other")
		tick(2 * time.Second)
		Eventually(usable).Should(BeEmpty())
	})
	It("is not asked while the store answers, nor by a router that does not own it, nor while it wants a pause", func() {
		tick(0)
		others := make([]ids.VM, 64)
		for i := range others {
			others[i] = ids.VM("other-" + string(rune('A'+i)))
		}
		r.setPeers(others, time.Second)
		tick(2 * time.Second)
		r.setPeers(nil, time.Second)
		r.hold(fleet.Upstream{Entry: fleet.Entry{ID: ids.VM(u.address)}}, time.Minute)
		time.Sleep(250 * time.Millisecond)
		tick(2 * time.Second)
		Consistently(asked.Load, "200ms").Should(BeNumerically("==", 0))
	})
})
