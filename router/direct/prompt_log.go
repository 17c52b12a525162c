package direct

import (
	"slices"
	"time"

	"bilberrylug.dev/core/wire"
)

const (
	// maxRecordedPrompts bounds the prompts that are kept for routers that have not received them yet. A router that is out of
	// reach for longer misses the older ones, so that a prompt may be processed again.
	maxRecordedPrompts = 512
	// newPromptTime is how long a prompt may be unknown to the routers that another one asks when it appears. It exceeds the longest
	// interval of updates.
	newPromptTime = 3 * time.Second
)

// recordedPrompt is a prompt with the time at which it was recorded.
type recordedPrompt struct {
	*wire.PromptHome
	at time.Time
}

// promptLog holds the prompts that this router has recorded lately, in order.
type promptLog struct {
	list []recordedPrompt
	// end is the position after the last entry.
	end uint64
}

// add appends an entry and drops the oldest ones if there are too many.
func (l *promptLog) add(h *wire.PromptHome, now time.Time) {
	if len(l.list) >= 2*maxRecordedPrompts {
		l.list = append([]recordedPrompt(nil), l.list[maxRecordedPrompts:]...)
	}
	l.list = append(l.list, recordedPrompt{h, now})
	l.end++
}

// since returns the entries after a position, and the position of the last one.
func (l *promptLog) since(position uint64) ([]*wire.PromptHome, uint64) {
	missing := min(l.end-min(position, l.end), uint64(len(l.list)))
	return homes(l.list[uint64(len(l.list))-missing:]), l.end
}

// newAt returns the entries that were recorded less than newPromptTime ago, and the position of the last one.
func (l *promptLog) newAt(now time.Time) ([]*wire.PromptHome, uint64) {
	first, _ := slices.BinarySearchFunc(l.list, now.Add(-newPromptTime), func(p recordedPrompt, at time.Time) int { return p.at.Compare(at) })
	return homes(l.list[first:]), l.end
}

func homes(list []recordedPrompt) []*wire.PromptHome {
	out := make([]*wire.PromptHome, 0, len(list))
	for _, p := range list {
		out = append(out, p.PromptHome)
	}
	return out
}

// promptsSince returns the prompts that this router has recorded after a position in their sequence.
func (st *state) promptsSince(position uint64) ([]*wire.PromptHome, uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.recordedPrompts.since(position)
}

// newPrompts returns the prompts that this router has recorded so lately that a router that has just appeared may not learn of them from
// the ones that it asks: those had not been told either.
func (st *state) newPrompts() ([]*wire.PromptHome, uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.recordedPrompts.newAt(st.clock.Now())
}
