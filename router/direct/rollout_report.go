package direct

import (
	"maps"
	"slices"
	"time"

	"bilberrylug.dev/core/ids"
	"bilberrylug.dev/core/placement"
	"bilberrylug.dev/core/wire"
	"bilberrylug.dev/core/wireconv"
)

// rolloutReports returns what this router tells the others of the rollouts with an order. The caller must hold st.mu.
func (st *state) rolloutReports(now time.Time) []*wire.RolloutReport {
	if st.rollouts == nil {
		return nil
	}
	var out []*wire.RolloutReport
	for _, service := range slices.Sorted(maps.Keys(st.rollouts.services)) {
		s := st.rollouts.services[service]
		r, ok := s.Report(now)
		if !ok {
			continue
		}
		st.checkVerdict(s)
		out = append(out, wireconv.RolloutToWire(r))
	}
	return out
}

// mergeRollouts merges what another router has told of rollouts and of the requests that it runs. The caller must hold st.mu.
func (st *state) mergeRollouts(sender ids.VM, list []*wire.RolloutReport, work map[ids.VM]placement.Work, calls map[ids.VM]int, now time.Time) {
	r := st.rollouts
	if r == nil {
		return
	}
	st.rolloutHeard(now)
	running := maps.Clone(calls)
	for id, w := range work {
		if w.Running > 0 {
			running[id] += w.Running
		}
	}
	ttl := max(minRunningTTL, st.picker.PeerTTL)
	maps.DeleteFunc(r.peerRunning, func(_ ids.VM, p peerRunning) bool { return now.Sub(p.at) > ttl })
	r.peerRunning[sender] = peerRunning{at: now, running: running}
	for _, m := range list {
		// An order that this router has not seen yet is told of in every report.
		if s := r.services[ids.Service(m.GetService())]; s != nil && s.Merge(wireconv.RolloutFromWire(sender, m), now) {
			st.checkVerdict(s)
		}
	}
}
