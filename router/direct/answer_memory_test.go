package direct

import (
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the memory of answers", func() {
	It("never exceeds its limit, not even for a moment", func() {
		m := &answerMemory{limit: 10 * answerStep}
		Expect(m.acquire(m.limit)).To(BeTrue())
		var wg sync.WaitGroup
		var done atomic.Bool
		for range 32 {
			wg.Go(func() {
				for !done.Load() {
					_ = m.acquire(answerStep)
				}
			})
		}
		most := int64(0)
		for deadline := time.Now().Add(200 * time.Millisecond); time.Now().Before(deadline); {
			most = max(most, m.used.Load())
		}
		done.Store(true)
		wg.Wait()
		Expect(most).To(Equal(m.limit))
		m.release(m.limit)
		Expect(m.used.Load()).To(BeZero())
	})
})
