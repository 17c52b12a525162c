package queue

// Limits configures a queue. ReservedShortShare is the share of the slots that only short work may take, between 0 and 1.
type Limits struct {
	Slots              int
	MaxWaiting         int
	ReservedShortShare float64
}

// minLongShare is the share of the slots that preemption does not take from long work.
const minLongShare = 0.25

func (l Limits) minLongSlots() int { return int(float64(l.Slots) * minLongShare) }

// maxLongSlots is the number of slots that long work may occupy; at least one.
func (l Limits) maxLongSlots() int {
	return max(1, l.Slots-int(float64(l.Slots)*l.ReservedShortShare+0.5))
}
