package direct

import (
	"net"
	"strconv"
	"time"

	"bilberrylug.dev/core/budget"
	"bilberrylug.dev/core/fault"
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/settings"
)

// Settings of a router that speaks to upstreams itself.
type Settings struct {
	VM            ids.VM            `yaml:"vm"`
	Region        ids.Region        `yaml:"region"`
	FailureDomain ids.FailureDomain `yaml:"failure_domain"`
	// Address is the VM's address, without a port.
	Address string `yaml:"address"`
	// Callers is the address for callers, Readiness the one at which the balancer asks.
	Callers   string `yaml:"callers"`
	Readiness string `yaml:"readiness"`
	// Peers is the address for other routers.
	Peers string `yaml:"peers"`
	// Seeds are the addresses of some routers, which are asked until the store lists the others.
	Seeds []string `yaml:"seeds"`
	// MetricsPort is the port of the metrics and the status.
	MetricsPort int `yaml:"metrics_port"`
	// StopSeconds is the time that a planned stop may take.
	StopSeconds float64 `yaml:"stop_seconds"`
	// AddressReuseSeconds is how long an address stays with its service after its upstream has ended.
	AddressReuseSeconds float64 `yaml:"address_reuse_seconds"`
	Store               Store   `yaml:"store"`
	Retries             Retries `yaml:"retries"`
	// MemoryMegabytes is what the process may use.
	MemoryMegabytes  int64 `yaml:"memory_megabytes"`
	settings.Logging `yaml:",inline"`
}

// Store says where the store is.
type Store struct {
	Address string `yaml:"address"`
	// LeaseMinimumMs is the shortest lease, in milliseconds.
	LeaseMinimumMs int64 `yaml:"lease_minimum_ms"`
}

// Retries bounds the repeats of requests, over all routers and for each service.
type Retries struct {
	Ratio         float64 `yaml:"ratio"`
	WindowSeconds float64 `yaml:"window_seconds"`
	Slack         float64 `yaml:"slack"`
}

// Check implements settings.Checked.
func (s Settings) Check() error {
	for _, a := range []struct{ name, value string }{
		{"callers", s.Callers}, {"readiness", s.Readiness}, {"peers", s.Peers}, {"store.address", s.Store.Address},
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
		return fault.New(fault.SettingsInvalid, "metrics_port must be above zero")
	case s.StopSeconds <= 0:
		return fault.New(fault.SettingsInvalid, "stop_seconds must be above zero")
	case s.Retries.Ratio < 0 || s.Retries.Slack < 0 || s.Retries.WindowSeconds <= 0:
		return fault.New(fault.SettingsInvalid, "retries.window_seconds must be above zero, ratio and slack at least zero")
	}
	return nil
}

func (s Settings) reuse() time.Duration {
	return time.Duration(s.AddressReuseSeconds * float64(time.Second))
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
