package event

import (
	"context"
	"io"
	"sync/atomic"
)

// queueLines bounds the lines that wait for a slow reader of the output; further ones are dropped and counted.
const queueLines = 1024

// Queue is an output that never blocks its writers. It is safe for concurrent use.
type Queue struct {
	lines   chan []byte
	out     io.Writer
	dropped atomic.Int64
}

// NewQueue returns a queue before an output; [Queue.Run] writes its lines.
func NewQueue(out io.Writer) *Queue { return &Queue{lines: make(chan []byte, queueLines), out: out} }

// Write implements io.Writer.
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

// Run writes lines until the context ends, then those that still wait.
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
