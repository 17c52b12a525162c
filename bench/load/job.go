package load

import (
	"time"

	"bilberrylug.dev/agent/queue"
	"bilberrylug.dev/core/ids"
)

// job is a simulated request.
type job struct {
	router       int
	workspace    int
	tokens       int
	class        queue.Class
	prefix       string
	arrived      time.Time
	deadline     time.Time
	upstream     *upstream
	item         *queue.Item
	firstTokenAt time.Time
	tried        []ids.VM
	tokensLeft   int
	started      bool
	runs         int
	preempted    int
}

// upstream is a simulated engine with the real queue of its agent.
type upstream struct {
	vm          ids.VM
	queue       *queue.Queue
	slow        bool
	running     int
	cadence     time.Duration
	lastTokenAt time.Time
	waiting     []*job
	jobs        []*job
	cache       []string
	hits        int
	misses      int
}
