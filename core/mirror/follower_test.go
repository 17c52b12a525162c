package mirror_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/mirror"
	"bilberrylug.dev/core/store"
)

// fakeStore answers with the functions that a test sets.
type fakeStore struct {
	store.Store
	list func() (store.Page, error)
	// listIn, if set, is used in place of list.
	listIn func(ctx context.Context) (store.Page, error)
	watch  func(ctx context.Context, wait time.Duration) (store.Changes, error)
	lists  atomic.Int32
	mu     sync.Mutex
	waits  []time.Duration
}

func (s *fakeStore) Range(ctx context.Context, _, _ string) (store.Page, error) {
	defer s.lists.Add(1)
	if s.listIn != nil {
		return s.listIn(ctx)
	}
	return s.list()
}

func (s *fakeStore) Watch(ctx context.Context, _ string, _ store.Revision, wait time.Duration) (store.Changes, error) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	return s.watch(ctx, wait)
}

func (s *fakeStore) watches() []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]time.Duration(nil), s.waits...)
}

// fakeTarget is a replica that counts the changes.
type fakeTarget struct{ applied atomic.Int32 }

func (t *fakeTarget) Revision() store.Revision { return 1 }
func (t *fakeTarget) Apply(list []store.Change, _ store.Revision) {
	t.applied.Add(int32(len(list)))
}
func (t *fakeTarget) Reset(string, []store.Item, store.Revision) {}
func (t *fakeTarget) MarkComplete(store.Revision)                {}

