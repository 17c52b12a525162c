package sse_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"bilberrylug.dev/core/sse"
)

// FuzzReader checks that the events are the beginning of the stream, each ended by a blank line and within the limit.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\r\n\r\n:\n\n"))
	f.Add([]byte("id: 99999999999999999999\n\nhalf"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		const limit = 256
		r := sse.NewReader(bytes.NewReader(stream), limit)
		var read []byte
		for {
			e, err := r.Next()
			if err != nil {
				if errors.Is(err, io.EOF) && len(read) != len(stream) {
					t.Fatalf("the stream is said to be complete after %d of %d bytes", len(read), len(stream))
				}
				return
			}
			if len(e.Raw) > limit+1 || !bytes.HasSuffix(e.Raw, []byte("\n")) {
				t.Fatalf("event %q", e.Raw)
			}
			read = append(read, e.Raw...)
			if !bytes.HasPrefix(stream, read) {
				t.Fatalf("the events are not the stream: %q", read)
			}
		}
	})
}
