package ids

// epochShift separates the epoch of an attempt from the number of the run within the epoch.
const epochShift = 16

// Attempt numbers the runs of a request on upstreams. The upper half is the epoch, which increases with every claim by a
// router; the lower half increases with every run by the same router. A router whose claim was superseded can therefore
// never reach the attempt numbers of a later claim.
type Attempt uint32

// Epoch returns the epoch of the claim that the attempt belongs to.
func (a Attempt) Epoch() uint32 { return uint32(a) >> epochShift }

// NextEpoch returns the first attempt of the next claim.
func (a Attempt) NextEpoch() Attempt { return Attempt((a.Epoch() + 1) << epochShift) }
