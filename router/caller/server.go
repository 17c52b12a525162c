// Package caller is the interface for callers: model requests in the customary API and calls of plain services.
//
// # Usage
//
//	e := caller.New(caller.Options{...}).Handler()
//	err := http.ListenAndServe("127.0.0.1:8080", e)
package caller

import (
	"context"
	"net/http"
	"sync"

	"github.com/jonboulle/clockwork"
	"github.com/labstack/echo/v4"

	"bilberrylug.dev/core/activeconfig"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ledgerstore"
	"bilberrylug.dev/core/metric"
	"bilberrylug.dev/router/agent"
	"bilberrylug.dev/router/answer"
	"bilberrylug.dev/router/fleetview"
	"bilberrylug.dev/router/peer"
)

// maxBodyBytes bounds a request's body.
const maxBodyBytes = 4 << 20

// Options are the dependencies of a server.
type Options struct {
	View    *fleetview.View
	Config  *activeconfig.Holder
	Agents  *agent.Client
	Answers *answer.Registry
	Grants  *peer.Grants
	Ledger  *ledgerstore.Store
	Clock   clockwork.Clock
	Log     *event.Log
	Metrics *metric.Registry
	// NewID mints request ids and idempotency keys.
	NewID func() string
	// NewSeed draws the sampling seed of a request that gives none.
	NewSeed func() uint64
	// Refresh brings in a newer configuration.
	Refresh func(ctx context.Context) error
}

// Server answers callers.
type Server struct {
	Options

	hedges hedgeBudget

	mu       sync.Mutex
	stopping bool
	active   int
}

// New returns a server.
func New(o Options) *Server { return &Server{Options: o} }

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleError
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", s.ready)
	e.GET("/metrics", s.metrics)
	e.GET("/v1/models", s.guard(s.models))
	e.POST("/v1/completions", s.guard(s.completions))
	e.POST("/v1/chat/completions", s.guard(s.chat))
	e.Any("/*", s.guard(s.plain))
	return e
}

func (s *Server) ready(c echo.Context) error {
	if s.Stopping() || s.Config.Current() == nil {
		return fault.New(fault.NotReady, "revision %d", s.Config.Revision())
	}
	return c.NoContent(http.StatusOK)
}

func (s *Server) metrics(c echo.Context) error {
	s.Metrics.Gauge("answers").Update(int64(s.Answers.Len()))
	s.Metrics.Gauge("revision").Update(int64(s.Config.Revision()))
	s.Metrics.Write(c.Response())
	return nil
}

// Stop makes the router not ready and refuses new work.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Stopping tells whether new work is refused.
func (s *Server) Stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Active returns the number of requests under way.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

func (s *Server) count(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
}

// handler is a handler for an authenticated workspace.
type handler func(c echo.Context, w workspace) error

// guard authenticates a request and counts it for a planned stop. A router that is about to stop still serves what
// reaches it, since the balancer learns of the stop late.
func (s *Server) guard(h handler) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.count(1)
		defer s.count(-1)
		if s.Stopping() {
			c.Response().Header().Set("Connection", "close")
		}
		w, err := s.authenticate(c.Request())
		if err != nil {
			return err
		}
		c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes)
		return h(c, w)
	}
}
