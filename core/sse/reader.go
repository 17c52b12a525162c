// Package sse reads a stream of server-sent events, one complete event at a time.
//
// # Usage
//
//	r := sse.NewReader(resp.Body, 1<<20)
//	for {
//		e, err := r.Next()
//		if err == io.EOF { /* the stream is complete */ }
//		w.Write(e.Raw)
//	}
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Event is a server-sent event with its raw bytes, including the blank line that ends it.
type Event struct {
	Raw []byte
	// ID is the event's numeric ID, if HasID is set.
	ID    uint64
	HasID bool
}

// ErrTruncated is returned when the stream ends in the middle of an event.
var ErrTruncated = errors.New("the stream ended within an event")

// ErrTooLong is returned for an event that exceeds the limit of the reader.
var ErrTooLong = errors.New("the event is too long")

const readerSize = 4 << 10

// Reader splits a stream into events.
type Reader struct {
	br       *bufio.Reader
	raw      []byte
	maxBytes int
}

// NewReader returns a reader of the events of r. An event may have up to maxBytes bytes.
func NewReader(r io.Reader, maxBytes int) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, readerSize), maxBytes: maxBytes}
}

// Next returns the next complete event, whose bytes are valid until the next call. The error is io.EOF if the stream ended
// between two events, [ErrTruncated] or [ErrTooLong], or that of the stream.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	e := Event{}
	for {
		line, err := r.br.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		if len(r.raw) > r.maxBytes {
			return Event{}, ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return Event{}, r.endError(err)
		}
		trimmed := bytes.TrimRight(line, "\r\n")
		if len(trimmed) == 0 {
			e.Raw = r.raw
			return e, nil
		}
		if value, ok := bytes.CutPrefix(trimmed, []byte("id:")); ok {
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
			e.ID, e.HasID = n, err == nil
		}
	}
}

func (r *Reader) endError(err error) error {
	if errors.Is(err, io.EOF) && len(r.raw) > 0 {
		return ErrTruncated
	}
	return err
}
