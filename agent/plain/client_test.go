package plain_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/agent/plain"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/testkit"
)

// call sends a call to a raw service within two seconds.
func call(respond func(w net.Conn, r *http.Request, body []byte), bodies ...string) ([]string, error) {
	s := testkit.NewRawServer(respond)
	defer s.Close()
	client := plain.New("http://" + s.Address())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var out []string
	for _, body := range bodies {
		reply, err := client.Call(ctx, plain.Request{Method: http.MethodPost, Path: "/slips", Body: []byte(body)})
		if err != nil {
			return out, err
		}
		out = append(out, string(reply.Body))
	}
	return out, nil
}

var _ = Describe("a call to the service beside the agent", func() {
	It("gets its own reply if the service sends a second copy of the last one late", func() {
		replies, err := call(func(w net.Conn, _ *http.Request, body []byte) {
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			_, _ = io.WriteString(w, answer)
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(w, answer)
		}, "a", "b", "c", "d", "e")
		Expect(err).NotTo(HaveOccurred())
		Expect(replies).To(Equal([]string{"a", "b", "c", "d", "e"}))
	})
	DescribeTable("has an unknown outcome if its reply breaks off or has no end, and is never cut to what was read",
		func(respond func(w net.Conn, r *http.Request, body []byte)) {
			start := time.Now()
			_, err := call(respond, "a")
			Expect(fault.CodeOf(err)).To(Equal(fault.CallOutcomeUnknown))
			Expect(time.Since(start)).To(BeNumerically("<", 4*time.Second))
		},
		Entry("a body of more than the limit", testkit.Pour("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", "zzzz")),
		Entry("header lines without end", testkit.Pour("HTTP/1.1 200 OK\r\n", "X: y\r\n")),
		Entry("chunks without end", testkit.Pour("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nzzzz\r\n")),
		Entry("short of its length", func(w net.Conn, _ *http.Request, _ []byte) {
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc")
			_ = w.Close()
		}),
		Entry("closed without a reply", func(w net.Conn, _ *http.Request, _ []byte) { _ = w.Close() }),
	)
})
