// Package routing holds the configuration that is in force: routes, services, workspaces and limits on callers.
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

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of routes.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run again.
	Idempotent
	// Streaming requests are answered by a series of events.
	Streaming
)

// Route leads requests to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time that a request may take.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or the first event of a stream, is on time.
	TargetLatency time.Duration
	// MaxPause is the longest pause between the events of a stream that is on time.
	MaxPause time.Duration
	// MaxAttempts bounds the upstreams to which a request is sent.
	MaxAttempts int
	Priority    int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream behind an event.
	Resumable bool
	// Targets are the services with their shares.
	Targets []Target
}

// TargetLatency is a service with its weight among the targets of a route.
type Target struct {
	Service ids.Service
	Weight  int
}

// Retryable tells whether a request may be sent again after it may have run.
func (r Route) Retryable() bool { return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable }

// Pick returns the service for a number drawn evenly from 0 to 1.
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

// Service is a group of equal upstreams.
type Service struct {
	Name   ids.Service
	Engine *Engine
	// HealthPath answers whether an upstream is well, and which one it is.
	HealthPath string
	// MaxConns bounds the connections that one upstream accepts from all callers together.
	MaxConns int
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int
	// MemoryTokens is the memory for running and cached prompts.
	MemoryTokens int
	// Backups tells that a running generation can be copied to another engine.
	Backups bool
	// EventTokens is the number of tokens in one event of a stream.
	EventTokens int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version  Version
	Limits   Limits
	services map[ids.Service]Service
	byHost   map[string][]Route
	keys     map[string]ids.Workspace
	// closed tells that callers need a key.
	closed bool
}

// New returns a configuration. A nil map of keys means that callers need no key.
func New(v Version, routes []Route, services []Service, keys map[string]ids.Workspace, limits Limits) *Config {
	c := &Config{Version: v, Limits: limits, services: map[ids.Service]Service{}, byHost: map[string][]Route{}, keys: keys, closed: keys != nil}
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

// Match returns the route of the host with the longest prefix of the path.
func (c *Config) Match(host, path string) (Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Workspace returns the workspace that holds a key.
func (c *Config) Workspace(key string) (ids.Workspace, bool) {
	ws, known := c.keys[key]
	return ws, known
}

// NeedsKey tells whether a route's callers must show a key.
func (c *Config) NeedsKey(r Route) bool { return c.closed && !r.Public }

// EngineServices returns the services of model engines.
func (c *Config) EngineServices() []ids.Service {
	var out []ids.Service
	for name, s := range c.services {
		if s.Engine != nil {
			out = append(out, name)
		}
	}
	return out
}

// Service returns a service by name.
func (c *Config) Service(name ids.Service) (Service, bool) {
	s, known := c.services[name]
	return s, known
}
