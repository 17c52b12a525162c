package sse_test

import (
	"errors"
	"io"
	"strings"
	"testing/iotest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bilberrylug.dev/core/sse"
)

func read(r io.Reader) (string, []uint64, error) {
	var raw strings.Builder
	var ids []uint64
	reader := sse.NewReader(r, 1<<20)
	for {
		e, err := reader.Next()
		if err != nil {
			return raw.String(), ids, err
		}
		raw.Write(e.Raw)
		if e.HasID {
			ids = append(ids, e.ID)
		}
	}
}

var _ = Describe("an event reader", func() {
	It("returns every byte of complete events, however the stream is split", func() {
		rapid.Check(GinkgoTB(), func(t *rapid.T) {
			var whole strings.Builder
			n := rapid.IntRange(0, 20).Draw(t, "events")
			for i := range n {
				end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(t, "line end")
				data := rapid.StringMatching(`[a-z ]{0,80}`).Draw(t, "data")
				whole.WriteString("id: " + string(rune('1'+i%9)) + end + "data: " + data + end + end)
			}
			raw, ids, err := read(iotest.OneByteReader(strings.NewReader(whole.String())))
			Expect(err).To(MatchError(io.EOF))
			Expect(raw).To(Equal(whole.String()))
			Expect(ids).To(HaveLen(n))
		})
	})
	It("returns what has neither data nor an ID with the event that follows it, or at the end", func() {
		stream := ": a\n\n\nretry: 7\n\nid: 1\ndata: a\n\nevent: end\n\n"
		reader := sse.NewReader(strings.NewReader(stream), 1<<20)
		e, err := reader.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(e.Raw)).To(Equal(": a\n\n\nretry: 7\n\nid: 1\ndata: a\n\n"))
		Expect(e.HasID).To(BeTrue())
		Expect(e.Trailing).To(BeFalse())
		e, err = reader.Next()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(e.Raw)).To(Equal("event: end\n\n"))
		Expect(e.Trailing).To(BeTrue())
		_, err = reader.Next()
		Expect(err).To(MatchError(io.EOF))
	})
	It("does not take the rest of a line that is longer than its buffer for a line", func() {
		for _, rest := range []string{"", "id: 7", "data: b"} {
			for length := 4090; length < 4100; length++ {
				whole := "id: 1\ndata: a" + strings.Repeat("x", length-7) + rest + "\nevent: a\n\n"
				reader := sse.NewReader(strings.NewReader(whole), 1<<20)
				e, err := reader.Next()
				Expect(err).NotTo(HaveOccurred())
				Expect(string(e.Raw)).To(Equal(whole))
				Expect(e.ID).To(Equal(uint64(1)))
			}
		}
	})
	It("tells whether the stream broke off within an event", func() {
		for text, within := range map[string]bool{
			"": false, "i": true, "id": true, "id: 2": true, "id: 2\n": true, "da": true, "data: b\n": true, "event: a\nid: 2\nx": true,
			"\n": false, ": wait": false, ": wait\n": false, ": wait\n\n": false, "event: a\n": false, "x": false, "idx": false,
		} {
			for _, end := range []error{io.EOF, errors.New("reset")} {
				reader := sse.NewReader(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\n"+text), iotest.ErrReader(end)), 1<<20)
				var err error
				for err == nil {
					_, err = reader.Next()
				}
				Expect(reader.WithinEvent()).To(Equal(within), "%q, %v", text, end)
			}
		}
	})
	It("rejects comments without an end", func() {
		_, _, err := read(strings.NewReader(strings.Repeat(": a\n\n", 1<<20)))
		Expect(err).To(MatchError(sse.ErrTooLong))
	})
	It("never returns a part of an event when the stream breaks off", func() {
		whole := "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
		for cut := range len(whole) {
			raw, _, err := read(strings.NewReader(whole[:cut]))
			Expect(whole).To(HavePrefix(raw))
			Expect(len(raw)).To(BeElementOf(0, 15, 30))
			if cut != 0 && cut != 15 {
				Expect(err).To(MatchError(sse.ErrTruncated), "cut at %d", cut)
			}
		}
	})
	It("rejects an event without an end", func() {
		_, _, err := read(io.LimitReader(endless{}, 8<<20))
		Expect(err).To(MatchError(sse.ErrTooLong))
	})
	It("returns the error of the connection", func() {
		broken := errors.New("reset")
		_, _, err := read(iotest.TimeoutReader(iotest.ErrReader(broken)))
		Expect(err).To(MatchError(broken))
	})
})

// endless is a stream with a line that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}
