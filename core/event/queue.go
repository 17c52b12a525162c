package event

import (
	"context"
	"io"
	"sync/atomic"
)

// queueLines is the number of lines buffered for a slow reader of the output; further ones are dropped and counted.
const queueLines = 1024

// Queue is an io.Writer that buffers lines and never blocks. It is safe for concurrent use.
type Queue struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
}

// NewQueue returns a queue whose lines [Queue.Run] writes to out.
func NewQueue(out io.Writer) *Queue { return &Queue{lines: make(chan []byte, queueLines), out: out} }

// Write implements io.Writer. It never returns an error: a line that finds the buffer full is dropped.
func (q *Queue) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	select {
	case q.lines <- line:
	default:
		q.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since the last call.
func (q *Queue) Dropped() int64 { return q.dropped.Swap(0) }

// Run writes lines until the context ends, then the lines that are still buffered.
func (q *Queue) Run(ctx context.Context) {
	for {
		select {
		case line := <-q.lines:
			_, _ = q.out.Write(line)
		case <-ctx.Done():
			q.flush()
			return
		}
	}
}

func (q *Queue) flush() {
	for {
		select {
		case line := <-q.lines:
			_, _ = q.out.Write(line)
		default:
			return
		}
	}
}
