package direct

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/pace"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

const (
	// firstListTime is the time after the first configuration within which an unknown upstream counts as established: the router reads the
	// list of all upstreams then, and cannot tell which of them have just started.
	firstListTime = 2 * time.Second
	// minLoss is the shortest loss after which an upstream has recovered. A lost packet costs a second, and a lost upstream is probed once a
	// second.
	minLoss = 1500 * time.Millisecond
	// minPredicted is the shortest predicted time to a first event that is a measure of an engine's speed.
	minPredicted = 50 * time.Millisecond
)

// beginWindow begins the window of an upstream. The caller must hold st.mu.
func (st *state) beginWindow(id ids.VM, started int64, cause pace.Cause, now time.Time) {
	if st.pace == nil {
		return
	}
	if c, changed := st.pace.Begin(pace.Start{ID: id, Started: started}, cause, now); changed {
		st.logWindows(c)
	}
}

// paceRegistered begins the window of an upstream whose entry was read, if the entry shows that it has just started. Old is its entry before,
// if it is known; left is set if it had left the store with the same start. The caller must hold st.mu.
func (st *state) paceRegistered(old fleet.Upstream, known, left bool, e fleet.Entry, now time.Time) {
	switch {
	case st.pace == nil || e.Draining:
	case known && old.Started == 0 && old.Address == e.Address:
		st.pace.Rename(pace.Start{ID: e.ID}, pace.Start{ID: e.ID, Started: e.Started})
	case known && old.Started != e.Started:
		st.beginWindow(e.ID, e.Started, pace.Registered, now)
	case known && old.Address != e.Address:
		st.beginWindow(e.ID, e.Started, pace.Moved, now)
	case known, left, st.configuredAt.IsZero(), now.Sub(st.configuredAt) < firstListTime:
	default:
		st.beginWindow(e.ID, e.Started, pace.Registered, now)
	}
}

// paceRecovered begins the window of a lost upstream that has answered, unless the loss was short. The caller must hold st.mu.
func (st *state) paceRecovered(u fleet.Upstream, now time.Time) {
	if !u.LostAt().IsZero() && now.Sub(u.LostAt()) >= minLoss {
		st.beginWindow(u.ID, u.Started, pace.Returned, now)
	}
}

// recordTrouble records that an upstream refused, failed or stalled. The caller must hold st.mu.
func (st *state) recordTrouble(u fleet.Upstream, trouble pace.Trouble, now time.Time) {
	if c, decreased := st.pace.RecordTrouble(startOf(u), trouble, now); decreased {
		st.logWindows(c)
		st.broadcastSoon()
	}
}

func startOf(u fleet.Upstream) pace.Start { return pace.Start{ID: u.ID, Started: u.Started} }

// logWindows logs changes of windows. The caller must hold st.mu.
func (st *state) logWindows(changes ...pace.Change) {
	for _, c := range changes {
		kind := event.WindowBegun
		switch c.State {
		case pace.Begun:
		case pace.Decreased:
			kind = event.WindowDecreased
		case pace.Established:
			kind = event.UpstreamEstablished
		}
		st.log.Write(kind, append(c.LogFields(), "windows", st.pace.Len())...)
		st.metrics.Counter("upstream_window_changes", "state", string(c.State), "reason", c.Reason).Inc(1)
	}
	if len(changes) > 0 {
		st.metrics.Gauge("upstream_windows").Update(int64(st.pace.Len()))
	}
}

// weigh marks the candidates whose windows are full. InFlight returns the requests that this router and others have in flight at an
// upstream, and its slots. The caller must hold st.mu.
func (x *exchange) weigh(list candidateList, inFlight func(u *fleet.Upstream) (own, others, slots int), now time.Time) {
	if x.pace == nil || x.pace.Len() == 0 {
		return
	}
	loads := make([]pace.Load, 0, len(list.upstreams))
	for i, u := range list.upstreams {
		own, others, slots := inFlight(u)
		loads = append(loads, pace.Load{
			Start: startOf(*u), InFlight: own + others, Others: others, Slots: slots, Suspect: list.candidates[i].Suspect,
		})
	}
	x.logWindows(x.pace.Weigh(loads, x.rateLimits.Unseen(x.service.Name), rand.Float64, now)...)
	for i := range loads {
		list.candidates[i].WindowFull = loads[i].Full
	}
}

