package caller

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/labstack/echo/v4"

	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/ledger"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/router/fleetview"
)

const (
	idempotencyHeader = "Idempotency-Key"
	recordedHeader    = "X-Bilberrylug-Recorded"
	// replyMargin is the time that a router waits for a reply beyond the call timeout of the agent.
	replyMargin = 3 * time.Second
	// resolveTimeout bounds the ledger access that resolves a call whose agent sent no reply.
	resolveTimeout = 3 * time.Second
)

// plainCall is a call of a plain service with the declarations that apply to it.
type plainCall struct {
	workspace workspace
	service   declared.Service
	route     declared.Route
	request   *wire.CallRequest
}

// plain forwards a call of a plain service according to its declared route.
func (s *Server) plain(c echo.Context, w workspace) error {
	r := c.Request()
	svc, route, err := w.route(r.Method, r.URL.Path)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return asFault(err)
	}
	release, err := s.Grants.Admit(r.Context(), w.Name)
	if err != nil {
		return err
	}
	defer release()
	call := s.newPlainCall(r, w, svc, route, body)
	start := s.Clock.Now()
	reply, err := s.forward(r.Context(), call)
	s.Metrics.Histogram("call_ms", "workspace", string(w.Name), "class", routeClass(route)).Update(s.Clock.Since(start).Milliseconds())
	if !route.Idempotent {
		c.Response().Header().Set(idempotencyHeader, call.request.GetIdempotencyKey())
	}
	if err != nil {
		return err
	}
	if reply.GetRecorded() {
		c.Response().Header().Set(recordedHeader, "true")
	}
	return c.Blob(int(reply.GetStatus()), reply.GetContentType(), reply.GetBody())
}

func routeClass(r declared.Route) string {
	if r.Idempotent {
		return "idempotent"
	}
	return "once"
}

func (s *Server) newPlainCall(r *http.Request, w workspace, svc declared.Service, route declared.Route, body []byte) plainCall {
	key := r.Header.Get(idempotencyHeader)
	if key == "" && !route.Idempotent {
		key = s.NewID()
	}
	return plainCall{w, svc, route, &wire.CallRequest{
		Workspace: string(w.Name), Service: string(svc.Name), Method: r.Method, Path: r.URL.RequestURI(),
		ContentType: r.Header.Get("Content-Type"), Body: body, IdempotencyKey: key, Idempotent: route.Idempotent,
		TimeoutMs: uint32(svc.CallTimeout.Std().Milliseconds()),
	}}
}

func (s *Server) forward(ctx context.Context, call plainCall) (*wire.CallReply, error) {
	ctx, cancel := context.WithTimeout(ctx, call.service.CallTimeout.Std()+replyMargin)
	defer cancel()
	if call.route.Idempotent {
		return s.callIdempotent(ctx, call)
	}
	return s.callOnce(ctx, call)
}

// callOnce forwards a call that must run at most once. It tries the agents in the rendezvous order of the call's bucket and
// moves on only after a refusal that guarantees that the call has not run. A call without a reply is resolved through the
// ledger.
func (s *Server) callOnce(ctx context.Context, call plainCall) (*wire.CallReply, error) {
	key := ledger.KeyOf(call.workspace.Name, call.service.Name, call.request.GetIdempotencyKey())
	bucket := ledger.BucketName(call.service.Name, key, call.service.LedgerBuckets)
	var lastErr error = fault.New(fault.NoUpstream, "service %s", call.service.Name)
	for _, vm := range s.View.Upstreams(call.service.Name, bucket) {
		call.request.CallId = s.NewID()
		reply, err := s.Agents.Call(ctx, vm, call.request)
		if err == nil {
			return reply, nil
		}
		kind := fault.As(err).Kind
		if kind.Code == fault.CallOutcomeUnknown {
			return s.resolveOutcome(call, bucket, key, err)
		}
		if kind.Code == fault.StaleRevision {
			_ = s.Refresh(ctx)
		}
		lastErr = err
		if kind.Claim != fault.NotRun || (!kind.Retryable && kind.Code != fault.NoUpstream) {
			break
		}
	}
	return nil, lastErr
}

// resolveOutcome determines the outcome of a call that got no reply. If the ledger holds a reply, it is returned. If it
// holds no intent, the call is cancelled permanently. If it holds only an intent, the outcome is unknown.
func (s *Server) resolveOutcome(call plainCall, bucket string, key ledger.Key, cause error) (*wire.CallReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	start := ledger.Start{Key: key, Call: ids.Call(call.request.GetCallId()), BodyHash: xxhash.Sum64(call.request.GetBody())}
	entry, cancelled, err := s.Ledger.Cancel(ctx, bucket, start)
	if err != nil {
		return nil, fault.Wrap(fault.CallOutcomeUnknown, cause, "the ledger cannot be read (%s)", err)
	}
	if cancelled {
		s.Log.Write(event.CallCancelled, "service", string(call.service.Name), "call", string(start.Call))
		return nil, fault.Wrap(fault.CallCancelled, cause, "the agent was lost before it recorded the call")
	}
	if entry.State == ledger.Done {
		return &wire.CallReply{
			Status: uint32(entry.Reply.Status), ContentType: entry.Reply.ContentType, Body: entry.Reply.Body, Recorded: true,
		}, nil
	}
	s.Log.Write(event.CallUnknown, "service", string(call.service.Name), "call", string(start.Call))
	return nil, fault.Wrap(fault.CallOutcomeUnknown, cause, "the intent is recorded")
}

func (s *Server) pickUpstream(call plainCall, avoid []ids.VM) (ids.VM, bool) {
	return s.View.Pick(fleetview.Request{Service: call.service.Name, Tokens: 1, Avoid: avoid})
}
