// Package routing defines the active configuration of a router: routes, services, workspaces and limits on callers.
//
// # Usage
//
//	route, found := cfg.Match(host, path)
//	ws, known := cfg.Workspace(key)
package routing

import (
	"sort"
	"strings"
	"time"

	"bilberrylug.dev/core/ids"
)

// Version numbers configurations; it only grows.
type Version uint64

// Kind determines whether the requests of a route may be retried, and how they are answered.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a stream of events.
	Streaming
)

// Route maps the requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the duration of a request.
	Timeout time.Duration
	// TargetLatency is the target latency of an answer, or of the first event of a stream.
	TargetLatency time.Duration
	// MaxPause is the target for the longest time between two events of a stream.
	MaxPause time.Duration
	// MaxAttempts bounds the number of upstreams to which a request is sent.
	MaxAttempts int
	Priority    int
	// Public routes require no key.
	Public bool
	// Resumable streams may continue at another upstream after any event.
	Resumable bool
	// Targets are the services among which the requests are split.
	Targets []Target
}

// Target is a service with its weight among the targets of a route.
type Target struct {
	Service ids.Service
	Weight  int
}

// Retryable reports whether a request may be retried after it may have run.
func (r Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// Pick returns the service for a number drawn uniformly from [0, 1).
func (r Route) Pick(draw float64) ids.Service {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := int(draw * float64(total))
	for _, t := range r.Targets {
		left -= t.Weight
		if left < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name   ids.Service
	Engine *Engine
	// HealthPath is the path of the health check, whose answer also identifies the upstream.
	HealthPath string
	// MaxConns bounds the connections that one upstream accepts from all callers together.
	MaxConns int
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the maximum number of concurrent generations.
	Slots int
	// MemoryTokens is the capacity of the KV cache in tokens, for running requests and cached prompts.
	MemoryTokens int
	// Backups means that the KV cache of a running generation can be copied to another engine.
	Backups bool
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// Limits bound the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version     Version
	Limits      Limits
	services    map[ids.Service]Service
	byHost      map[string][]Route
	keys        map[string]ids.Workspace
	keyRequired bool
	// priorities holds the priorities of the workspaces that have their own.
	priorities map[ids.Workspace]int
}

// New returns a configuration. If keys is nil, callers need no key.
func New(v Version, routes []Route, services []Service, keys map[string]ids.Workspace, limits Limits) *Config {
	c := &Config{Version: v, Limits: limits, services: map[ids.Service]Service{}, byHost: map[string][]Route{}, keys: keys, keyRequired: keys != nil}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return c
}

// WithPriorities sets the priorities of the workspaces that have their own, and returns the configuration. It must be called
// before the configuration is used.
func (c *Config) WithPriorities(priorities map[ids.Workspace]int) *Config {
	c.priorities = priorities
	return c
}

// Priority returns the rank of a workspace's requests on a route; zero is the highest. The workspace's own rank takes
// precedence over that of the route.
func (c *Config) Priority(r Route, ws ids.Workspace) int {
	if p, own := c.priorities[ws]; own {
		return p
	}
	return r.Priority
}

// Match returns the route of the host with the longest prefix of the path. The case and the port of the host are ignored.
func (c *Config) Match(host, path string) (Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Workspace returns the workspace to which a key belongs.
func (c *Config) Workspace(key string) (ids.Workspace, bool) {
	ws, known := c.keys[key]
	return ws, known
}

// NeedsKey reports whether callers of a route must present a key.
func (c *Config) NeedsKey(r Route) bool { return c.keyRequired && !r.Public }

// EngineServices returns the names of the services whose upstreams are model engines.
func (c *Config) EngineServices() []ids.Service {
	var out []ids.Service
	for name, s := range c.services {
		if s.Engine != nil {
			out = append(out, name)
		}
	}
	return out
}

// Service returns the service with the given name.
func (c *Config) Service(name ids.Service) (Service, bool) {
	s, known := c.services[name]
	return s, known
}
