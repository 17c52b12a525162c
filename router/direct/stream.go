package direct

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/quarantine"
	"bilberrylug.dev/core/sse"
)

// stream is the generation for one request, over all its runs at upstreams.
type stream struct {
	*exchange
	model placement.EngineModel
	// parts are the parts of the prompt that other requests may share.
	parts []quarantine.Part
	// checkedAt is when the parts were last checked.
	checkedAt    time.Time
	placementReq placement.Request
	// order decides which events are forwarded, and from which one on another run resumes.
	order *sse.Sequence
	// delivered counts the forwarded events.
	delivered int
	// resumeCopy is the copy of the KV cache from which the next run resumes, or nil.
	resumeCopy *kvCopy
	// failedAlive holds the upstreams that failed a run but still answered a probe.
	failedAlive map[ids.VM]bool
	// longestPause is the longest pause between events, timeToFirstEvent the time from the request's arrival to the first
	// event.
	longestPause     time.Duration
	timeToFirstEvent time.Duration
	lastEventAt      time.Time
	// tried holds the upstreams that further runs avoid while there are others.
	tried map[ids.VM]bool
	// promptMoves counts the runs that were ended because their engine was slow.
	promptMoves int
	// resumePause is the last pause before an attempt to resume, or zero since the last event.
	resumePause time.Duration
	// leftOld is set once a run has been ended because its version is replaced.
	leftOld bool
	// failedAnswer is the last failure answer of an upstream.
	failedAnswer *answer

	mu     sync.Mutex
	conn   connection
	copier *copier
	// failedDomains holds the failure domains that further runs and copies avoid, since runs of this generation failed there.
	failedDomains map[ids.FailureDomain]bool
}

// stream serves a generation. It forwards events as they arrive, and resumes a failed run at another upstream after the last
// event.
func (x *exchange) stream() {
	s := &stream{
		exchange: x, model: x.engineModel(), tried: map[ids.VM]bool{},
		order:         sse.NewSequence(x.streamConventions(x.service.Name), x.req.LastEventID, x.req.Resumes),
		failedDomains: map[ids.FailureDomain]bool{}, failedAlive: map[ids.VM]bool{},
		placementReq: x.placementRequest(), parts: quarantine.Parts(x.req.Prompt.Model, x.req.Prompt.Parts),
	}
	defer s.endTrial()
	defer func() { s.freeCopyAsync(s.resumeCopy) }()
	for {
		err := s.runOnce()
		if err == nil {
			return
		}
		var final error
		if !s.callerLost(err) {
			final = s.checkResume(err)
		}
		switch {
		case s.callerLost(err):
			x.logEnd(0, "outcome", x.cutOutcome(), "events", s.delivered)
			// The caller may have closed only its sending side and must not take the answer for a complete one.
			panic(http.ErrAbortHandler)
		case final != nil:
			s.finish(final)
			return
		}
	}
}

// lastEventID returns the ID of the last event that the caller has, zero if there is none.
func (s *stream) lastEventID() uint64 {
	id, _ := s.order.LastID()
	return id
}

// callerLost reports whether the caller has disconnected, or a run has ended with the error that says so.
func (s *stream) callerLost(err error) bool {
	return s.callerGone() || errors.Is(err, errCallerLost)
}

// placementRequest returns the request's generation for the placement on an engine.
func (x *exchange) placementRequest() placement.Request {
	return placement.Request{Prompt: x.req.Prompt.Tokens, Output: x.req.Prompt.MaxOutput, Seed: rand.Uint64()}
}

// engineModel returns the cost model of the service's engines.
func (x *exchange) engineModel() placement.EngineModel {
	m := placement.DefaultEngineModel
	if e := x.service.Engine; e != nil {
		m.MemoryTokens = e.MemoryTokens
		m.Slots = e.Slots
	}
	return m
}

// finish ends a generation that cannot be resumed: it aborts an answer that has started, and otherwise forwards an
// upstream's failure answer or refuses the request.
func (s *stream) finish(final error) {
	switch {
	case s.headerSent:
		f := fault.As(final)
		s.logEnd(http.StatusOK, "outcome", "stream aborted", "number", f.Kind.Number, "detail", f.Detail, "events", s.delivered,
			"left", s.remaining().String(), "runs", s.runs(), "max_attempts", s.route.MaxAttempts, "refusals", s.refusals)
		s.metrics.Counter("streams_broken").Inc(1)
		// Closing the connection keeps the answer from looking complete.
		panic(http.ErrAbortHandler)
	case s.failedAnswer != nil:
		s.forward(s.failedAnswer)
	default:
		s.refuse(final)
	}
}
