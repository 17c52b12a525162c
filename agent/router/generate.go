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

// keepaliveInterval is how often a router hears of an attempt that has no token to send.
const keepaliveInterval = 250 * time.Millisecond

// engineCancelTimeout bounds the order to end a run that its router has given up.
const engineCancelTimeout = time.Second

var (
	errEngineLost = errors.New("the engine does not answer")
	errPreempted  = errors.New("short work took the slot")
)

// Generate implements the drpc service: one attempt of one answer.
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
	if err := s.State.begin(); err != nil {
		return err
	}
	defer s.State.end()
	model := ids.Model{Name: r.GetPrompt().GetModel(), Version: r.GetPrompt().GetVersion()}
	s.State.countRun(model, 1)
	defer s.State.countRun(model, -1)
	item, err := s.enqueue(r, svc)
	if err != nil {
		return err
	}
	defer s.release(item)
	ctx, cancel := context.WithCancelCause(ctx)
	side := group.New(ctx)
	defer side.Stop()
	defer cancel(nil)
	side.Go(func(ctx context.Context) { s.keepAlive(ctx, out) })
	lost := s.Health.Lost()
	side.Go(func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-lost:
			cancel(errEngineLost)
		}
	})
	if !item.Wait(s.Clock.Now(), s.Clock.After, ctx.Done()) {
		return s.notStarted(ctx, r)
	}
	side.Go(func(ctx context.Context) {
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

// enqueue sorts by the tokens that are still to come, so a resumed answer that is nearly done counts as short.
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

// notStarted says why a wait for a slot ended. In all cases the engine was not asked.
func (s *Server) notStarted(ctx context.Context, r *wire.GenerateRequest) error {
	if cause := context.Cause(ctx); cause != nil {
		return fault.Wrap(fault.QueueFull, cause, "not started")
	}
	return fault.New(fault.DeadlineExceeded, "%s waited for a slot", r.GetRequestId())
}

func (s *Server) keepAlive(ctx context.Context, out *attemptStream) {
	group.Every(ctx, s.Clock, keepaliveInterval, func() {
		if s.Health.Healthy() {
			_ = out.alive()
		}
	})
}

// run passes the engine's tokens on. The run at the engine is cancelled when the router leaves or the engine counts as
// lost, so that no engine works for no one.
func (s *Server) run(ctx context.Context, r *wire.GenerateRequest, out *attemptStream) error {
	id := fmt.Sprintf("%s.%s.%d", r.GetWorkspace(), r.GetRequestId(), r.GetAttempt())
	s.Log.Write(event.AttemptStarted, "request", r.GetRequestId(), "attempt", r.GetAttempt(), "prefix", len(r.GetPrefix()))
	err := s.Engine.Generate(ctx, engineRun(id, r), s.forward(out))
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

// cancelRun is done apart from the attempt, whose context may have ended. A frozen engine is not asked.
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

// forward sends each token on and measures the engine's cadence.
func (s *Server) forward(out *attemptStream) func(engine.Token) error {
	var last time.Time
	return func(t engine.Token) error {
		if t.FinishReason != "" {
			return out.finished(t.Index, t.FinishReason)
		}
		now := s.Clock.Now()
		if !last.IsZero() {
			s.State.noteCadence(now.Sub(last))
		}
		last = now
		return out.token(t.Index, t.Text)
	}
}
