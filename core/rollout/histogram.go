package rollout

import (
	"math"
	"time"
)

const (
	// slowFactor is how many times the old version's median on a route an answer takes that counts as bad.
	slowFactor = 2.5
	// minDurations is the number of old answers on a route from which their median is used.
	minDurations = 4
	// maxDurations bounds what the histogram of one router and route holds before it is halved, so that it follows the latest answers.
	maxDurations = 256
	// bucketsPerDoubling gives the width of the buckets of durations: a factor of 1.19.
	bucketsPerDoubling = 4
	durationBuckets    = 96
)

// histogram counts durations on a logarithmic scale that begins at a millisecond.
type histogram [durationBuckets]int

func bucketOf(d time.Duration) uint8 {
	ms := max(1, float64(d)/float64(time.Millisecond))
	return uint8(min(durationBuckets-1, int(bucketsPerDoubling*math.Log2(ms))))
}

func (h *histogram) add(bucket uint8, n int) {
	if int(bucket) < durationBuckets {
		h[bucket] += n
	}
}

func (h *histogram) total() int {
	n := 0
	for _, v := range h {
		n += v
	}
	return n
}

// median returns the middle of the bucket in which the median lies.
func (h *histogram) median() (time.Duration, bool) {
	total := h.total()
	if total < minDurations {
		return 0, false
	}
	for b, n := 0, 0; b < durationBuckets; b++ {
		if n += h[b]; 2*n >= total {
			return time.Duration(math.Exp2((float64(b)+0.5)/bucketsPerDoubling) * float64(time.Millisecond)), true
		}
	}
	return 0, false
}

func (c *counts) histogramOf(route Route) *histogram { return histogramIn(c.histogram, route) }

func histogramIn(m map[Route]*histogram, route Route) *histogram {
	h := m[route]
	if h == nil {
		h = &histogram{}
		m[route] = h
	}
	return h
}

// addDuration adds the duration of an answer of an old version at this router.
func (c *counts) addDuration(route Route, d time.Duration) {
	own, all := histogramIn(c.ownHistogram, route), c.histogramOf(route)
	if own.total() >= maxDurations {
		for b, n := range own {
			own[b] -= n / 2
			all[b] -= n / 2
		}
	}
	own.add(bucketOf(d), 1)
	all.add(bucketOf(d), 1)
}

// median returns the median duration of the old versions' answers on a route.
func (c *counts) median(route Route) (time.Duration, bool) {
	h := c.histogram[route]
	if h == nil {
		return 0, false
	}
	return h.median()
}

// slowLimit returns the duration above which an answer on a route is slow.
func (c *counts) slowLimit(route Route) (time.Duration, bool) {
	m, ok := c.median(route)
	return time.Duration(slowFactor * float64(m)), ok
}
