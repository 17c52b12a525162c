// Package caller serves the HTTP API for callers: model requests in the format of the OpenAI API and calls of plain
// services.
//
// # Usage
//
//	h := caller.New(caller.Options{...}).Handler()
//	err := http.ListenAndServe("127.0.0.1:8080", h)
package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

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

const maxBodyBytes = 4 << 20

// Options holds the dependencies of a server.
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
	// NewID returns a new request ID, call ID or idempotency key.
	NewID func() string
	// NewSeed returns the sampling seed for a request without one.
	NewSeed func() uint64
	// Refresh fetches a newer configuration.
	Refresh func(ctx context.Context) error
}

// Server handles the requests of callers. It is safe for concurrent use.
type Server struct {
	Options

	hedges hedgeBudget

	startedAt time.Time

	mu       sync.Mutex
	stopping bool
	active   int
}

// New returns a server with the given dependencies.
func New(o Options) *Server { return &Server{Options: o, startedAt: o.Clock.Now()} }

// Handler returns the HTTP handler for all routes of the API.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = s.handleError
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", s.ready)
	e.GET("/metrics", s.metrics)
	e.GET("/v1/models", s.withWorkspace(s.models))
	e.POST("/v1/completions", s.withWorkspace(s.completions))
	e.POST("/v1/chat/completions", s.withWorkspace(s.chat))
	e.Any("/*", s.withWorkspace(s.plain))
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

// Stop makes the router report not ready. Requests that still arrive are served with Connection: close.
func (s *Server) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Stopping reports whether Stop was called.
func (s *Server) Stopping() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopping
}

// Active returns the number of requests in progress.
func (s *Server) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active
}

func (s *Server) addActive(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active += n
}

// workspaceHandler handles a request of an authenticated workspace.
type workspaceHandler func(c echo.Context, w workspace) error

// withWorkspace authenticates a request and counts it as active, so that a graceful shutdown can wait for it. A
// stopping router still serves the requests that reach it, because the load balancer detects the stop with a delay.
func (s *Server) withWorkspace(h workspaceHandler) echo.HandlerFunc {
	return func(c echo.Context) error {
		s.addActive(1)
		defer s.addActive(-1)
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
