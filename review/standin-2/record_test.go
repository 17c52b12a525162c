package standin

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the protocol of a run: what was sent, answered and run, with the time since the start.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f}, nil
}

// write adds a line. It returns the time of the line.
func (r *record) write(format string, args ...any) time.Time {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", now.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
	return now
}

// since returns the seconds from the start of the run to a time.
func (r *record) since(at time.Time) float64 { return at.Sub(r.start).Seconds() }

func (r *record) close() { _ = r.file.Close() }
