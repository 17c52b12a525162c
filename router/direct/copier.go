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
	// copyLife is how long an ordered copy is kept without being used or renewed.
	copyLife = 4 * time.Second
	// copyRenewal is the pause after which an ordered copy is made up to date; it leaves time for the transfer.
	copyRenewal = 2500 * time.Millisecond
	// copyTime bounds one transfer, which waits behind others on the same links.
	copyTime = 2 * time.Second
	// copyRetry is the pause after a transfer that failed.
	copyRetry = 300 * time.Millisecond
)

// copier knows where a copy of a run's memory is. The upstream itself keeps the first copy up to date; when that is lost, the
// copier orders others for as long as the run goes on.
type copier struct {
	s *stream
	r *run

	ctx    context.Context
	cancel context.CancelFunc
	// kept is the copy that the upstream keeps up to date, ordered the one that was last ordered. They are guarded by the
	// stream's lock.
	kept    *memoryCopy
	ordered *memoryCopy
	madeAt  time.Time
	began   bool
}

func newCopier(s *stream, r *run) *copier {
	c := &copier{s: s, r: r}
	c.ctx, c.cancel = context.WithCancel(s.ctx)
	if r.backup != nil {
		c.kept = &memoryCopy{at: *r.backup, name: relay.Copy{Address: r.backup.Address, Name: string(s.req.ID)}}
	}
	return c
}

func (c *copier) stop() { c.cancel() }

// copy returns the copy from which the generation can go on, or nil.
func (c *copier) copy() *memoryCopy {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	if c.ordered != nil && c.s.clock.Since(c.madeAt) < copyLife {
		return c.ordered
	}
	return c.kept
}

// lost notes that an upstream, or its whole failure domain, is out of use. The caller holds the stream's lock.
func (c *copier) lost(u fleet.Upstream, wholeDomain bool) {
	hit := func(m *memoryCopy) bool {
		return m != nil && (m.at.ID == u.ID || wholeDomain && m.at.Domain == u.Domain)
	}
	if hit(c.ordered) {
		c.ordered = nil
	}
	if !hit(c.kept) {
		return
	}
	c.kept = nil
	if c.began {
		return
	}
	c.began = true
	c.s.probes.group.Go(func(context.Context) { c.run() })
}

// run orders copies until the run ends.
func (c *copier) run() {
	for c.ctx.Err() == nil {
		pause := copyRenewal
		if err := c.order(); err != nil {
			pause = copyRetry
			c.s.log.Write(event.CopyFailed, "request", c.s.req.ID, "upstream", c.r.at.ID, "error", err.Error())
		}
		select {
		case <-c.ctx.Done():
		case <-c.s.clock.After(pause):
		}
	}
}

var errNoCopyHost = errors.New("no upstream has room for a copy")

// order has the run's upstream copy its memory to an upstream of another failure domain.
func (c *copier) order() error {
	to, ok := c.host()
	if !ok {
		return errNoCopyHost
	}
	ctx, cancel := context.WithTimeout(c.ctx, copyTime)
	defer cancel()
	name, err := c.call(ctx, to)
	if err != nil {
		return err
	}
	c.s.mu.Lock()
	c.ordered = &memoryCopy{at: to, name: relay.Copy{Address: c.r.at.Address, Name: name}}
	c.madeAt = c.s.clock.Now()
	c.s.mu.Unlock()
	c.s.log.Write(event.CopyOrdered, "request", c.s.req.ID, "upstream", c.r.at.ID, "copy_at", to.ID)
	return nil
}

// host returns where the last copy was ordered, so that only the rest is sent, or chooses anew.
func (c *copier) host() (fleet.Upstream, bool) {
	c.s.mu.Lock()
	last := c.ordered
	c.s.mu.Unlock()
	now := c.s.clock.Now()
	c.s.world.mu.Lock()
	defer c.s.world.mu.Unlock()
	if last != nil {
		if u, known := c.s.fleet.Get(last.at.ID); known && u.Started == last.at.Started && u.Available() {
			return u, true
		}
	}
	list, byID := c.s.hosts(map[ids.VM]bool{}, now)
	u, ok := c.s.copyHost(c.r, list, byID, now)
	if ok {
		c.r.ticket.CopyTo(u.ID)
		c.s.nudge()
	}
	return u, ok
}

func (c *copier) call(ctx context.Context, to fleet.Upstream) (string, error) {
	_, body, err := c.s.control(ctx, c.r.at, c.s.dialect.CopyCall(c.s.req.ID, to.Address))
	if err != nil {
		return "", err
	}
	return c.s.dialect.CopyName(body)
}
