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

var _ = Describe("ledger stores of several processes sharing a bucket", func() {
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

	It("let exactly one of several concurrent agents proceed", func() {
		var mu sync.Mutex
		proceeded := 0
		agents := group.New(ctx)
		for i := range 8 {
			agents.Go(func(ctx context.Context) {
				d, err := open().Begin(ctx, "ledger/s/0", limits, start(ids.Call(fmt.Sprint(i))))
				mu.Lock()
				defer mu.Unlock()
				if err == nil && d.Verdict == ledger.Proceed {
					proceeded++
				}
			})
		}
		agents.Wait()
		Expect(proceeded).To(Equal(1))
	})
	It("recognize their own intent when the reply to its write was lost", func() {
		store.LoseAnswers(1)
		d, err := open().Begin(ctx, "ledger/s/0", limits, start("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Verdict).To(Equal(ledger.Proceed))
	})
	It("refuse to start a call while the service is down, and withdraw an intent that may have been written", func() {
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
	It("withdraw an intent that was written although its caller gave up", func() {
		s := open()
		store.LoseAnswers(1)
		callerCtx, giveUp := context.WithCancel(ctx)
		store.BeforeSwap(func(string) { giveUp() })
		_, err := s.Begin(callerCtx, "ledger/s/0", limits, start("1"))
		Expect(err).To(HaveOccurred())
		store.BeforeSwap(nil)
		Eventually(func() ledger.Verdict {
			d, _ := open().Begin(ctx, "ledger/s/0", limits, start("2"))
			return d.Verdict
		}).Should(Equal(ledger.Proceed))
	})
	It("cancel a call permanently, or return the intent that was written first", func() {
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
	It("batch the changes that arrive during a write into the next write", func() {
		s := open()
		callers := group.New(ctx)
		var started, done sync.WaitGroup
		started.Add(200)
		done.Add(200)
		var once sync.Once
		store.BeforeSwap(func(string) { once.Do(started.Wait) })
		for i := range 200 {
			callers.Go(func(ctx context.Context) {
				defer done.Done()
				started.Done()
				_, err := s.Begin(ctx, "ledger/s/0", limits, ledger.Start{Key: ledger.Key(fmt.Sprint(i)), Call: "c"})
				Expect(err).NotTo(HaveOccurred())
			})
		}
		done.Wait()
		_, writes := store.Calls()
		Expect(writes).To(BeNumerically("<", 100))
	})
})
