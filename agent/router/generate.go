package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"bilberrylug.dev/agent/engine"
	"bilberrylug.dev/agent/queue"
	"bilberrylug.dev/core/declared"
	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/group"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

// keepaliveInterval is how often an attempt sends a keepalive event, so that the router receives events even while there are
// no tokens.
const keepaliveInterval = 250 * time.Millisecond

// engineCancelTimeout bounds the request that cancels an abandoned run at the engine.
const engineCancelTimeout = time.Second

var (
	errEngineLost = errors.New("the engine does not answer")
	errPreempted  = errors.New("short work took the slot")
)

// Generate implements [wire.DRPCAgentServer]. It runs one attempt of an answer and streams its tokens.
func (s *Server) Generate(r *wire.GenerateRequest, stream wire.DRPCAgent_GenerateStream) error {
	out := &attemptStream{stream: stream, load: s.State.Load, clock: s.Clock}
	if err := s.generate(stream.Context(), r, out); err != nil {
		return out.fail(wireconv.FaultToWire(err, s.Config.Revision()))
	}
	return nil
}

func (s *Server) generate(ctx context.Context, r *wire.GenerateRequest, out *attemptStream) error {
	svc, err := s.admitModel(r)
	if err != nil {
		return err
	}
	if err := s.State.beginWork(); err != nil {
		return err
	}
	defer s.State.endWork()
	model := ids.Model{Name: r.GetPrompt().GetModel(), Version: r.GetPrompt().GetVersion()}
	s.State.addRuns(model, 1)
	defer s.State.addRuns(model, -1)
	item, err := s.enqueue(r, svc)
	if err != nil {
		return err
	}
	defer s.release(item)
	ctx, cancel := context.WithCancelCause(ctx)
	background := group.NewRecovering(ctx, s.Log.Panic)
	defer background.Stop()
	defer cancel(nil)
	background.Go(func(ctx context.Context) { s.keepAlive(ctx, out) })
	lost := s.Health.Lost()
	background.Go(func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-lost:
			cancel(errEngineLost)
		}
	})
	if !item.Wait(s.Clock.Now(), s.Clock.After, ctx.Done()) {
		return s.waitError(ctx, r)
	}
	background.Go(func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-item.Preempted():
			s.Metrics.Counter("preemptions").Inc(1)
			cancel(errPreempted)
		}
	})
	return s.run(ctx, r, out)
}

func (s *Server) admitModel(r *wire.GenerateRequest) (declared.Service, error) {
	svc, err := s.State.admit(r.GetHeader().GetRevision())
	if err != nil {
		return svc, err
	}
	if s.Engine == nil {
		return svc, fault.New(fault.BadRequest, "this agent's upstream is no model engine")
	}
	if !s.Health.Healthy() {
		return svc, fault.Wrap(fault.QueueFull, errEngineLost, "not started")
	}
	return svc, nil
}

// enqueue classifies the attempt by the tokens left to generate, so a resumed answer that is nearly done counts as short.
func (s *Server) enqueue(r *wire.GenerateRequest, svc declared.Service) (*queue.Item, error) {
	left := r.GetPrompt().GetMaxTokens() - min(uint32(len(r.GetPrefix())), r.GetPrompt().GetMaxTokens())
	class := queue.Long
	if left <= svc.ShortMaxTokens {
		class = queue.Short
	}
	s.State.mu.Lock()
	defer s.State.mu.Unlock()
	return s.State.queue.Add(queue.Item{
		Workspace: ids.Workspace(r.GetWorkspace()), Class: class, Tokens: uint64(left),
		Deadline: s.Clock.Now().Add(svc.MaxQueueTime.Std()), Resumed: len(r.GetPrefix()) > 0,
		Preemptible: r.GetPreemptible(),
	})
}

func (s *Server) release(item *queue.Item) {
	s.State.mu.Lock()
	defer s.State.mu.Unlock()
	s.State.queue.Done(item)
}

// waitError returns the reason why the attempt got no slot. In all cases no request was sent to the engine.
func (s *Server) waitError(ctx context.Context, r *wire.GenerateRequest) error {
	if cause := context.Cause(ctx); cause != nil {
		return fault.Wrap(fault.QueueFull, cause, "not started")
	}
	return fault.New(fault.DeadlineExceeded, "%s waited for a slot", r.GetRequestId())
}

func (s *Server) keepAlive(ctx context.Context, out *attemptStream) {
	group.Every(ctx, s.Clock, keepaliveInterval, func() {
		if s.Health.Healthy() {
			_ = out.keepalive()
		}
	})
}

// run forwards the engine's tokens to the router. If the router disconnects, the engine is lost or the run is preempted,
// it cancels the run at the engine, so that the engine does not generate tokens that nobody reads.
func (s *Server) run(ctx context.Context, r *wire.GenerateRequest, out *attemptStream) error {
	id := fmt.Sprintf("%s.%s.%d", r.GetWorkspace(), r.GetRequestId(), r.GetAttempt())
	s.Log.Write(event.AttemptStarted, "request", r.GetRequestId(), "attempt", r.GetAttempt(), "prefix", len(r.GetPrefix()))
	err := s.Engine.Generate(ctx, engineRun(id, r), s.forwardTokens(out))
	if err != nil {
		s.cancelRun(id)
	}
	cause := context.Cause(ctx)
	if err != nil && errors.Is(cause, errPreempted) {
		return fault.New(fault.Preempted, "attempt %d", r.GetAttempt())
	}
	if err != nil && cause != nil {
		return fault.Wrap(fault.UpstreamLost, cause, "attempt %d", r.GetAttempt())
	}
	return err
}

// cancelRun cancels a run at the engine. It uses its own context, as the attempt's may be done, and skips an unhealthy
// engine, which would not respond.
func (s *Server) cancelRun(id string) {
	ctx, cancel := context.WithTimeout(context.Background(), engineCancelTimeout)
	defer cancel()
	if s.Health.Healthy() {
		_ = s.Engine.Cancel(ctx, id)
	}
}

func engineRun(id string, r *wire.GenerateRequest) engine.Run {
	p := r.GetPrompt()
	return engine.Run{
		Model: p.GetModel(), Version: p.GetVersion(), Adapter: p.GetAdapter(), Prompt: p.GetText(),
		MaxTokens: p.GetMaxTokens(), Seed: p.GetSeed(), Temperature: p.GetTemperature(),
		RequestID: id, ResumeTokens: r.GetPrefix(),
	}
}

// forwardTokens returns a function that sends each token to the router and records the time between tokens.
func (s *Server) forwardTokens(out *attemptStream) func(engine.Token) error {
	var last time.Time
	return func(t engine.Token) error {
		if t.FinishReason != "" {
			return out.finish(t.Index, t.FinishReason)
		}
		now := s.Clock.Now()
		if !last.IsZero() {
			s.State.recordTokenInterval(now.Sub(last))
		}
		last = now
		return out.token(t.Index, t.Text)
	}
}
