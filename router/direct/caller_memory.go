package direct

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"bilberrylug.dev/core/event"
	"bilberrylug.dev/core/memory"

	"github.com/jonboulle/clockwork"

	"bilberrylug.dev/core/metric"
)

const (
	// bodyShare is the part of the process's memory that request bodies and large headers may take, beside answers and connections. With a
	// fifth, the mix of all hostile loads took 93 to 105 MB of 112.
	bodyShare = 0.15
	// minBodyMemory and defaultBodyMemory are the memory for bodies in bytes if the process has little, and if its memory is not known.
	// The former holds one body of the largest usual size beside small ones.
	minBodyMemory     = 8 << 20
	defaultBodyMemory = 256 << 20
	// minRoomWait and maxRoomWait are the shortest and the longest pause in the wait for shed bodies to be released. They are as soon
	// as their goroutines run; the pauses add up to half a second.
	minRoomWait = time.Millisecond
	maxRoomWait = 300 * time.Millisecond
	// pressureLogInterval is the shortest interval between two lines about pressure.
	pressureLogInterval = time.Second
	// maxPressureSources bounds the addresses of callers that are counted between two lines.
	maxPressureSources = 64
)

// callerMemory accounts for what callers send and do not read, and reports what is shed for lack of memory or of connections.
type callerMemory struct {
	account *memory.Account
	// deliveries holds what is being written to callers.
	deliveries *memory.Account
	clock      clockwork.Clock
	log        *event.Log
	metrics    *metric.Registry

	mu sync.Mutex
	// shed, unread and closed count the bodies that were shed, the answers that were not read, and the connections that were closed at their
	// bound, since the last line.
	shed, unread, closed int
	// sources counts all of them by the address of the caller.
	sources  map[string]int
	loggedAt time.Time
}

func newCallerMemory(megabytes int64, clock clockwork.Clock, log *event.Log, metrics *metric.Registry) *callerMemory {
	return &callerMemory{
		account: memory.New(bodyMemory(megabytes)), deliveries: memory.New(deliveryMemory(megabytes)), clock: clock, log: log, metrics: metrics, sources: map[string]int{},
	}
}

// bodyMemory returns the memory for bodies of a process with the given memory in MiB, zero if it is not known.
func bodyMemory(megabytes int64) memory.Bytes {
	if megabytes <= 0 {
		return defaultBodyMemory
	}
	return max(minBodyMemory, memory.Bytes(bodyShare*float64(megabytes<<20)))
}

// grow reserves bytes for a holder, and sheds others for them. It reports false if the holder is shed itself, or if others that are shed
// do not release in time.
func (m *callerMemory) grow(h *memory.Holder, n memory.Bytes) bool {
	for wait := minRoomWait; wait < maxRoomWait; wait *= 2 {
		shed, granted := m.account.Grow(h, n, m.clock.Now())
		if slices.Contains(shed, h) {
			return false
		}
		notifyAll(shed)
		if granted {
			return true
		}
		m.clock.Sleep(wait)
	}
	return false
}

// notifyAll ends the arrival of what shed holders receive.
func notifyAll(shed []*memory.Holder) {
	for _, h := range shed {
		h.Notify()
	}
}

// recordShed records that the body of a caller was shed.
func (m *callerMemory) recordShed(remote string) {
	m.metrics.Counter("bodies_shed").Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.shed++
	m.recordSource(remote)
}

// recordUnread records that the connection of a caller that does not read was closed.
func (m *callerMemory) recordUnread(remote string) {
	m.metrics.Counter("answers_shed").Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unread++
	m.recordSource(remote)
}

// recordClosed records that the connection of a caller was closed at the bound of connections.
func (m *callerMemory) recordClosed(remote, reason string) {
	m.metrics.Counter("caller_connections_closed", "reason", reason).Inc(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed++
	m.recordSource(remote)
}

// recordSource counts an address. The caller must hold m.mu.
func (m *callerMemory) recordSource(remote string) {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	if _, known := m.sources[host]; known || len(m.sources) < maxPressureSources {
		m.sources[host]++
	}
}

// report updates the metrics, and logs what was shed since the last line, at most once in pressureLogInterval.
func (m *callerMemory) report(connections int) {
	held := int64(m.account.Held())
	m.metrics.Gauge("caller_bytes_held").Update(held)
	m.metrics.Gauge("caller_connections").Update(int64(connections))
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	if m.shed+m.unread+m.closed == 0 || now.Sub(m.loggedAt) < pressureLogInterval {
		return
	}
	most, count := "", 0
	for _, host := range slices.Sorted(maps.Keys(m.sources)) {
		if m.sources[host] > count {
			most, count = host, m.sources[host]
		}
	}
	m.log.Write(event.CallersShed, "bodies", m.shed, "answers", m.unread, "connections", m.closed, "most_from", most, "of_these", count,
		"sources", len(m.sources), "held", held, "open", connections)
	m.shed, m.unread, m.closed, m.loggedAt = 0, 0, 0, now
	clear(m.sources)
}

// callerBound returns how many connections callers may have, or zero if there is no limit.
func (s Settings) callerBound() int {
	bound := 0
	if s.MemoryMegabytes > 0 {
		bound = max(minCallers, int(connectionShare*float64(s.MemoryMegabytes<<20)/connectionMemory))
	}
	if s.MaxDescriptors <= 0 {
		return bound
	}
	rest := max(0, s.MaxDescriptors-fileDescriptors)
	own := min(rest/2, peerBound+peerDialDescriptors+readinessBound+metricsBound+storeDescriptors)
	byDescriptors := max(minCallers, (rest-own)/descriptorsPerCaller)
	return min(cmp.Or(bound, byDescriptors), byDescriptors)
}

const (
	// connectionMemory is what a caller's connection takes in the process: two goroutines, two buffers, a header of up to 4 KiB
	// and its request. connectionShare is the part of the process's memory that connections may take.
	connectionMemory = 32 << 10
	connectionShare  = 0.25
	// minCallers is the least bound of callers' connections.
	minCallers = 16
	// fileDescriptors are for files, peerDialDescriptors for connections to other routers, storeDescriptors for the store.
	fileDescriptors     = 200
	peerDialDescriptors = 128
	storeDescriptors    = 32
	// peerBound, readinessBound and metricsBound bound the connections to the listeners for other routers, readiness checks and
	// metrics. A connection that is closed at the bound is the one without traffic for the longest time, and is opened again.
	peerBound      = 512
	readinessBound = 64
	metricsBound   = 16
	// descriptorsPerCaller are a caller's own one and one to an upstream.
	descriptorsPerCaller = 2
)
