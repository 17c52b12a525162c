// Package sse reads a stream of server-sent events, one complete event at a time, and decides which events of a stream that several
// runs deliver may be passed on.
//
// # Usage
//
//	order := sse.NewSequence(conventions, lastID, resumes)
//	order.Begin("engine-1", final)      // for each run
//	r := sse.NewReader(resp.Body, 1<<20)
//	for {
//		e, err := r.Next()
//		if err == io.EOF { rest, err := order.End(); ... }
//		if err != nil { order.Interrupt(r.WithinEvent()); ... }
//		ready, err := order.Add(e)
//		for _, e := range ready { w.Write(e.Raw) }
//	}
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// Event is a server-sent event.
type Event struct {
	// Raw holds the event's bytes, including the blank line that ends it and what came before it that is no event: comments,
	// and blocks with neither data nor an ID.
	Raw []byte
	// Trailing is set if nothing but such blocks was left at the end of the stream, so that Raw holds no event.
	Trailing bool
	// ID is the event's numeric ID, if HasID is set.
	ID    uint64
	HasID bool
	// Form is what the lines of the event look like.
	Form Form
}

// ErrTruncated is returned when the stream ends in the middle of an event.
var ErrTruncated = errors.New("the stream ended within an event")

// ErrTooLong is returned for an event that exceeds the limit of the reader.
var ErrTooLong = errors.New("the event is too long")

const readerSize = 4 << 10

// byteOrderMark may precede the first line of a stream.
const byteOrderMark = "\ufeff"

// Reader splits a stream into events.
type Reader struct {
	br       *bufio.Reader
	raw      []byte
	maxBytes int
	// started is set once the first line has been read.
	started bool
	// withinEvent is set if the stream ended or broke off within an event.
	withinEvent bool
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
	b := block{}
	// continued is set while the rest of a line is read that is longer than the buffer.
	continued := false
	for {
		line, err := r.br.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		if len(r.raw) > r.maxBytes {
			return Event{}, ErrTooLong
		}
		partial := errors.Is(err, bufio.ErrBufferFull)
		if err != nil && !partial {
			r.withinEvent = b.isEvent() || beginsEvent(line, continued)
			return r.end(e, err, b.ended && len(line) == 0)
		}
		line = r.trim(line)
		switch {
		case continued:
		case partial || len(line) > 0:
			b.readLine(line)
		case b.isEvent():
			b.complete(&e)
			e.Raw = r.raw
			return e, nil
		default:
			b.complete(&e)
			b = block{ended: true}
		}
		continued = partial
	}
}

// trim removes what ends a line, and the byte order mark of the first one.
func (r *Reader) trim(line []byte) []byte {
	if !r.started {
		r.started = true
		line = bytes.TrimPrefix(line, []byte(byteOrderMark))
	}
	return bytes.TrimRight(line, "\r\n")
}

// WithinEvent reports whether the stream ended or broke off after a part of an event, so that it lacks at least that event. It is known
// once [Reader.Next] has returned an error. Comments and blocks with neither data nor an ID are not part of an event.
func (r *Reader) WithinEvent() bool { return r.withinEvent }

// beginsEvent reports whether an unfinished line, or the rest of one if continued is set, is the beginning of data or of an ID.
func beginsEvent(line []byte, continued bool) bool {
	if continued {
		return false
	}
	for _, field := range []string{"data:", "id:"} {
		if n := min(len(line), len(field)); n > 0 && string(line[:n]) == field[:n] {
			return true
		}
	}
	return false
}

// end returns what is left at the end of the stream, which may lie between two blocks.
func (r *Reader) end(e Event, err error, between bool) (Event, error) {
	switch {
	case !errors.Is(err, io.EOF) || len(r.raw) == 0:
		return Event{}, err
	case between:
		e.Raw, e.Trailing = r.raw, true
		return e, nil
	}
	return Event{}, ErrTruncated
}
