package ledgerstore_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/kv/kvtest"
	"bilberrylug.dev/core/ledger"
	"bilberrylug.dev/core/ledgerstore"
)

var limits = ledger.Limits{MaxEntries: 1000, Retention: time.Hour}

func start(call ids.Call) ledger.Start { return ledger.Start{Key: "slip", Call: call, BodyHash: 1} }

var _ = Describe("books of several processes on one bucket", func() {
	var (
		store *kvtest.Store
		g     *group.Group
		ctx   context.Context
	)
	BeforeEach(func() {
		store = kvtest.New()
		ctx = GinkgoTB().Context()
		g = group.New(ctx)
		DeferCleanup(g.Stop)
	})
	open := func() *ledgerstore.Store {
		return ledgerstore.New(store, clockwork.NewRealClock(), event.New(&bytes.Buffer{}, slog.LevelError, "t"), g)
	}

	It("let one of many racing agents proceed", func() {
		var mu sync.Mutex
		proceeded := 0
		racing := group.New(ctx)
		for i := range 8 {
			racing.Go(func(ctx context.Context) {
				d, err := open().Begin(ctx, "ledger/s/0", limits, start(ids.Call(fmt.Sprint(i))))
				mu.Lock()
				defer mu.Unlock()
				if err == nil && d.Verdict == ledger.Proceed {
					proceeded++
				}
			})
		}
		racing.Wait()
		Expect(proceeded).To(Equal(1))
	})
	It("know their own intent again when the answer of its write was lost", func() {
		store.LoseAnswers(1)
		d, err := open().Begin(ctx, "ledger/s/0", limits, start("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Verdict).To(Equal(ledger.Proceed))
	})
	It("refuse without sending while the service is down, and withdraw what may have been written", func() {
		store.SetOutage(true)
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		_, err := open().Begin(short, "ledger/s/0", limits, start("1"))
		Expect(fault.CodeOf(err)).To(Equal(fault.LedgerUnavailable))
		store.SetOutage(false)
		Eventually(func() ledger.Verdict {
			d, _ := open().Begin(ctx, "ledger/s/0", limits, start("2"))
			return d.Verdict
		}).Should(Equal(ledger.Proceed))
	})
	It("withdraw an intent whose write took effect while its caller gave up", func() {
		b := open()
		store.LoseAnswers(1)
		gone, giveUp := context.WithCancel(ctx)
		store.BeforeSwap(func(string) { giveUp() })
		_, err := b.Begin(gone, "ledger/s/0", limits, start("1"))
		Expect(err).To(HaveOccurred())
		store.BeforeSwap(nil)
		Eventually(func() ledger.Verdict {
			d, _ := open().Begin(ctx, "ledger/s/0", limits, start("2"))
			return d.Verdict
		}).Should(Equal(ledger.Proceed))
	})
	It("cancel a forwarding for good, or show the intent that was first", func() {
		_, cancelled, err := open().Cancel(ctx, "ledger/s/0", start("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(cancelled).To(BeTrue())
		d, _ := open().Begin(ctx, "ledger/s/0", limits, start("1"))
		Expect(d.Verdict).To(Equal(ledger.Refused))
		d, _ = open().Begin(ctx, "ledger/s/0", limits, start("2"))
		Expect(d.Verdict).To(Equal(ledger.Proceed))
		e, cancelled, _ := open().Cancel(ctx, "ledger/s/0", start("2"))
		Expect(cancelled).To(BeFalse())
		Expect(e.State).To(Equal(ledger.Intent))
	})
	It("write what waits for a write together in the next one", func() {
		b := open()
		many := group.New(ctx)
		var begun, ended sync.WaitGroup
		begun.Add(200)
		ended.Add(200)
		var once sync.Once
		store.BeforeSwap(func(string) { once.Do(begun.Wait) })
		for i := range 200 {
			many.Go(func(ctx context.Context) {
				defer ended.Done()
				begun.Done()
				_, err := b.Begin(ctx, "ledger/s/0", limits, ledger.Start{Key: ledger.Key(fmt.Sprint(i)), Call: "c"})
				Expect(err).NotTo(HaveOccurred())
			})
		}
		ended.Wait()
		_, writes := store.Calls()
		Expect(writes).To(BeNumerically("<", 100))
	})
})
