package router

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"bilberrylug.dev/agent/plain"
	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/ledger"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

const (
	// maxSendDelay bounds the time between starting to record an intent and sending the call. An agent that was paused
	// for longer withdraws the intent instead of sending the call late.
	maxSendDelay = 2 * time.Second
	// recordWait bounds how long a reply is held back until it is recorded in the ledger.
	recordWait = 2 * time.Second
	// progressPollInterval is how often a repeated call checks for the reply of the first call.
	progressPollInterval = 50 * time.Millisecond
	// storeReadEvery is the number of checks after which the bucket is read from the platform's key-value service instead
	// of the cache, because the first call may have run at another agent.
	storeReadEvery = 10
)

// Call implements [wire.DRPCAgentServer]. It performs one call of the plain service.
func (s *Server) Call(ctx context.Context, r *wire.CallRequest) (*wire.CallReply, error) {
	result, err := s.call(ctx, r)
	return &wire.CallReply{
		Fault: wireconv.FaultToWire(err, s.Config.Revision()), Status: uint32(result.Status), ContentType: result.ContentType,
		Body: result.Body, Recorded: result.recorded, Load: wireconv.LoadToWire(s.State.Load()),
	}, nil
}

// callResult is a reply. recorded is set if it comes from the ledger rather than from this call.
type callResult struct {
	ledger.Reply

	recorded bool
}

func (s *Server) call(ctx context.Context, r *wire.CallRequest) (callResult, error) {
	svc, err := s.State.admit(r.GetHeader().GetRevision())
	if err != nil {
		return callResult{}, err
	}
	if s.Plain == nil {
		return callResult{}, fault.New(fault.BadRequest, "this agent's upstream is no plain service")
	}
	if err := s.State.beginWork(); err != nil {
		return callResult{}, err
	}
	defer s.State.endWork()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	if r.GetIdempotent() {
		reply, err := s.send(ctx, r)
		return callResult{Reply: reply}, err
	}
	return s.callAtMostOnce(ctx, svc, r)
}

func (s *Server) send(ctx context.Context, r *wire.CallRequest) (ledger.Reply, error) {
	return s.Plain.Call(ctx, plain.Request{
		Method: r.GetMethod(), Path: r.GetPath(), ContentType: r.GetContentType(), Body: r.GetBody(),
		IdempotencyKey: r.GetIdempotencyKey(),
	})
}

// callAtMostOnce records an intent in the ledger, sends the call and records the reply.
func (s *Server) callAtMostOnce(ctx context.Context, svc declared.Service, r *wire.CallRequest) (callResult, error) {
	start := ledger.Start{
		Key:  ledger.KeyOf(ids.Workspace(r.GetWorkspace()), svc.Name, r.GetIdempotencyKey()),
		Call: ids.Call(r.GetCallId()), BodyHash: xxhash.Sum64(r.GetBody()),
	}
	bucket := ledger.BucketName(svc.Name, start.Key, svc.LedgerBuckets)
	began := s.Clock.Now()
	decision, err := s.Ledger.Begin(ctx, bucket, bucketLimits(svc), start)
	if err != nil {
		return callResult{}, err
	}
	if decision.Verdict != ledger.Proceed {
		return s.resolveVerdict(ctx, svc, bucket, start, decision)
	}
	if ctx.Err() != nil || s.Clock.Since(began) > maxSendDelay {
		s.Ledger.Withdraw(bucket, start.Key, start.Call)
		return callResult{}, fault.New(fault.CallCancelled, "the intent was recorded too late to send")
	}
	return s.sendAndRecord(r, svc, bucket, start)
}

func bucketLimits(svc declared.Service) ledger.Limits {
	return ledger.Limits{MaxEntries: svc.LedgerBucketEntries, Retention: svc.LedgerRetention.Std()}
}

// sendAndRecord sends a call and records its reply. It does not stop when the router disconnects: once the call is sent,
// its reply must be recorded.
func (s *Server) sendAndRecord(r *wire.CallRequest, svc declared.Service, bucket string, start ledger.Start) (callResult, error) {
	ctx, cancel := context.WithTimeout(context.Background(), svc.CallTimeout.Std())
	defer cancel()
	reply, err := s.send(ctx, r)
	if fault.CodeOf(err) == fault.NoUpstream {
		s.Ledger.Withdraw(bucket, start.Key, start.Call)
		return callResult{}, err
	}
	if err != nil {
		s.Log.Write(event.CallUnknown, "path", r.GetPath(), "call", string(start.Call))
		return callResult{}, err
	}
	recorded := s.Ledger.Finish(bucket, start.Key, start.Call, reply)
	select {
	case err = <-recorded:
		// The reply is returned even so: it is the actual outcome, and the record only serves repeated calls.
		if err != nil {
			s.Log.Write(event.LedgerWriteLost, "bucket", bucket, "error", err.Error())
		}
	case <-s.Clock.After(recordWait):
	}
	return callResult{Reply: reply}, nil
}

// resolveVerdict answers a call that must not be sent. A repeated call waits for the reply of the first one.
func (s *Server) resolveVerdict(ctx context.Context, svc declared.Service, bucket string, start ledger.Start, d ledger.Decision) (callResult, error) {
	switch d.Verdict {
	case ledger.Recorded:
		return callResult{*d.Entry.Reply, true}, nil
	case ledger.Mismatch:
		return callResult{}, fault.New(fault.RequestIDReused, "idempotency key")
	case ledger.Full:
		return callResult{}, fault.New(fault.LedgerFull, "%s", bucket)
	case ledger.Refused:
		return callResult{}, fault.New(fault.CallCancelled, "cancelled by its router")
	case ledger.InProgress:
		return s.awaitReply(ctx, svc, bucket, start.Key, d.Entry)
	case ledger.Proceed:
	}
	return callResult{}, fault.New(fault.Internal, "verdict %s", d.Verdict)
}

// awaitReply polls for the reply of a call that another request started with the same key.
func (s *Server) awaitReply(ctx context.Context, svc declared.Service, bucket string, key ledger.Key, e ledger.Entry) (callResult, error) {
	maxWait := svc.CallTimeout.Std() + recordWait
	for i := 1; ctx.Err() == nil && s.Clock.Since(e.At) < maxWait; i++ {
		select {
		case <-ctx.Done():
		case <-s.Clock.After(progressPollInterval):
		}
		current, err := s.readEntry(ctx, bucket, key, i%storeReadEvery == 0)
		if err != nil {
			break
		}
		if current.State == ledger.Done {
			return callResult{*current.Reply, true}, nil
		}
		if current.State == ledger.Cancelled {
			return callResult{}, fault.New(fault.CallCancelled, "the first call did not run")
		}
	}
	age := s.Clock.Since(e.At).Round(time.Millisecond)
	if age < maxWait {
		return callResult{}, fault.New(fault.CallInProgress, "begun %s ago", age)
	}
	return callResult{}, fault.New(fault.CallOutcomeUnknown, "the intent stands since %s", e.At.UTC().Format(time.RFC3339))
}

// readEntry returns the entry of a key from the platform's key-value service, or else as cached by this process.
func (s *Server) readEntry(ctx context.Context, bucket string, key ledger.Key, fromStore bool) (ledger.Entry, error) {
	if fromStore {
		e, _, err := s.Ledger.Read(ctx, bucket, key)
		return e, err
	}
	e, _, err := s.Ledger.Cached(ctx, bucket, key)
	return e, err
}
