package caller

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// meter measures the token latencies of one answer as its caller sees them, by workspace and class.
type meter struct {
	start      time.Time
	last       time.Time
	firstToken metrics.Histogram
	gap        metrics.Histogram
}

func (s *Server) newMeter(w workspace, req parsedRequest, start time.Time) *meter {
	class := "long"
	if svc, _, err := w.model(req.Model); err == nil && req.maxTokens <= svc.ShortMaxTokens {
		class = "short"
	}
	s.Metrics.Counter("requests", "workspace", string(w.Name), "class", class).Inc(1)
	return &meter{
		start: start, firstToken: s.Metrics.Histogram("first_token_ms", "workspace", string(w.Name), "class", class),
		gap: s.Metrics.Histogram("token_gap_us", "workspace", string(w.Name), "class", class),
	}
}

// record records the arrival of n tokens.
func (m *meter) record(now time.Time, n int) {
	if n <= 0 {
		return
	}
	if m.last.IsZero() {
		m.firstToken.Update(now.Sub(m.start).Milliseconds())
	} else {
		m.gap.Update(now.Sub(m.last).Microseconds() / int64(n))
	}
	m.last = now
}
