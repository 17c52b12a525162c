package group_test

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/group"
)

var _ = Describe("a group that recovers", func() {
	var panics atomic.Int32
	var g *group.Group
	BeforeEach(func() {
		panics.Store(0)
		g = group.NewRecovering(context.Background(), func(any, []byte) { panics.Add(1) })
	})
	It("ends only the goroutine that panics", func() {
		var ended atomic.Int32
		g.Go(func(context.Context) { panic("unexpected") })
		g.Go(func(ctx context.Context) {
			<-ctx.Done()
			ended.Add(1)
		})
		g.Child(g.Context()).Go(func(context.Context) { panic("unexpected") })
		Eventually(panics.Load).Should(BeEquivalentTo(2))
		g.Stop()
		Expect(ended.Load()).To(BeEquivalentTo(1))
	})
	It("starts a loop again after a panic, with a pause, until the group is stopped", func() {
		clock := clockwork.NewFakeClock()
		var runs atomic.Int32
		g.Keep(clock, func(ctx context.Context) {
			if runs.Add(1) < 3 {
				panic("unexpected")
			}
			<-ctx.Done()
		})
		for range 2 {
			Expect(clock.BlockUntilContext(context.Background(), 1)).To(Succeed())
			clock.Advance(time.Second)
		}
		Eventually(runs.Load).Should(BeEquivalentTo(3))
		g.Stop()
		Expect(panics.Load()).To(BeEquivalentTo(2))
		Expect(runs.Load()).To(BeEquivalentTo(3))
	})
	It("returns the fallback of a task that panics", func() {
		out := group.Try(func(any, []byte) { panics.Add(1) }, 7, func() int { panic("unexpected") })
		Expect(out).To(Equal(7))
		Expect(panics.Load()).To(BeEquivalentTo(1))
		Expect(group.Try(nil, 7, func() int { return 1 })).To(Equal(1))
	})
})
