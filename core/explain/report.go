package explain

import (
	"time"

	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/routing"
)

// Outcome is what a router would do with a request.
type Outcome string

// The outcomes.
const (
	// Sent requests go to the chosen upstream at once.
	Sent Outcome = "sent"
	// Waiting requests wait in the router before they are sent.
	Waiting Outcome = "waiting"
	// Refused requests are answered by the router itself.
	Refused Outcome = "refused"
)

// Report is a router's answer. Times are given in milliseconds.
type Report struct {
	Router        ids.VM          `json:"router"`
	ConfigVersion routing.Version `json:"config_version"`
	Request       Request         `json:"request"`
	Route         string          `json:"route,omitempty"`
	Kind          string          `json:"kind,omitempty"`
	Service       ids.Service     `json:"service,omitempty"`
	// Split holds the services among which the route splits requests, if they are several.
	Split     []Share       `json:"split,omitempty"`
	Workspace ids.Workspace `json:"workspace,omitempty"`
	Rank      int           `json:"rank"`

	Outcome Outcome `json:"outcome"`
	// Choice is the upstream that would most likely get the request, empty if it would be refused.
	Choice ids.VM `json:"choice,omitempty"`
	// WaitMS is the expected wait, WaitReason says for what.
	WaitMS     float64 `json:"wait_ms,omitempty"`
	WaitReason string  `json:"wait_reason,omitempty"`
	// Fault is the refusal.
	Fault *Fault `json:"fault,omitempty"`

	// QuarantineTrial is set if the request would test whether a part of its prompt still crashes upstreams.
	QuarantineTrial bool `json:"quarantine_trial,omitempty"`
	// CachedAt is the engine that has the prompt in its KV cache.
	CachedAt ids.VM `json:"cached_at,omitempty"`
	// Limiter is the concurrency limit of the service's calls at this router.
	Limiter *Limiter `json:"limiter,omitempty"`
	// CostUnit is the unit of the costs: "ms" for generations, "calls" for calls.
	CostUnit string `json:"cost_unit,omitempty"`
	// Upstreams holds the upstreams of the service, the choice first and the others by cost.
	Upstreams []Upstream `json:"upstreams,omitempty"`
}

// Share is the share of a route's requests that goes to a service.
type Share struct {
	Service ids.Service `json:"service"`
	Share   float64     `json:"share"`
}

// Limiter is the state of a concurrency limiter.
type Limiter struct {
	Limit          float64 `json:"limit"`
	Running        int     `json:"running"`
	Waiting        int     `json:"waiting"`
	MeanCallTimeMS float64 `json:"mean_call_time_ms"`
}

// Upstream is what the router knows about one upstream, and how it weighs it.
type Upstream struct {
	ID            ids.VM            `json:"id"`
	FailureDomain ids.FailureDomain `json:"failure_domain"`
	State         fleet.State       `json:"state"`
	// Reason says why the upstream is not available, StateAgeMS how long ago that was observed, if it is known.
	Reason     string  `json:"reason,omitempty"`
	StateAgeMS float64 `json:"state_age_ms,omitempty"`
	// Weighed is set if the upstream competes for the request.
	Weighed bool `json:"weighed"`
	// Chosen is set for the choice. Chance is the probability that a request like this one goes to the upstream.
	Chosen bool    `json:"chosen"`
	Chance float64 `json:"chance"`
	// Cost is what the upstreams that may be used are ranked by, null for the others.
	Cost *float64 `json:"cost"`
	// FirstEventMS is the predicted time to the first event, and Fits tells whether a slot and KV cache are free; for
	// generations only.
	FirstEventMS *float64 `json:"first_event_ms,omitempty"`
	Fits         *bool    `json:"fits,omitempty"`
	Slowness     float64  `json:"slowness"`
	// Own is the work that this router has placed, Others what other routers have reported.
	Own    Work    `json:"own"`
	Others Reports `json:"others"`
	// Reported is the load that the upstream has reported lately.
	Reported *Load `json:"reported,omitempty"`
	// Limit is what is known about the requests that the upstream takes.
	Limit Limit `json:"limit"`
}

// Work is work at an upstream. Calls are counted at plain upstreams, the others at engines.
type Work struct {
	Running             int `json:"running"`
	PendingPromptTokens int `json:"pending_prompt_tokens"`
	MemoryTokens        int `json:"memory_tokens"`
	Calls               int `json:"calls"`
}

// Reports is the sum of the work that other routers have reported.
type Reports struct {
	Work
	// Routers is the number of routers whose reports are in use, OldestAgeMS the age of the oldest of them.
	Routers     int     `json:"routers"`
	OldestAgeMS float64 `json:"oldest_age_ms"`
}

// Load is the load that an upstream has reported about itself.
type Load struct {
	Busy     int     `json:"busy"`
	Slowness float64 `json:"slowness"`
	AgeMS    float64 `json:"age_ms"`
}

// Limit is the rate limit of an upstream.
type Limit struct {
	// DelayMS is how long the upstream would not take the request yet. Closed is set if this router may send it nothing.
	DelayMS float64 `json:"delay_ms"`
	Closed  bool    `json:"closed,omitempty"`
	// HeldMS is how long the upstream wants nothing from this router, since it has turned a request away.
	HeldMS float64 `json:"held_ms,omitempty"`
	// PerSecond is the rate that the upstream takes from all routers, OwnPerSecond this router's part, if it names a rate.
	PerSecond    float64 `json:"per_second,omitempty"`
	OwnPerSecond float64 `json:"own_per_second,omitempty"`
	AgeMS        float64 `json:"age_ms,omitempty"`
}

// Fault is a refusal of a request, or the answer to a question that is not valid.
type Fault struct {
	Code   fault.Code `json:"code"`
	Number string     `json:"number"`
	Status int        `json:"status"`
	Title  string     `json:"title"`
	Detail string     `json:"detail,omitempty"`
	// RetryAfterMS and RetryAfterMaxMS are the bounds between which the Retry-After of the refusal is drawn.
	RetryAfterMS    float64 `json:"retry_after_ms,omitempty"`
	RetryAfterMaxMS float64 `json:"retry_after_max_ms,omitempty"`
}

// NewFault describes an error whose Retry-After is the given one at most, or always its own if that is longer.
func NewFault(err error, maxRetryAfter time.Duration) *Fault {
	f := fault.As(err)
	return &Fault{
		Code: f.Kind.Code, Number: f.Kind.Number, Status: f.Kind.Status, Title: f.Kind.Title, Detail: f.Detail,
		RetryAfterMS: Millis(f.Kind.RetryAfter), RetryAfterMaxMS: Millis(max(f.Kind.RetryAfter, maxRetryAfter)),
	}
}

// Millis returns a duration in milliseconds.
func Millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
