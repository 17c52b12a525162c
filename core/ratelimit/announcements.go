package ratelimit

import "time"

// announcement is a demand that a router has told the others, or heard from another one.
type announcement struct {
	at     time.Time
	demand Rate
}

// announcements holds the announcements of one router that may still count somewhere, in the order of their times. Those that a later
// and lower one replaces are dropped, so that the first one is the least.
type announcements struct{ list []announcement }

func (a *announcements) add(demand Rate, at time.Time) {
	for n := len(a.list); n > 0 && a.list[n-1].demand >= demand; n-- {
		a.list = a.list[:n-1]
	}
	a.list = append(a.list, announcement{at, demand})
}

// latest returns the demand that was announced last.
func (a *announcements) latest() Rate {
	if len(a.list) == 0 {
		return 0
	}
	return a.list[len(a.list)-1].demand
}

// least returns the least demand that counted at some time since the given one.
func (a *announcements) least(since time.Time) Rate {
	for len(a.list) > 1 && !a.list[1].at.After(since) {
		a.list = a.list[1:]
	}
	if len(a.list) == 0 {
		return 0
	}
	return a.list[0].demand
}
