package declared

import "bilberrylug.dev/core/ids"

// Kind distinguishes model services from plain ones.
type Kind string

// The kinds of service.
const (
	ModelService Kind = "model"
	PlainService Kind = "plain"
)

// Fencing says whether the upstreams of a service reject orders with an outdated fencing number themselves.
type Fencing string

// The fencing modes. With FencingIgnored the agent beside the upstream rejects such orders instead.
const (
	FencingChecked Fencing = "checked"
	FencingIgnored Fencing = "ignored"
)

// Service declares a service. [Parse] sets optional fields that are zero to their defaults.
type Service struct {
	Name    ids.Service `yaml:"name" json:"name"`
	Kind    Kind        `yaml:"kind" json:"kind"`
	Models  []Model     `yaml:"models" json:"models,omitempty"`
	Routes  []Route     `yaml:"routes" json:"routes,omitempty"`
	Fencing Fencing     `yaml:"fencing" json:"fencing,omitempty"`
	// SlotsPerUpstream is the number of generations that run at once, QueuePerUpstream the number that may wait.
	SlotsPerUpstream int `yaml:"slots_per_upstream" json:"slots_per_upstream,omitempty"`
	QueuePerUpstream int `yaml:"queue_per_upstream" json:"queue_per_upstream,omitempty"`
	// ShortMaxTokens is the largest number of tokens left to generate with which a generation counts as short.
	ShortMaxTokens uint32 `yaml:"short_max_tokens" json:"short_max_tokens,omitempty"`
	// ReservedShortShare is the share of the slots that only short generations may take, from 0 to 0.9.
	ReservedShortShare float64 `yaml:"reserved_short_share" json:"reserved_short_share,omitempty"`
	// MaxQueueTime bounds the time that a generation waits for a slot.
	MaxQueueTime Duration `yaml:"max_queue_time" json:"max_queue_time,omitempty"`
	// CallTimeout bounds a call of a plain service.
	CallTimeout Duration `yaml:"call_timeout" json:"call_timeout,omitempty"`
	// LedgerBuckets is the number of ledger buckets, LedgerRetention how long their entries are kept, and LedgerBucketEntries
	// the maximum number of entries in each.
	LedgerBuckets       int      `yaml:"ledger_buckets" json:"ledger_buckets,omitempty"`
	LedgerRetention     Duration `yaml:"ledger_retention" json:"ledger_retention,omitempty"`
	LedgerBucketEntries int      `yaml:"ledger_bucket_entries" json:"ledger_bucket_entries,omitempty"`
}