// follow runs a follower until the test ends. The router watches the store while isWatcher is set.
func follow(s *fakeStore, target mirror.Target, isWatcher *atomic.Bool) {
	f := mirror.NewFollower(mirror.Options{
		Store: s, Target: target, Layout: mirror.Layout{Config: "config", Upstreams: "servers/", Routers: "routers/"},
		Clock: clockwork.NewRealClock(), Log: event.New(io.Discard, slog.LevelError, "entry"),
		OnStoreChange: func() {}, OnAnswer: func() {}, IsWatcher: isWatcher.Load,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	DeferCleanup(func() {
		cancel()
		<-done
	})
}

func emptyPage() (store.Page, error) { return store.Page{Revision: 1}, nil }

func unchanged(ctx context.Context, wait time.Duration) (store.Changes, error) {
	select {
	case <-ctx.Done():
		return store.Changes{}, ctx.Err()
	case <-time.After(wait):
		return store.Changes{Revision: 1}, nil
	}
}

var _ = Describe("a follower", func() {
	var isWatcher atomic.Bool
	BeforeEach(func() { isWatcher.Store(true) })
	It("pauses between listings that the store refuses as compacted", func() {
		s := &fakeStore{list: func() (store.Page, error) { return store.Page{}, store.ErrCompacted }, watch: unchanged}
		follow(s, &fakeTarget{}, &isWatcher)
		time.Sleep(300 * time.Millisecond)
		Expect(s.lists.Load()).To(BeNumerically("<", 20))
		Expect(s.lists.Load()).To(BeNumerically(">", 1))
	})
	It("does not wait for a connection that has gone silent, and is up to date within two seconds of a change", func() {
		var calls atomic.Int32
		s := &fakeStore{list: emptyPage, watch: func(ctx context.Context, _ time.Duration) (store.Changes, error) {
			if calls.Add(1) == 2 {
				<-ctx.Done()
				return store.Changes{}, ctx.Err()
			}
			return store.Changes{List: []store.Change{{Item: store.Item{Key: "servers/a", Modified: 2}}}, Revision: 2}, nil
		}}
		target := &fakeTarget{}
		follow(s, target, &isWatcher)
		Eventually(calls.Load, 3*time.Second).Should(BeNumerically(">=", 2))
		before := target.applied.Load()
		Eventually(target.applied.Load, 2*time.Second).Should(BeNumerically(">", before))
	})
	// Guards against a router that stays at an old configuration although the store answers it: the same watch was repeated, and its answer
	// was too large each time.
	It("lists again if the answer of a watch cannot be used", func() {
		s := &fakeStore{list: emptyPage, watch: func(context.Context, time.Duration) (store.Changes, error) {
			return store.Changes{}, fmt.Errorf("%w: too large", store.ErrUnusable)
		}}
		follow(s, &fakeTarget{}, &isWatcher)
		Eventually(s.lists.Load, time.Second).Should(BeNumerically(">=", 6))
		Consistently(s.lists.Load, "500ms").Should(BeNumerically("<", 30), "with pauses between")
	})
	// Guards against a router that is behind for seconds after the store has turned it away: it asked for all versions of a large
	// configuration that were written meanwhile.
	It("lists the store after it has been turned away for longer than upstreams take to write their entries", func() {
		var turnedAway atomic.Bool
		turnedAway.Store(true)
		refused := errors.New("status 503")
		var answered atomic.Int32
		s := &fakeStore{watch: func(ctx context.Context, wait time.Duration) (store.Changes, error) {
			if turnedAway.Load() {
				return store.Changes{}, refused
			}
			answered.Add(1)
			return unchanged(ctx, wait)
		}}
		var listed atomic.Int32
		s.list = func() (store.Page, error) {
			if turnedAway.Load() && s.lists.Load() >= 3 {
				return store.Page{}, refused
			}
			if !turnedAway.Load() && answered.Load() == 0 {
				listed.Add(1)
			}
			return emptyPage()
		}
		follow(s, &fakeTarget{}, &isWatcher)
		Eventually(s.watches, time.Second).ShouldNot(BeEmpty())
		time.Sleep(2 * time.Second)
		turnedAway.Store(false)
		Eventually(answered.Load, 2*time.Second).Should(BeNumerically(">=", 1))
		Expect(listed.Load()).To(BeEquivalentTo(3), "each prefix is listed before the first watch")
	})
	// Guards against the repetition of a watch that is broken off each time.
	It("lists again if the answer of a watch is broken off", func() {
		s := &fakeStore{list: emptyPage, watch: func(context.Context, time.Duration) (store.Changes, error) {
			return store.Changes{}, fmt.Errorf("%w: connection reset", store.ErrBrokenOff)
		}}
		follow(s, &fakeTarget{}, &isWatcher)
		Eventually(s.lists.Load, time.Second).Should(BeNumerically(">=", 6))
	})
	// Guards against a listing that a slow link never completes within its time, and against more time than that for the next one: a store
	// that goes silent within it would be asked again too late.
	It("allows each page of a listing the time that a slow link needs", func() {
		var allowed []time.Duration
		var mu sync.Mutex
		s := &fakeStore{watch: unchanged}
		s.listIn = func(ctx context.Context) (store.Page, error) {
			deadline, _ := ctx.Deadline()
			mu.Lock()
			defer mu.Unlock()
			allowed = append(allowed, time.Until(deadline).Round(100*time.Millisecond))
			if len(allowed) <= 2 {
				return store.Page{}, fmt.Errorf("%w: %w", store.ErrBrokenOff, context.DeadlineExceeded)
			}
			return emptyPage()
		}
		follow(s, &fakeTarget{}, &isWatcher)
		Eventually(s.lists.Load, time.Second).Should(BeNumerically(">=", 3))
		mu.Lock()
		defer mu.Unlock()
		Expect(allowed[:3]).To(HaveEach(12 * time.Second))
	})
	It("asks without waiting when its router takes over the role, so that the others learn at once that the store answers", func() {
		isWatcher.Store(false)
		s := &fakeStore{list: emptyPage, watch: unchanged}
		follow(s, &fakeTarget{}, &isWatcher)
		Eventually(s.lists.Load).Should(BeNumerically(">=", 3))
		Consistently(s.watches, 200*time.Millisecond).Should(BeEmpty())
		isWatcher.Store(true)
		Eventually(s.watches, time.Second).Should(HaveLen(2))
		Expect(s.watches()[0]).To(BeNumerically("<", 10*time.Millisecond))
		Expect(s.watches()[1]).To(BeNumerically(">", 100*time.Millisecond))
	})
})
