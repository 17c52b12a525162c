package direct

import (
	"cmp"
	"net"
	"strconv"
	"time"

	"bilberrylug.dev/core/budget"
	"bilberrylug.dev/core/dissemination"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/settings"
	"bilberrylug.dev/router/upstream"
)

// Settings holds the settings of a router that sends requests to upstreams itself, without agents.
type Settings struct {
	VM            ids.VM            `yaml:"vm"`
	Region        ids.Region        `yaml:"region"`
	FailureDomain ids.FailureDomain `yaml:"failure_domain"`
	// Address is the VM's IP address.
	Address string `yaml:"address"`
	// Callers is the host:port for callers, Readiness the one for the load balancer's readiness checks.
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	// Peers is the host:port at which other routers reach this one. PeersListen is the one that the process listens on, if it
	// differs, as behind a mapped port.
	Peers       string `yaml:"peers"`
	PeersListen string `yaml:"peers_listen"`
	// Seeds are the peer addresses of some routers, which are contacted until the store lists the others.
	Seeds []string `yaml:"seeds"`
	// MetricsPort is the port for the metrics.
	MetricsPort int `yaml:"metrics_port"`
	// StopSeconds bounds a graceful shutdown, in seconds.
	StopSeconds float64 `yaml:"stop_seconds"`
	// AddressReuseSeconds is the time, in seconds, for which the address of an ended upstream is not given to another service.
	AddressReuseSeconds float64 `yaml:"address_reuse_seconds"`
	// UpstreamHeartbeatMs is the interval, in milliseconds, at which upstreams write their entries; 1,200 by default.
	UpstreamHeartbeatMs int64     `yaml:"upstream_heartbeat_ms"`
	Store               Store     `yaml:"store"`
	Retries             Retries   `yaml:"retries"`
	Upstreams           Upstreams `yaml:"upstreams"`
	// Rollouts, if present, makes the router carry out the operator's orders of rollouts.
	Rollouts  *Rollouts `yaml:"rollouts"`
	Placement Placement `yaml:"placement"`
	// MemoryMegabytes is the memory available to the process, in MiB. Zero sets no limit.
	MemoryMegabytes int64 `yaml:"memory_megabytes"`
	// MaxDescriptors is the number of file descriptors of the process. Zero sets no limit.
	MaxDescriptors int `yaml:"max_descriptors"`
	// LinkMegabits is the rate of the VM's link in megabits per second, CPUShare the share of a core that the process gets.
	// Zero means that they are not limited.
	LinkMegabits     float64 `yaml:"link_megabits"`
	CPUShare         float64 `yaml:"cpu_share"`
	settings.Logging `yaml:",inline"`
}

// Store holds the settings of the connection to the store.
type Store struct {
	// Address is the host:port of the store.
	Address string `yaml:"address"`
	// LeaseMinimumMs is the shortest lease that the store grants, in milliseconds.
	LeaseMinimumMs int64 `yaml:"lease_minimum_ms"`
}

// Retries holds the retry budget of each service, which all routers share.
type Retries struct {
	// Ratio is the number of retries allowed per request in a window of WindowSeconds, Slack the number allowed in addition.
	Ratio         float64 `yaml:"ratio"`
	WindowSeconds float64 `yaml:"window_seconds"`
	Slack         float64 `yaml:"slack"`
}

// Rollouts holds the bounds of rollouts, which all routers share.
type Rollouts struct {
	// ExposeShare is the part of a service's requests that a version may get before it has been shown to be good, ExposeSlack the number
	// of requests that it may get in addition.
	ExposeShare float64 `yaml:"expose_share"`
	ExposeSlack float64 `yaml:"expose_slack"`
	// RollbackMs is the time, in milliseconds, after which a bad version gets no more requests; 5,000 if zero.
	RollbackMs int64 `yaml:"rollback_ms"`
}

func (r *Rollouts) valid() bool {
	return r == nil || r.ExposeShare >= 0 && r.ExposeShare <= 1 && r.ExposeSlack >= 0 && r.RollbackMs >= 0
}

// Upstreams holds the limits on what upstreams may send. Beyond a limit the connection is closed and the attempt has failed. A
// limit of zero has its default.
type Upstreams struct {
	// MaxHeaderBytes bounds the header of a response with all interim responses before it, in bytes; 65,536 by default.
	MaxHeaderBytes int64 `yaml:"max_header_bytes"`
	// MaxDiscardedBytes bounds the body of a response that is of no use, in bytes; 65,536 by default.
	MaxDiscardedBytes int64 `yaml:"max_discarded_bytes"`
	// MaxAnswerBytes bounds the answer to a call, in bytes; 8 MiB by default. All answers that are being received may take a
	// fifth of the process's memory.
	MaxAnswerBytes int64 `yaml:"max_answer_bytes"`
	// MaxEventBytes bounds an event of a stream, in bytes; 131,072 by default.
	MaxEventBytes int `yaml:"max_event_bytes"`
}

// Placement holds the settings of the choice of upstreams.
type Placement struct {
	// Pace limits the requests in flight at upstreams that have just started or recovered. It is off by default.
	Pace bool `yaml:"pace"`
}

const (
	defaultAnswerBytes = 8 << 20
	defaultEventBytes  = 128 << 10
)

