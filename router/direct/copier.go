package direct

import (
	"context"
	"errors"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/relay"
)

const (
	// copyTTL is how long the receiving upstream keeps an ordered copy that is neither used nor renewed.
	copyTTL = 4 * time.Second
	// copyRefreshInterval is the pause before an ordered copy is updated. It leaves time for the transfer within copyTTL.
	copyRefreshInterval = 2500 * time.Millisecond
	// copyTimeout bounds one transfer, including its wait for other transfers on the same links.
	copyTimeout = 2 * time.Second
	// copyFreeTimeout bounds a call that frees a copy.
	copyFreeTimeout = 500 * time.Millisecond
	// copyRetryDelay is the pause after a failed transfer.
	copyRetryDelay = 300 * time.Millisecond
)

// copier tracks the copies of a run's KV cache. The upstream itself keeps the first copy up to date. When that copy is lost,
// the copier orders replacements until the run ends.
type copier struct {
	s *stream
	r *run

	ctx    context.Context
	cancel context.CancelFunc
	// backup is the copy that the upstream keeps up to date, ordered the one that was last ordered. The stream's lock guards
	// them and the fields below.
	backup    *kvCopy
	ordered   *kvCopy
	orderedAt time.Time
	// superseded holds ordered copies that are to be freed: others have replaced them, or their hosts are lost. dropped receives
	// a value when a host is lost.
	superseded []*kvCopy
	dropped    chan struct{}
	// chosen is set once the next run may resume from the copy that was ordered last, which is not replaced from then on.
	chosen bool
	// ordered copies are made until the run ends; stopped is closed then. It is nil until the first copy has been lost.
	stopped chan struct{}
}

func newCopier(s *stream, r *run) *copier {
	c := &copier{s: s, r: r, dropped: make(chan struct{}, 1)}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	if r.backup != nil {
		c.backup = &kvCopy{host: *r.backup, ref: relay.Copy{Address: r.backup.Address, Name: string(s.req.ID)}}
	}
	return c
}

func (c *copier) stop() { c.cancel() }

// end returns the copy from which the next run resumes, if resumes is set and there is one. Otherwise it frees the ordered copy.
func (c *copier) end(resumes bool) *kvCopy {
	if resumes {
		if k := c.choose(); k != nil {
			return k
		}
	}
	c.freeOrdered()
	return nil
}

// choose returns the copy from which the next run resumes, or nil. Copies that are completed later are freed.
func (c *copier) choose() *kvCopy {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.chosen = true
	if c.ordered != nil && c.s.clock.Since(c.orderedAt) < copyTTL {
		return c.ordered
	}
	return c.backup
}

// hostLost records that an upstream, or its whole failure domain, is unavailable. The caller must hold c.s.mu.
func (c *copier) hostLost(u fleet.Upstream, wholeDomain bool) {
	onLostHost := func(k *kvCopy) bool {
		return k != nil && (k.host.ID == u.ID || wholeDomain && k.host.Domain == u.Domain)
	}
	if onLostHost(c.ordered) {
		c.superseded = append(c.superseded, c.ordered)
		c.ordered = nil
		select {
		case c.dropped <- struct{}{}:
		default:
		}
	}
	if !onLostHost(c.backup) {
		return
	}
	c.backup = nil
	c.start()
}

// start makes the copier order copies until the run ends. The caller must hold c.s.mu.
func (c *copier) start() {
	if c.stopped != nil {
		return
	}
	c.stopped = make(chan struct{})
	c.s.prober.group.Go(c.run)
}

// run orders copies, refreshes them and frees superseded ones until the generation's run ends.
func (c *copier) run(ctx context.Context) {
	defer close(c.stopped)
	for c.ctx.Err() == nil {
		pause := copyRefreshInterval
		if err := c.orderCopy(ctx); err != nil {
			pause = copyRetryDelay
			c.s.log.Write(event.CopyFailed, "request", c.s.req.ID, "upstream", c.r.upstream.ID, "error", err.Error())
		}
		c.freeSuperseded(ctx)
		c.pause(ctx, pause)
	}
	c.freeSuperseded(ctx)
}

// pause waits until the next order is due or the run has ended. Copies that are dropped meanwhile are freed at once.
func (c *copier) pause(ctx context.Context, d time.Duration) {
	due := c.s.clock.After(d)
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-due:
			return
		case <-c.dropped:
			c.freeSuperseded(ctx)
		}
	}
}

var errNoCopyHost = errors.New("no upstream has room for a KV cache copy")

