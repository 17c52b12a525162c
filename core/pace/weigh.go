package pace

import "time"

// Load is the load of an upstream that may receive a request.
type Load struct {
	Start
	// InFlight is the number of requests that all routers have in flight there, as far as known, Others those of the other routers.
	InFlight, Others int
	// Slots is the upstream's capacity, relative to which the loads of upstreams are compared.
	Slots int
	// Suspect is set if the upstream may be lost; it is no measure for others then.
	Suspect bool
	// Full is set by [Tracker.Weigh] if the upstream should be ranked behind others.
	Full bool
}

// perSlot returns the load relative to the capacity.
func (l Load) perSlot() float64 { return float64(l.InFlight) / float64(max(1, l.Slots)) }

// Weigh sets Full for the upstreams of a service whose windows are full, and returns the windows that have ended. Unseen is the number of
// requests for the service that the other routers are expected to place before this router hears of them: a request finds room with a
// probability such that about as many of them find it as there is room.
func (t *Tracker) Weigh(list []Load, unseen float64, random func() float64, now time.Time) []Change {
	if len(t.windows) == 0 {
		return nil
	}
	peers, paced := 0, 0
	sum := 0.0
	for _, l := range list {
		switch {
		case t.get(l.Start) != nil:
			paced++
		case !l.Suspect:
			peers++
			sum += l.perSlot()
		}
	}
	if paced > peers {
		t.raise(list)
		return nil
	}
	var out []Change
	for i, l := range list {
		w := t.get(l.Start)
		if w == nil {
			continue
		}
		target := sum / float64(peers) * float64(max(1, l.Slots))
		w.scale(target)
		if reason := w.established(l, target, now); reason != "" {
			out = append(out, t.end(w, reason, target, now))
			continue
		}
		room := float64(int(w.size()) - l.InFlight)
		list[i].Full = room <= 0 || unseen > room && random() >= room/unseen
	}
	return out
}

// raise raises the windows to the present load while most upstreams are new, so that none of them is held back at what it carries already
// once the first ones are established.
func (t *Tracker) raise(list []Load) {
	for _, l := range list {
		if w := t.get(l.Start); w != nil {
			w.base = max(w.base, float64(l.InFlight+1))
		}
	}
}

// scale sets the initial size relative to what the peers carry, once.
func (w *window) scale(target float64) {
	if !w.scaled && w.epoch == 0 {
		w.base = max(w.base, initialShare*target)
	}
	w.scaled = true
}

// established returns how an upstream is found to be established, or an empty string if it is not. Target is what it would carry if it
// carried as much as its peers.
func (w *window) established(l Load, target float64, now time.Time) string {
	quietSince := w.begunAt
	if w.decreasedAt.After(quietSince) {
		quietSince = w.decreasedAt
	}
	switch {
	case w.growth() > 0 && w.size() >= target:
		return "window has reached the peers"
	case l.Others > 0 && float64(l.Others) >= target && now.Sub(quietSince) >= settleTime:
		return "carries as much for other routers"
	}
	return ""
}
