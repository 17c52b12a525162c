package load

import (
	"time"

	"bilberrylug.dev/agent/queue"
	"bilberrylug.dev/core/ids"
)

// job is a simulated request. Its tokens are those of the whole answer, tokensLeft those not yet generated. runs counts the
// runs that have ended early, tried lists the upstreams that the router avoids.
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

// upstream is a simulated engine with the production queue of an agent. cadence is the moving average of the time between
// its tokens, cache its cached prompt prefixes, the least recently used first.
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
