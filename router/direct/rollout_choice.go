package direct

import (
	"time"

	"bilberrylug.dev/core/fleet"
	"bilberrylug.dev/core/rollout"
)

// isolationShare is the part of the rollback time without news, the time of a suspended machine included, after which the router sends
// nothing to a version without a verdict: such a version may have been found bad meanwhile.
const isolationShare = 0.6

// choose returns the versions to which the request may go, or false if the settings have no rollouts. All attempts of a request use the
// same random number, so that they go to the same version as long as the share does not fall. The caller must hold x.state.mu.
func (x *exchange) choose(now time.Time) (rollout.Choice, bool) {
	s := x.rolloutOf(x.service.Name)
	if s == nil {
		return rollout.Choice{}, false
	}
	draw := x.draw
	silent := x.boot.Now().Sub(x.rollouts.heardAt)
	if len(x.routers) > 0 && silent > time.Duration(isolationShare*float64(x.rollouts.settings.Rollback)) {
		// The largest number is that of the old versions.
		draw = 1
	}
	return s.Choose(draw, now), true
}

// tiers returns the usable upstreams of the request's service: those of the versions to which it should go, and those to which it may go
// if the former are tried or take nothing. The caller must hold x.state.mu.
func (x *exchange) tiers(now time.Time) (preferred, fallback []*fleet.Upstream) {
	all := x.fleet.Usable(x.service.Name)
	choice, ok := x.choose(now)
	if !ok {
		return all, nil
	}
	preferred, fallback = split(all, choice)
	if len(preferred) == 0 && len(fallback) == 0 {
		// All upstreams of these versions are lost. Those may be tried as a last resort.
		return split(x.fleet.Registered(x.service.Name), choice)
	}
	return preferred, fallback
}

// split returns the upstreams of the preferred versions and those of the versions that may replace them. The list is not changed.
func split(list []*fleet.Upstream, choice rollout.Choice) (preferred, fallback []*fleet.Upstream) {
	for i, u := range list {
		v := rollout.Version(u.Version)
		switch {
		case choice.Preferred(v):
			if i == len(preferred) {
				// Without a rollout all upstreams are preferred, and the list is used as it is.
				preferred = list[: i+1 : i+1]
			} else {
				preferred = append(preferred, u)
			}
		case choice.Fallback(v):
			fallback = append(fallback, u)
		}
	}
	return preferred, fallback
}

// mayContinueAt reports whether the request may go on at an upstream that holds a copy of its KV cache. During the handover nothing goes on
// at an old upstream, since that is about to stop. The caller must hold x.state.mu.
func (x *exchange) mayContinueAt(u fleet.Upstream, now time.Time) bool {
	choice, ok := x.choose(now)
	if !ok {
		return true
	}
	v := rollout.Version(u.Version)
	return choice.Preferred(v) || choice.Fallback(v) && !x.rolloutOf(x.service.Name).handingOver()
}
