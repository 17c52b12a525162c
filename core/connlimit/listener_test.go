package connlimit_test

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/connlimit"
)

var _ = Describe("a bounded listener", func() {
	const bound = 3
	var (
		clock    *clockwork.FakeClock
		listener net.Listener
	)
	BeforeEach(func() {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(inner.Close)
		clock = clockwork.NewFakeClock()
		listener = connlimit.New(inner, bound, clock)
	})
	// connect returns both ends of a new connection.
	connect := func() (client, server net.Conn) {
		clock.Advance(time.Second)
		client, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		server, err = listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		DeferCleanup(func() { _ = server.Close() })
		return client, server
	}
	isClosed := func(client net.Conn) bool {
		Expect(client.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
		_, err := client.Read(make([]byte, 1))
		return errors.Is(err, io.EOF)
	}
	// Guards against idle connections that keep others out, and against descriptors without bound.
	It("closes the connection without traffic for the longest time", func() {
		first, firstServer := connect()
		second, _ := connect()
		third, _ := connect()
		clock.Advance(time.Second)
		_, err := first.Write([]byte("x"))
		Expect(err).NotTo(HaveOccurred())
		_, err = firstServer.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		fourth, _ := connect()
		Expect(isClosed(second)).To(BeTrue())
		for _, c := range []net.Conn{first, third, fourth} {
			Expect(isClosed(c)).To(BeFalse())
		}
	})
	It("has room again when a connection is closed", func() {
		first, _ := connect()
		_, second := connect()
		connect()
		Expect(second.Close()).To(Succeed())
		connect()
		Expect(isClosed(first)).To(BeFalse())
	})
})