// countOverWindow counts a request that goes to an upstream whose window is full.
func (x *exchange) countOverWindow(full bool) {
	if full {
		x.metrics.Counter("requests_over_window", "service", string(x.service.Name)).Inc(1)
	}
}

// paceCall records what the outcome of a call says about the upstream's window.
func (x *exchange) paceCall(u fleet.Upstream, a *answer, err error, took time.Duration) {
	if x.pace == nil || x.callerGone() || err != nil && x.ended(x.ctx) {
		return
	}
	now := x.clock.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case errors.Is(err, errUpstreamFull):
		x.recordTrouble(u, pace.Refused, now)
	case errors.Is(err, errNotRun), errors.Is(err, errAddressReused), errors.Is(err, errUnattributed):
	case errors.Is(err, errAttemptTimeout):
		x.recordTrouble(u, pace.Stalled, now)
	case err != nil, a.resp.StatusCode >= http.StatusInternalServerError:
		x.recordTrouble(u, pace.Failed, now)
	default:
		x.pace.RecordAnswer(pace.Answer{
			Start: startOf(u), Class: pace.Class{Service: x.service.Name, Route: x.route.Name},
			Ratio: took.Seconds() / x.calls.ReportedSlowness(u.ID, now),
		}, now)
	}
}

// paceFirstEvent records what the time to a run's first event says about the upstream's window. The caller must hold s.state.mu.
func (s *stream) paceFirstEvent(r *run, elapsed time.Duration, now time.Time) {
	if s.pace == nil || r.resumeFrom != nil || r.predicted < minPredicted {
		return
	}
	s.pace.RecordAnswer(pace.Answer{
		Start: startOf(r.upstream), Class: pace.Class{Service: s.service.Name}, Ratio: float64(elapsed-r.delay) / float64(r.predicted),
		Slow: s.picker.IsSlow(r.upstream.ID, now),
	}, now)
}

// paceFailedRun records what a failed run says about the upstream's window.
func (s *stream) paceFailedRun(r *run, err error) {
	if s.pace == nil {
		return
	}
	trouble := pace.Failed
	switch {
	case errors.As(err, new(*quarantineError)), errors.Is(err, errAddressReused), errors.Is(err, errUnattributed):
		return
	case s.callerLost(err), s.ended(s.ctx):
		return
	case errors.Is(err, errNotRun):
		trouble = pace.Refused
	case errors.Is(err, errHung), errors.Is(err, errUpstreamSlow), errors.Is(err, errUnreachable):
		trouble = pace.Stalled
	}
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	s.recordTrouble(r.upstream, trouble, s.clock.Now())
}

// windowReports returns the windows for the other routers. The caller must hold st.mu.
func (st *state) windowReports(now time.Time) []*wire.UpstreamWindow {
	if st.pace == nil {
		return nil
	}
	return wireconv.WindowsToWire(st.pace.Reports(now))
}

// mergeWindows applies the windows that another router has reported. The caller must hold st.mu.
func (st *state) mergeWindows(n *wire.News, now time.Time) {
	if st.pace != nil {
		st.logWindows(st.pace.Merge(ids.VM(n.GetSender()), wireconv.WindowsFromWire(n.GetWindows()), now)...)
	}
}

// retainWindows forgets the windows of upstreams that are gone. The caller must hold st.mu.
func (st *state) retainWindows() {
	if st.pace == nil || st.pace.Len() == 0 {
		return
	}
	st.pace.Retain(func(s pace.Start) bool {
		u, known := st.fleet.Get(s.ID)
		return known && u.Started == s.Started
	})
	st.metrics.Gauge("upstream_windows").Update(int64(st.pace.Len()))
}
