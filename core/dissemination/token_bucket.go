package dissemination

import "time"

const (
	// uploadShare is the part of a router's link that serving pulls and fetches may take.
	uploadShare = 0.25
	// uploadBurst is the number of bytes that may be served at once after a pause.
	uploadBurst = 4 * maxChunkBytes
)

// tokenBucket limits what a router sends: the bytes that it serves, or its updates. Without a rate it does not limit.
type tokenBucket struct {
	rate  BytesPerSecond
	burst float64
	// debt is the number of bytes or updates, beyond the rate, that had been sent at the time at.
	debt float64
	at   time.Time
}

// wait returns the time until the next bytes may be served to a requester that may use a part of the burst, or zero.
func (b *tokenBucket) wait(part float64, now time.Time) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.drain(now)
	return b.rate.transferTime(int(b.debt - part*b.burst))
}

// available reports whether anything may be sent now.
func (b *tokenBucket) available(now time.Time) bool {
	b.drain(now)
	return b.rate <= 0 || b.debt < b.burst
}

// take records what was sent.
func (b *tokenBucket) take(amount int, now time.Time) {
	if b.rate <= 0 {
		return
	}
	b.drain(now)
	b.debt += float64(amount)
}

func (b *tokenBucket) drain(now time.Time) {
	if !b.at.IsZero() {
		b.debt = max(0, b.debt-float64(b.rate)*now.Sub(b.at).Seconds())
	}
	b.at = now
}
