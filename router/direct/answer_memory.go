package direct

import (
	"errors"
	"io"
	"sync/atomic"

	"bilberrylug.dev/core/fault"
)

const (
	// answerStep is the size in which an answer is read. The first step of each answer is not limited, so that small answers
	// are served whatever some upstreams send.
	answerStep = 64 << 10
	// answerShare is the part of the process's memory that answers may take while they are received. Growing an answer takes up
	// to twice its size for a moment.
	answerShare = 0.2
	// defaultAnswerMemory is the memory for answers in bytes if the memory of the process is not known.
	defaultAnswerMemory = 256 << 20
)

// answerMemory limits the memory of all answers that are being received. It is safe for concurrent use.
type answerMemory struct {
	limit int64
	used  atomic.Int64
}

// newAnswerMemory returns the limit for a process with the given memory in MiB, zero if it is not known.
func newAnswerMemory(megabytes int64) *answerMemory {
	if megabytes <= 0 {
		return &answerMemory{limit: defaultAnswerMemory}
	}
	return &answerMemory{limit: int64(answerShare * float64(megabytes<<20))}
}

// acquire reserves memory and reports whether there was enough.
func (m *answerMemory) acquire(bytes int64) bool {
	for {
		used := m.used.Load()
		if used+bytes > m.limit {
			return false
		}
		if m.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
}

func (m *answerMemory) release(bytes int64) { m.used.Add(-bytes) }

// readAnswer reads the body of an answer to its end. The memory is reserved until the exchange ends. It returns a
// reply_too_large fault if the answer exceeds a limit.
func (x *exchange) readAnswer(body io.Reader) ([]byte, error) {
	limit := x.limits.MaxAnswerBytes
	out := make([]byte, 0, 512)
	for {
		if len(out) == cap(out) {
			out = append(out, 0)[:len(out)]
		}
		n, err := body.Read(out[len(out):min(cap(out), len(out)+answerStep)])
		out = out[:len(out)+n]
		switch {
		case errors.Is(err, io.EOF):
			return out, nil
		case err != nil:
			return nil, err
		case int64(len(out)) > limit:
			return nil, fault.New(fault.ReplyTooLarge, "an answer of more than %d bytes, upstreams.max_answer_bytes", limit)
		}
		if err := x.reserve(int64(len(out))); err != nil {
			return nil, err
		}
	}
}

// reserve reserves the memory for an answer of the given size, beyond the first step.
func (x *exchange) reserve(size int64) error {
	for x.reserved+answerStep < size {
		if !x.answers.acquire(answerStep) && !x.awaitAnswerMemory() {
			return fault.New(fault.ReplyTooLarge, "answers that are being received take more than %d bytes, a fifth of memory_megabytes",
				x.answers.limit)
		}
		x.reserved += answerStep
	}
	return nil
}

// releaseAnswers returns the reserved memory.
func (x *exchange) releaseAnswers() {
	x.answers.release(x.reserved)
	x.reserved = 0
}

// discard reads the body of an answer that is of no use, and fails if it is too long for that.
func (x *exchange) discard(body io.Reader) error {
	n, err := io.CopyN(io.Discard, body, x.limits.MaxDiscardedBytes+1)
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	}
	return fault.New(fault.ReplyTooLarge, "a discarded body of more than %d bytes, upstreams.max_discarded_bytes", n-1)
}
