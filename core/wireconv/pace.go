package wireconv

import (
	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/pace"
	"bilberrylug.dev/core/wire"
)

// WindowsToWire converts the windows of upstreams that have just started or recovered.
func WindowsToWire(list []pace.Report) []*wire.UpstreamWindow {
	out := make([]*wire.UpstreamWindow, 0, len(list))
	for _, r := range list {
		out = append(out, &wire.UpstreamWindow{
			Upstream: string(r.ID), Started: r.Started, Epoch: uint32(r.Epoch), Base: float32(r.Base), Gained: float32(r.Gained),
			Established: r.Established,
		})
	}
	return out
}

// WindowsFromWire converts the windows of upstreams. Sizes that no window has are left to [pace.Tracker.Merge].
func WindowsFromWire(list []*wire.UpstreamWindow) []pace.Report {
	out := make([]pace.Report, 0, len(list))
	for _, m := range list {
		out = append(out, pace.Report{
			Start: pace.Start{ID: ids.VM(m.GetUpstream()), Started: m.GetStarted()}, Epoch: int(m.GetEpoch()),
			Base: float64(m.GetBase()), Gained: float64(m.GetGained()), Established: m.GetEstablished(),
		})
	}
	return out
}
