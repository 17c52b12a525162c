package direct

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/memory"
)

const (
	// defaultBodyBytes bounds the request body if the configuration sets no limit.
	defaultBodyBytes = 4 << 20
	// firstBuffer is the size of the first buffer of a body. Most bodies are prompts of some kilobytes.
	firstBuffer = 4 << 10
	// bufferGrowth is the factor by which the first buffer grows up to the size of a part.
	bufferGrowth = 4
	// bodyPart is the size of a body's parts. A body that grows by parts needs no room for a copy of itself, as a single buffer would.
	bodyPart = int(memory.FirstPart)
	// drainTime bounds the reading of the rest of a refused body, after which the connection is closed. A caller that sends the
	// rest at once gets the refusal, and keeps its connection.
	drainTime = 2 * time.Second
	// refusalTime bounds the sending of a refusal.
	refusalTime = 5 * time.Second
)

// past is a deadline that ends a pending read.
var past = time.Unix(1, 0)

// errNoRoom ends the reading of a body for which there is no memory.
var errNoRoom = errors.New("no memory for the request body")

// readBody reads the request body. What arrives is reserved in the account of callers' memory until the exchange ends. A body that
// cannot be held is refused, and its connection is closed.
func (x *exchange) readBody(limit int64) error {
	if x.r.ContentLength == 0 {
		return nil
	}
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		x.closeAfterRefusal()
		return fault.New(fault.BodyTooLarge, "%d bytes announced, at most %d", x.r.ContentLength, limit)
	}
	rc := http.NewResponseController(x.w)
	if err := rc.SetReadDeadline(x.deadline); err != nil {
		return fault.Wrap(fault.Internal, err, "set the time limit of the body")
	}
	x.bodyHolder = x.callerMemory.account.Open(func() {
		x.conns.leave(x.r)
		_ = rc.SetReadDeadline(past)
	}, x.clock.Now())
	parts, err := x.readParts(http.MaxBytesReader(x.w, x.r.Body, limit))
	if err == nil && x.bodyHolder.Complete() {
		if err := rc.SetReadDeadline(time.Time{}); err != nil {
			return fault.Wrap(fault.Internal, err, "lift the time limit of the body")
		}
		x.body = parts
		return nil
	}
	shed := errors.Is(err, errNoRoom) || x.bodyHolder.Shed()
	x.releaseBody()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		_ = rc.SetReadDeadline(x.clock.Now().Add(drainTime))
	}
	if shed {
		x.callerMemory.recordShed(x.r.RemoteAddr)
		x.closeAfterRefusal()
		return fault.Wrap(fault.MemoryLimit, errNoRoom, "callers hold %d bytes", x.callerMemory.account.Held())
	}
	return x.bodyError(err, limit)
}

// bodyError returns the fault of a body that has not arrived whole.
func (x *exchange) bodyError(err error, limit int64) error {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault.New(fault.BodyTimeout, "after %s", x.clock.Since(x.arrivedAt))
	case errors.As(err, &tooLarge):
		x.closeAfterRefusal()
		return fault.New(fault.BodyTooLarge, "more than %d bytes", limit)
	}
	return fault.Wrap(fault.BadRequest, err, "incomplete request body")
}

// readParts reads a body to its end into parts. Each buffer is reserved before it is allocated.
func (x *exchange) readParts(r io.Reader) ([][]byte, error) {
	b := bodyBuffer{announced: x.r.ContentLength}
	for {
		if size, more := b.next(); more > 0 {
			if !x.callerMemory.grow(x.bodyHolder, memory.Bytes(more)) {
				return nil, errNoRoom
			}
			b.grow(size)
		}
		err := b.read(r)
		switch {
		case errors.Is(err, io.EOF):
			return append(b.parts, b.last), nil
		case err != nil:
			return nil, err
		}
	}
}

// bodyBuffer holds a body while it arrives. The first part grows from firstBuffer to bodyPart; the others have that size.
type bodyBuffer struct {
	// announced is the length of the body, or -1 if it is not known, total the length of what has arrived.
	announced, total int64
	// parts are the parts that are full, last the one after them.
	parts [][]byte
	last  []byte
}

// next returns the capacity that the last part has next, or that a further part has, and by how many bytes the buffer grows by it.
// Both are zero while there is room.
func (b *bodyBuffer) next() (size, more int) {
	if len(b.last) < cap(b.last) || b.total == b.announced {
		return 0, 0
	}
	size, kept := bodyPart, 0
	if b.first() {
		size, kept = min(bodyPart, max(firstBuffer, bufferGrowth*cap(b.last))), cap(b.last)
	}
	if b.announced >= 0 {
		size = int(min(int64(size), b.announced-b.total+int64(kept)))
	}
	return size, size - kept
}

// first reports whether the first part still grows.
func (b *bodyBuffer) first() bool { return len(b.parts) == 0 && cap(b.last) < bodyPart }

// grow makes room as next has said.
func (b *bodyBuffer) grow(size int) {
	if b.first() {
		b.last = append(make([]byte, 0, size), b.last...)
		return
	}
	b.parts, b.last = append(b.parts, b.last), make([]byte, 0, size)
}

// read reads once. When all that was announced has arrived, it looks for the end with a byte of its own.
func (b *bodyBuffer) read(r io.Reader) error {
	free := b.last[len(b.last):cap(b.last)]
	if len(free) == 0 {
		free = make([]byte, 1)
	}
	n, err := r.Read(free)
	b.total += int64(n)
	b.last = b.last[:len(b.last)+n]
	return err
}

// releaseBody returns the memory of the body.
func (x *exchange) releaseBody() {
	x.body = nil
	if x.bodyHolder != nil {
		x.bodyHolder.Release()
	}
}

// limitRefusal bounds the time for which a caller may hold the connection of a request that is refused without its body having
// been read: [http.Server] reads up to 256 KiB more, and the caller may not read the refusal.
func (x *exchange) limitRefusal() {
	x.limitWriting(x.clock.Now().Add(refusalTime))
	if x.r.ContentLength != 0 && x.bodyHolder == nil {
		_ = http.NewResponseController(x.w).SetReadDeadline(x.clock.Now().Add(drainTime))
	}
}

// closeAfterRefusal makes the server answer without reading the rest of the body, and close the connection half a second after the
// refusal, so that a caller that still sends can read it.
func (x *exchange) closeAfterRefusal() {
	x.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(x.w).SetReadDeadline(x.clock.Now().Add(drainTime))
	// When a limit is exceeded, [http.MaxBytesReader] tells the server to linger before it closes the connection.
	_, _ = http.MaxBytesReader(x.w, io.NopCloser(strings.NewReader("x")), 0).Read(make([]byte, 1))
	x.conns.leave(x.r)
}
