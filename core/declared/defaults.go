package declared

import "time"

// Defaults of the optional fields of a [Service].
const (
	DefaultSlotsPerUpstream    = 16
	DefaultQueuePerUpstream    = 64
	DefaultShortMaxTokens      = 256
	DefaultReservedShortShare  = 0.25
	DefaultMaxQueueTime        = 10 * time.Second
	DefaultCallTimeout         = 5 * time.Second
	DefaultLedgerBuckets       = 16
	DefaultLedgerRetention     = 24 * time.Hour
	DefaultLedgerBucketEntries = 2000
)

func (c *Config) applyDefaults() {
	for i := range c.Services {
		c.Services[i].applyDefaults()
	}
}

func (s *Service) applyDefaults() {
	setDefault(&s.SlotsPerUpstream, DefaultSlotsPerUpstream)
	setDefault(&s.QueuePerUpstream, DefaultQueuePerUpstream)
	setDefault(&s.ShortMaxTokens, DefaultShortMaxTokens)
	setDefault(&s.ReservedShortShare, DefaultReservedShortShare)
	setDefault(&s.MaxQueueTime, Duration(DefaultMaxQueueTime))
	setDefault(&s.CallTimeout, Duration(DefaultCallTimeout))
	setDefault(&s.LedgerBuckets, DefaultLedgerBuckets)
	setDefault(&s.LedgerRetention, Duration(DefaultLedgerRetention))
	setDefault(&s.LedgerBucketEntries, DefaultLedgerBucketEntries)
	setDefault(&s.Fencing, FencingIgnored)
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
