// Package events reads a stream of server-sent events one whole event at a time.
//
// # Usage
//
//	r := events.NewReader(resp.Body)
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

// Event is one event with the bytes that it came in, its blank line included.
type Event struct {
	Raw []byte
	// ID is the number of the event, if Numbered is set.
	ID    uint64
	HasID bool
}

// ErrTruncated is returned when the stream ends in the middle of an event.
var ErrTruncated = errors.New("the stream ended within an event")

// ErrTooLong is returned for an event that is longer than any sound one.
var ErrTooLong = errors.New("the event is too long")

const (
	readerSize = 4 << 10
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
)

// Reader splits a stream into events.
type Reader struct {
	br  *bufio.Reader
	raw []byte
}

// NewReader returns a reader of a stream.
func NewReader(r io.Reader) *Reader { return &Reader{br: bufio.NewReaderSize(r, readerSize)} }

// Next returns the next whole event, whose bytes hold until the next call. io.EOF says that the stream ended between two
// events.
func (r *Reader) Next() (Event, error) {
	r.raw = r.raw[:0]
	e := Event{}
	for {
		line, err := r.br.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		if len(r.raw) > maxEventBytes {
			return Event{}, ErrTooLong
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return Event{}, r.end(err)
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

func (r *Reader) end(err error) error {
	if errors.Is(err, io.EOF) && len(r.raw) > 0 {
		return ErrTruncated
	}
	return err
}
