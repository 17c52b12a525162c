package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/router/upstream"
)

// peer serves each connection to a listener on loopback: respond is called with each request and writes whatever it likes.
func peer(respond func(w io.Writer, r *http.Request)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				br := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					respond(conn, r)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func newPool() *upstream.Pool {
	return upstream.NewPool(upstream.Dial, clockwork.NewRealClock(), upstream.DefaultLimits)
}

// request returns a request whose responses carry its ID in the header Id.
func request(id string) upstream.Request {
	return upstream.Request{
		ID: id, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {id}},
		Mismatched: func(r *http.Response) bool { return r.Header.Get("Id") != id },
	}
}

// send sends a request on a connection of the pool and returns the body of the response.
func send(pool *upstream.Pool, address, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	conn, err := pool.Get(ctx, address, id)
	if err != nil {
		return "", err
	}
	//nolint:bodyclose // The connection owns the body: Release or Close ends it.
	resp, err := conn.Do(ctx, request(id))
	if err != nil {
		conn.Close()
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		conn.Close()
		return "", err
	}
	conn.Release()
	return string(body), nil
}

// pour writes text again and again until the connection is closed, and counts what it has written.
func pour(w io.Writer, text string, written *atomic.Int64) {
	for {
		n, err := io.WriteString(w, strings.Repeat(text, 64))
		written.Add(int64(n))
		if err != nil {
			return
		}
	}
}

var _ = Describe("a connection to an upstream", func() {
	DescribeTable("is closed at a limit when bytes that belong to no answer come without end",
		func(head, endless string, limit int) {
			var written atomic.Int64
			address := peer(func(w io.Writer, _ *http.Request) {
				_, _ = io.WriteString(w, head)
				pour(w, endless, &written)
			})
			_, err := send(newPool(), address, "a")
			Expect(fault.CodeOf(err)).To(Equal(fault.ReplyTooLarge), "%v", err)
			// What the sockets' buffers hold has been written, too.
			Expect(written.Load()).To(BeNumerically("<", limit+(8<<20)))
		},
		Entry("header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n", 64<<10),
		Entry("one header line", "HTTP/1.1 200 OK\r\nX: ", "yyyyyyyy", 64<<10),
		Entry("a status line", "HTTP/1.1 200 ", "OKOKOKOK", 64<<10),
		Entry("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", 64<<10),
		Entry("the body of a response to another request", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1000000000\r\n\r\n", "zzzzzzzz", 64<<10),
		Entry("a chunked body of another request", "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nzzzzzzzz\r\n", 64<<10),
	)
	DescribeTable("fails when framing comes without end",
		func(head, endless string) {
			var written atomic.Int64
			address := peer(func(w io.Writer, _ *http.Request) {
				_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"+head)
				pour(w, endless, &written)
			})
			_, err := send(newPool(), address, "a")
			Expect(err).To(HaveOccurred())
			Expect(written.Load()).To(BeNumerically("<", 8<<20))
		},
		Entry("chunk extension", "5;x=", "yyyyyyyy"),
		Entry("chunk extensions", "", "1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx=y\r\na\r\n"),
		Entry("trailer", "0\r\n", "X: y\r\n"),
	)
	It("gives the next request its own answer if a second copy of the last one arrives late", func() {
		address := peer(func(w io.Writer, r *http.Request) {
			id := r.Header.Get("Id")
			answer := "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 1\r\n\r\n" + id
			_, _ = io.WriteString(w, answer)
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, answer)
		})
		pool := newPool()
		for _, id := range []string{"a", "b", "c", "d"} {
			body, err := send(pool, address, id)
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(Equal(id))
		}
	})
	It("does not carry the same request again, since a late copy of the first answer would pass as the second one", func() {
		var served atomic.Int32
		address := peer(func(w io.Writer, r *http.Request) {
			n := served.Add(1)
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\n"+strconv.Itoa(int(n)))
			if n == 1 {
				time.Sleep(5 * time.Millisecond)
				go func() {
					time.Sleep(30 * time.Millisecond)
					_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\n1")
				}()
			}
			if n == 2 {
				time.Sleep(100 * time.Millisecond)
			}
		})
		pool := newPool()
		body, err := send(pool, address, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(body).To(Equal("1"))
		ctx := context.Background()
		conn, err := pool.Get(ctx, address, "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Reused()).To(BeFalse())
		conn.Close()
		conn, err = pool.Get(ctx, address, "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Reused()).To(BeTrue())
		conn.Close()
	})
	// Guards against data that is never read because the stall function, which may wait for a probe, takes longer than its next wait.
	It("reads what has arrived although the stall function takes longer than the time until its next call", func() {
		address := peer(func(w io.Writer, r *http.Request) {
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 0\r\n\r\n")
		})
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		conn, err := newPool().Get(ctx, address, "1")
		Expect(err).NotTo(HaveOccurred())
		conn.SetStallFunc(func(time.Duration) (time.Duration, error) {
			time.Sleep(30 * time.Millisecond)
			return 10 * time.Millisecond, nil
		})
		resp, err := conn.Do(ctx, request("1"))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
	})
	It("makes a stall check that is requested while a read sets its deadline", func() {
		address := peer(func(io.Writer, *http.Request) {})
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		lost := errors.New("lost")
		for range 20 {
			conn, err := newPool().Get(ctx, address, "a")
			Expect(err).NotTo(HaveOccurred())
			var due atomic.Bool
			calls := 0
			conn.SetStallFunc(func(time.Duration) (time.Duration, error) {
				if due.Load() {
					return 0, lost
				}
				if calls++; calls == 1 {
					// The upstream is lost right after the check, before the read blocks.
					due.Store(true)
					conn.CheckStall()
				}
				return time.Minute, nil
			})
			_, err = conn.Do(ctx, request("a"))
			Expect(errors.Is(err, lost)).To(BeTrue(), "%v", err)
			conn.Close()
		}
	})
	DescribeTable("ends a request at the first error of the stall function",
		func(sent string) {
			address := peer(func(w io.Writer, _ *http.Request) { _, _ = io.WriteString(w, sent); time.Sleep(2 * time.Second) })
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			conn, err := newPool().Get(ctx, address, "a")
			Expect(err).NotTo(HaveOccurred())
			defer conn.Close()
			hung := errors.New("hung")
			decided := false
			conn.SetStallFunc(func(idle time.Duration) (time.Duration, error) {
				if idle >= 100*time.Millisecond && !decided {
					decided = true
					return 0, hung
				}
				return 100 * time.Millisecond, nil
			})
			_, err = conn.Do(ctx, request("a"))
			Expect(errors.Is(err, hung)).To(BeTrue(), "%v", err)
		},
		Entry("before the header", ""),
		Entry("in the status line", "HTTP/1.1 200"),
		Entry("after the status line", "HTTP/1.1 200 OK\r\n"),
		Entry("in a field", "HTTP/1.1 200 OK\r\nX: y"),
		Entry("after a field", "HTTP/1.1 200 OK\r\nX: y\r\n"),
	)
})
