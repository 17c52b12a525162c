package queue

// Limits of a queue.
type Limits struct {
	Slots              int
	MaxWaiting         int
	ReservedShortShare float64
}

// longFloorShare is the share of the slots that preemption leaves to long work.
const longFloorShare = 0.25

func (l Limits) longFloor() int { return int(float64(l.Slots) * longFloorShare) }

// longSlots is the number of slots that long work may take; at least one.
func (l Limits) longSlots() int {
	return max(1, l.Slots-int(float64(l.Slots)*l.ReservedShortShare+0.5))
}
