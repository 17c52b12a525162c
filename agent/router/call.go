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
	// sendWindow is the longest time between a recorded intent and the sending of the call. An agent that was paused
	// for longer withdraws the intent instead of sending late.
	sendWindow = 2 * time.Second
	// finishWait is how long a reply is held back for its record.
	finishWait = 2 * time.Second
	// progressPoll is how often a repeated call looks for the reply of the first one.
	progressPoll = 50 * time.Millisecond
	// progressReadEvery is the number of looks after which the platform's service is read, since the first call may
	// have run at another agent.
	progressReadEvery = 10
)

// Call implements the drpc service: one call of a plain service.
func (s *Server) Call(ctx context.Context, r *wire.CallRequest) (*wire.CallReply, error) {
	result, err := s.call(ctx, r)
	return &wire.CallReply{
		Fault: wireconv.FaultToWire(err, s.Config.Revision()), Status: uint32(result.Status), ContentType: result.ContentType,
		Body: result.Body, Recorded: result.recorded, Load: wireconv.LoadToWire(s.State.Load()),
	}, nil
}

// callResult is a reply with the mark of whether it was taken from the record.
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
	if err := s.State.begin(); err != nil {
		return callResult{}, err
	}
	defer s.State.end()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.GetTimeoutMs())*time.Millisecond)
	defer cancel()
	if r.GetIdempotent() {
		reply, err := s.send(ctx, r)
		return callResult{Reply: reply}, err
	}
	return s.callOnce(ctx, svc, r)
}

func (s *Server) send(ctx context.Context, r *wire.CallRequest) (ledger.Reply, error) {
	return s.Plain.Call(ctx, plain.Request{
		Method: r.GetMethod(), Path: r.GetPath(), ContentType: r.GetContentType(), Body: r.GetBody(),
		IdempotencyKey: r.GetIdempotencyKey(),
	})
}

// callOnce records the intent, sends the call and records the reply.
func (s *Server) callOnce(ctx context.Context, svc declared.Service, r *wire.CallRequest) (callResult, error) {
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
		return s.notBegun(ctx, svc, bucket, start, decision)
	}
	if ctx.Err() != nil || s.Clock.Since(began) > sendWindow {
		s.Ledger.Withdraw(bucket, start.Key, start.Call)
		return callResult{}, fault.New(fault.CallCancelled, "the intent was recorded too late to send")
	}
	return s.sendOnce(r, svc, bucket, start)
}

func bucketLimits(svc declared.Service) ledger.Limits {
	return ledger.Limits{MaxEntries: svc.LedgerBucketEntries, Retention: svc.LedgerRetention.Std()}
}

// sendOnce is no longer ended by the router's leaving: once sent, the reply is wanted for the record.
func (s *Server) sendOnce(r *wire.CallRequest, svc declared.Service, bucket string, start ledger.Start) (callResult, error) {
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
		// The reply is given all the same: it is the true outcome, and the record is only for repeats.
		if err != nil {
			s.Log.Write(event.LedgerWriteLost, "bucket", bucket, "error", err.Error())
		}
	case <-s.Clock.After(finishWait):
	}
	return callResult{Reply: reply}, nil
}

// notBegun answers a call that must not be sent. A repeat waits a little for the reply of the first one.
func (s *Server) notBegun(ctx context.Context, svc declared.Service, bucket string, start ledger.Start, d ledger.Decision) (callResult, error) {
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

// awaitReply looks for the reply of a call that another request has begun under the same key.
func (s *Server) awaitReply(ctx context.Context, svc declared.Service, bucket string, key ledger.Key, e ledger.Entry) (callResult, error) {
	patience := svc.CallTimeout.Std() + finishWait
	for i := 1; ctx.Err() == nil && s.Clock.Since(e.At) < patience; i++ {
		select {
		case <-ctx.Done():
		case <-s.Clock.After(progressPoll):
		}
		now, err := s.lookAgain(ctx, bucket, key, i%progressReadEvery == 0)
		if err != nil {
			break
		}
		if now.State == ledger.Done {
			return callResult{*now.Reply, true}, nil
		}
		if now.State == ledger.Cancelled {
			return callResult{}, fault.New(fault.CallCancelled, "the first call did not run")
		}
	}
	age := s.Clock.Since(e.At).Round(time.Millisecond)
	if age < patience {
		return callResult{}, fault.New(fault.CallInProgress, "begun %s ago", age)
	}
	return callResult{}, fault.New(fault.CallOutcomeUnknown, "the intent stands since %s", e.At.UTC().Format(time.RFC3339))
}

func (s *Server) lookAgain(ctx context.Context, bucket string, key ledger.Key, fromStore bool) (ledger.Entry, error) {
	if fromStore {
		e, _, err := s.Ledger.Read(ctx, bucket, key)
		return e, err
	}
	e, _, err := s.Ledger.Cached(ctx, bucket, key)
	return e, err
}
