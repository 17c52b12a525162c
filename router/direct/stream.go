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
)

// stream is one generation on its way to a caller, over all its runs.
type stream struct {
	*exchange
	model placement.EngineModel
	need  placement.Request
	// last is the last event that was passed on, or that the caller had before.
	last    uint64
	resumes bool
	// delivered counts the events that were passed on.
	delivered int
	// copied is the copy of the generation's memory from which the next run goes on, if there is one.
	copied *memoryCopy
	// failedAt holds the upstreams that failed a run and live.
	failedAt map[ids.VM]bool
	// pause is the longest pause between events, firstAfter the time to the first one.
	pause      time.Duration
	firstAfter time.Duration
	lastAt     time.Time
	tried      map[ids.VM]bool
	// moves counts the runs that were ended since their engine was slow.
	moves int
	// failed is the last answer by which an upstream failed the request.
	failed *answer

	mu     sync.Mutex
	conn   connection
	copier *copier
	// lostIn holds the failure domains in which runs of this generation were lost.
	lostIn map[ids.FailureDomain]bool
}

// stream answers a generation: events are passed on as they come, and a lost run goes on elsewhere behind the last event.
func (x *exchange) stream() {
	s := &stream{
		exchange: x, model: x.engineModel(), last: x.req.LastEvent, resumes: x.req.Resumes, tried: map[ids.VM]bool{},
		lostIn: map[ids.FailureDomain]bool{}, failedAt: map[ids.VM]bool{},
		need: x.need(),
	}
	for {
		err := s.try()
		if err == nil {
			return
		}
		if x.callerGone() || errors.Is(err, errCallerLost) {
			x.logEnd(0, "outcome", "caller left", "events", s.delivered)
			return
		}
		if final := s.after(err); final != nil {
			s.end(final)
			return
		}
	}
}

// need is the size of the request's generation.
func (x *exchange) need() placement.Request {
	return placement.Request{Prompt: x.req.Prompt.Tokens, Output: x.req.Prompt.MaxOutput, Seed: rand.Uint64()}
}

func (x *exchange) engineModel() placement.EngineModel {
	m := placement.DefaultEngineModel
	if e := x.service.Engine; e != nil {
		m.MemoryTokens = e.MemoryTokens
		m.Slots = e.Slots
	}
	return m
}

// after decides whether a lost generation goes on; the fault is its end if not.
func (s *stream) after(err error) error {
	if errors.Is(err, errNoUpstream) && s.left() >= hopelessTime {
		return s.noUpstream()
	}
	if s.mayHaveRun {
		return s.again(err, fault.ResumeExhausted)
	}
	return s.again(err, fault.QueueFull)
}

// end gives the caller the final word on a generation that does not go on.
func (s *stream) end(final error) {
	switch {
	case s.started:
		f := fault.As(final)
		s.logEnd(http.StatusOK, "outcome", "broken off", "number", f.Kind.Number, "detail", f.Detail, "events", s.delivered)
		s.metrics.Counter("streams_broken").Inc(1)
		// The connection is cut, so that the answer does not look complete.
		panic(http.ErrAbortHandler)
	case s.failed != nil:
		s.pass(s.failed)
	default:
		s.refuse(final)
	}
}