// withDefaults returns the limits with defaults in place of zeros.
func (u Upstreams) withDefaults() Upstreams {
	return Upstreams{
		MaxHeaderBytes:    cmp.Or(u.MaxHeaderBytes, upstream.DefaultLimits.HeaderBytes),
		MaxDiscardedBytes: cmp.Or(u.MaxDiscardedBytes, upstream.DefaultLimits.DiscardBytes),
		MaxAnswerBytes:    cmp.Or(u.MaxAnswerBytes, defaultAnswerBytes),
		MaxEventBytes:     cmp.Or(u.MaxEventBytes, defaultEventBytes),
	}
}

func (u Upstreams) poolLimits() upstream.Limits {
	return upstream.Limits{HeaderBytes: u.MaxHeaderBytes, DiscardBytes: u.MaxDiscardedBytes}
}

// Check implements [settings.Checker].
func (s Settings) Check() error {
	for _, a := range []struct{ name, value string }{
		{"callers", s.Callers},
		{"readiness", s.Readiness},
		{"peers", s.Peers},
		{"peers_listen", s.peersListen()},
		{"store.address", s.Store.Address},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			return fault.Wrap(fault.SettingsInvalid, err, "%s must be host:port", a.name)
		}
	}
	switch {
	case s.VM == "" || s.FailureDomain == "":
		return fault.New(fault.SettingsInvalid, "vm and failure_domain are required")
	case net.ParseIP(s.Address) == nil:
		return fault.New(fault.SettingsInvalid, "address must be an IP address")
	case s.MetricsPort <= 0:
		return fault.New(fault.SettingsInvalid, "metrics_port must be greater than zero")
	case s.StopSeconds <= 0:
		return fault.New(fault.SettingsInvalid, "stop_seconds must be greater than zero")
	case s.LinkMegabits < 0 || s.CPUShare < 0:
		return fault.New(fault.SettingsInvalid, "link_megabits and cpu_share must be at least zero")
	case s.MaxDescriptors < 0:
		return fault.New(fault.SettingsInvalid, "max_descriptors must be at least zero")
	case s.Retries.Ratio < 0 || s.Retries.Slack < 0 || s.Retries.WindowSeconds < minRetryWindowSeconds:
		return fault.New(fault.SettingsInvalid, "retries.window_seconds must be at least %v, ratio and slack at least zero", minRetryWindowSeconds)
	case !s.Rollouts.valid():
		return fault.New(fault.SettingsInvalid, "rollouts.expose_share must be from zero to one, expose_slack and rollback_ms at least zero")
	case min(s.Upstreams.MaxHeaderBytes, s.Upstreams.MaxDiscardedBytes, s.Upstreams.MaxAnswerBytes, int64(s.Upstreams.MaxEventBytes)) < 0:
		return fault.New(fault.SettingsInvalid, "the limits of upstreams must be at least zero")
	}
	return nil
}

// peersListen returns the host:port to listen on for other routers.
func (s Settings) peersListen() string { return cmp.Or(s.PeersListen, s.Peers) }

// bytesPerMegabit converts a rate in megabits to one in bytes.
const bytesPerMegabit = 1e6 / 8

// dissemination returns the options of this router's part in the exchange of changes and state.
func (s Settings) dissemination(configKey string, sendsChangesTo func(now time.Time) func(vm ids.VM) bool) dissemination.Options {
	return dissemination.Options{
		Self: s.VM, Domain: s.FailureDomain, Seeds: without(s.Seeds, s.Peers), ValueKey: configKey,
		Link: dissemination.BytesPerSecond(s.LinkMegabits * bytesPerMegabit), CPUShare: s.CPUShare, SendsChangesTo: sendsChangesTo,
	}
}

// narrow reports whether the router's link or its share of a core is small.
func (s Settings) narrow() bool { return s.dissemination("", nil).Narrow() }

// minRetryWindowSeconds is the shortest window of the retry budget, which is divided into buckets of a millisecond or more.
const minRetryWindowSeconds = 0.01

func (s Settings) addressReuse() time.Duration {
	return time.Duration(s.AddressReuseSeconds * float64(time.Second))
}

const (
	defaultUpstreamHeartbeat = 1200 * time.Millisecond
	// outageIntervals is the number of heartbeat intervals without the store after which entries of live upstreams may have lapsed. They do
	// so after three without a write, one of which may lie before the outage; the intervals are approximate.
	outageIntervals = 1.5
)

// minOutage returns the shortest outage of the store in which the entries of live upstreams may lapse.
func (s Settings) minOutage() time.Duration {
	heartbeat := time.Duration(s.UpstreamHeartbeatMs) * time.Millisecond
	if heartbeat <= 0 {
		heartbeat = defaultUpstreamHeartbeat
	}
	return time.Duration(outageIntervals * float64(heartbeat))
}

func (s Settings) metricsAddress() string {
	return net.JoinHostPort(s.Address, strconv.Itoa(s.MetricsPort))
}

func (s Settings) budget() budget.Limits {
	return budget.Limits{
		Ratio: s.Retries.Ratio, Slack: s.Retries.Slack,
		Window: time.Duration(s.Retries.WindowSeconds * float64(time.Second)),
	}
}
