package wireconv

import (
	"math"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/ratelimit"
	"bilberrylug.dev/core/wire"
)

// demandUnit is the unit of a demand on the wire.
const demandUnit ratelimit.Rate = 1.0 / 1000

// DemandToWire converts a demand to its unit on the wire.
func DemandToWire(r ratelimit.Rate) uint32 {
	return uint32(min(math.MaxUint32, max(0, r/demandUnit)))
}

// DemandFromWire converts a demand from its unit on the wire.
func DemandFromWire(n uint32) ratelimit.Rate { return ratelimit.Rate(n) * demandUnit }

// LimitsToWire converts what upstreams have said about their limits.
func LimitsToWire(list []ratelimit.Report) []*wire.UpstreamLimit {
	out := make([]*wire.UpstreamLimit, 0, len(list))
	for _, r := range list {
		out = append(out, &wire.UpstreamLimit{
			Upstream: string(r.Upstream), Rate: float32(r.Rate), Lifted: !r.Named, AgeMs: milliseconds(r.Age),
		})
	}
	return out
}

// LimitsFromWire converts what upstreams have said about their limits, except for rates that are none. The services are not part of
// the message.
func LimitsFromWire(list []*wire.UpstreamLimit) []ratelimit.Report {
	out := make([]ratelimit.Report, 0, len(list))
	for _, m := range list {
		rate := float64(m.GetRate())
		if math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
			continue
		}
		r := ratelimit.Report{Upstream: ids.VM(m.GetUpstream()), Age: duration(m.GetAgeMs())}
		if !m.GetLifted() {
			r.Statement = ratelimit.Statement{Named: true, Rate: ratelimit.Rate(rate)}
		}
		out = append(out, r)
	}
	return out
}
