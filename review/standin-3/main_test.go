// Package standin_test holds stand-ins for the platform's store, runners and clients, and the scripts of the third review.
// It is built with "go test -c", since the names of the platform's protocol may only stand in test files outside of platform.
//
// # Usage
//
//	standin CASE RECORD          // plays a case with routers as separate processes; exits with 0, 1 or 2
//	standin runner ADDRESS ID    // a runner as a process of its own
package standin_test

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxTime bounds a case.
const maxTime = 100 * time.Second

// cases maps the names of the cases to the functions that play them. A function returns whether the rule was broken.
var cases = map[string]func(s *site) bool{
	"unframed-stream":  unframedStream,
	"unframed-resume":  unframedResume,
	"unframed-call":    unframedCall,
	"stop-queued":      stopQueued,
	"pause-waiting":    pauseWaiting,
	"limit-lowered":    limitLowered,
	"limit-quiet":      limitQuiet,
	"budget-herd-kill": budgetHerdKill,
	"crowd":            crowd,
}

func TestMain(*testing.M) {
	if len(os.Args) == 4 && os.Args[1] == "runner" {
		serveRunnerProcess(os.Args[2], os.Args[3])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD | standin runner ADDRESS ID")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, record string) (code int) {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	rec := &recorder{out: out, begin: time.Now()}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s := &site{recorder: rec, dir: dir, trouble: trouble, store: newStore(), memory: 284}
	defer func() {
		if p := recover(); p != nil {
			s.note("the case could not run: %v", p)
			code = exitFailed
		}
		s.close()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Fprintln(os.Stderr, "logs are in", dir)
		}
		s.note("exit code %d", code)
		_ = out.Close()
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-time.After(maxTime):
			s.note("the case took too long")
		case <-stop:
			s.note("the case was stopped")
		}
		s.close()
		_ = os.RemoveAll(dir)
		os.Exit(exitFailed)
	}()
	s.note("case %s, disruption: %v", name, trouble)
	if cases[name](s) {
		s.note("RULE BROKEN")
		return exitBroken
	}
	s.note("rule held")
	return exitHeld
}

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	begin time.Time
}

// note writes a line with the time since the beginning.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// site is a small deployment.
type site struct {
	*recorder
	dir     string
	trouble bool
	store   *store
	// memory is the memory of a router in MB.
	memory int

	mu      sync.Mutex
	routers []*router
	runners []*runner
	closed  bool
}

// close ends all processes that the case has started.
func (s *site) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	for _, r := range s.routers {
		r.kill()
	}
	for _, u := range s.runners {
		u.stop()
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// root returns the root of the repository, in which the router is started.
func root() string {
	dir, err := os.Getwd()
	must(err)
	for ; dir != "/"; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir
		}
	}
	panic("started outside of the repository")
}
