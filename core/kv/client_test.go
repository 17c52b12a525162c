package kv_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/kv"
	"bilberrylug.dev/core/testkit"
)

func newClient(s *testkit.RawServer) *kv.Client {
	return kv.New(kv.Options{Address: "http://" + s.Address(), Limiter: kv.NewCallLimiter(1000, 1000, nil)})
}

var _ = Describe("a client of the platform's service", func() {
	It("takes no late second copy of a reply for the reply to its next call", func() {
		writes := 0
		s := testkit.NewRawServer(func(w net.Conn, _ *http.Request, _ []byte) {
			writes++
			// Only the first write succeeds.
			body := fmt.Sprintf(`{"ok":%t,"value":{"index":7}}`, writes == 1)
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_, _ = io.WriteString(w, answer)
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(w, answer)
		})
		DeferCleanup(s.Close)
		c := newClient(s)
		_, first, err := c.CompareAndSwap(context.Background(), "key", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(first).To(BeTrue())
		for range 5 {
			_, swapped, err := c.CompareAndSwap(context.Background(), "key", nil, 0)
			Expect(err).NotTo(HaveOccurred())
			Expect(swapped).To(BeFalse(), "the write was refused")
		}
	})
	DescribeTable("reports the service as unavailable if a reply has no end",
		func(head, text string) {
			s := testkit.NewRawServer(testkit.Pour(head, text))
			DeferCleanup(s.Close)
			start := time.Now()
			_, err := newClient(s).Get(context.Background(), "key")
			Expect(fault.CodeOf(err)).To(Equal(fault.StoreUnavailable))
			Expect(time.Since(start)).To(BeNumerically("<", 3*time.Second))
		},
		Entry("header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n"),
		Entry("a body", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "zzzz"),
	)
})