// orderCopy makes the run's upstream copy the KV cache to an upstream in another failure domain.
func (c *copier) orderCopy(ctx context.Context) error {
	to, ok := c.copyTarget()
	if !ok {
		return errNoCopyHost
	}
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	name, err := c.requestCopy(ctx, to)
	if err != nil {
		return err
	}
	before := locked(&c.s.mu, func() *kvCopy { return c.ordered })
	c.setOrdered(&kvCopy{host: to, ref: relay.Copy{Address: c.r.upstream.Address, Name: name}, source: c.r.upstream, ordered: true})
	if before == nil || before.host.ID != to.ID {
		c.s.recordCopyHost(to)
	}
	if c.s.rollouts != nil {
		// During a handover the run moves to the copy.
		c.s.wake()
	}
	c.s.log.Write(event.CopyCreated, "request", c.s.req.ID, "upstream", c.r.upstream.ID, "copy_at", to.ID)
	return nil
}

// setOrdered records a copy that has been made, which supersedes the last one.
func (c *copier) setOrdered(k *kvCopy) {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.chosen {
		c.superseded = append(c.superseded, k)
		return
	}
	if c.ordered != nil {
		c.superseded = append(c.superseded, c.ordered)
	}
	c.ordered = k
	c.orderedAt = c.s.clock.Now()
}

// copyTarget returns the upstream that has the last ordered copy, so that only the difference is transferred, or chooses
// another one.
func (c *copier) copyTarget() (fleet.Upstream, bool) {
	c.s.mu.Lock()
	lastOrdered := c.ordered
	c.s.mu.Unlock()
	now := c.s.clock.Now()
	c.s.state.mu.Lock()
	defer c.s.state.mu.Unlock()
	if lastOrdered != nil {
		if u, known := c.s.fleet.Get(lastOrdered.host.ID); known && u.Started == lastOrdered.host.Started && u.Available() && c.s.mayContinueAt(u, now) {
			return u, true
		}
	}
	if c.s.rateLimits.Delay(c.r.upstream.ID, now) > 0 {
		return fleet.Upstream{}, false
	}
	list := c.s.runCandidates(map[ids.VM]bool{}, "", now)
	u, ok := c.s.pickCopyHost(c.r, list, now)
	if ok {
		c.r.reservation.CopyTo(u.ID)
		c.s.broadcastSoon()
	}
	return u, ok
}

// requestCopy sends the order to the run's upstream and returns the name of the copy.
func (c *copier) requestCopy(ctx context.Context, to fleet.Upstream) (string, error) {
	_, body, err := c.s.controlCall(ctx, c.r.upstream, c.s.dialect.CopyCall(c.s.req.ID, to.Address))
	if err != nil {
		return "", err
	}
	return c.s.dialect.CopyName(body)
}

// freeSuperseded frees the superseded copies, except one that was only refreshed and has kept its name. It must not be called
// during an order, which may refresh any of them.
func (c *copier) freeSuperseded(ctx context.Context) {
	c.s.mu.Lock()
	superseded, current := c.superseded, c.ordered
	c.superseded = nil
	c.s.mu.Unlock()
	for _, k := range superseded {
		if current == nil || k.ref != current.ref {
			c.s.freeCopy(ctx, k)
		}
	}
}

// freeOrdered frees the ordered copy of a run that needs none any more. An order that is under way ends first, since its copy would remain.
func (c *copier) freeOrdered() {
	c.s.mu.Lock()
	stopped := c.stopped
	c.s.mu.Unlock()
	if stopped == nil {
		return
	}
	c.s.prober.group.Go(func(ctx context.Context) {
		select {
		case <-stopped:
			c.s.freeCopyAsync(locked(&c.s.mu, func() *kvCopy { return c.ordered }))
		case <-ctx.Done():
		}
	})
}

// freeCopyAsync frees a copy in the background if there is one and it was ordered.
func (s *stream) freeCopyAsync(k *kvCopy) {
	if k == nil || !k.ordered {
		return
	}
	s.prober.group.Go(func(ctx context.Context) { s.freeCopy(ctx, k) })
}

// freeCopy frees an ordered copy that is no longer needed, which would take memory and a slot at its host until it expires. The
// call to the upstream that made the copy frees what both hold; if that fails, the host is called.
func (s *stream) freeCopy(ctx context.Context, k *kvCopy) {
	err := s.callToFree(ctx, k, k.source)
	if err != nil {
		err = s.callToFree(ctx, k, k.host)
	}
	if err != nil {
		s.log.Write(event.CopyNotFreed, "request", s.req.ID, "copy_at", k.host.ID, "error", err.Error())
		return
	}
	s.log.Write(event.CopyFreed, "request", s.req.ID, "copy_at", k.host.ID)
}

func (s *stream) callToFree(ctx context.Context, k *kvCopy, u fleet.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, copyFreeTimeout)
	defer cancel()
	_, _, err := s.controlCall(ctx, u, s.dialect.FreeCopyCall(k.ref.Name))
	return err
}
