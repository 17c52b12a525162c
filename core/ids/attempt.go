package ids

// epochShift divides an attempt into the epoch of its claim and the number of the run within it.
const epochShift = 16

// Attempt numbers the runs of one request on upstreams. The upper half is the epoch, which grows with every claim by a
// router; the lower half grows with every run by the same router. So a router that still counts its own runs never
// reaches the number of a later claim.
type Attempt uint32

// Epoch returns the number of the claim that the attempt belongs to.
func (a Attempt) Epoch() uint32 { return uint32(a) >> epochShift }

// NextEpoch returns the first attempt of the next claim.
func (a Attempt) NextEpoch() Attempt { return Attempt((a.Epoch() + 1) << epochShift) }
