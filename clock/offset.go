package clock

import (
	"slices"
	"time"
)

const (
	// sampleMaxAge is how long a sample counts.
	sampleMaxAge = 10 * time.Second
	// stepMs is the difference between two samples, in milliseconds, that no delay
	// explains: a clock was set.
	stepMs = 1000
)

// OffsetEstimator estimates how far another clock is ahead by the recent sample with the
// shortest round trip, as NTP's clock filter does (RFC 5905, section 10). Its zero value
// has no samples.
type OffsetEstimator struct {
	samples []sample
}

// sample is one comparison of the two clocks; offset is in milliseconds.
type sample struct {
	offset    int64
	roundTrip time.Duration
	at        time.Time
}

// Add adds an offset in milliseconds with its round trip, and drops samples that are old
// or have a longer one. An offset that no delay explains replaces all others.
func (estimator *OffsetEstimator) Add(offset int64, roundTrip time.Duration) {
	kept := []sample{}
	if best := estimator.Offset(); offset < best+stepMs && offset > best-stepMs {
		for _, former := range estimator.samples {
			if former.roundTrip < roundTrip && time.Since(former.at) < sampleMaxAge {
				kept = append(kept, former)
			}
		}
	}
	estimator.samples = append(kept, sample{offset: offset, roundTrip: roundTrip, at: time.Now()})
}

// Offset returns the offset of the sample with the shortest round trip, in milliseconds,
// 0 without samples.
func (estimator *OffsetEstimator) Offset() int64 {
	if len(estimator.samples) == 0 {
		return 0
	}
	return estimator.samples[0].offset
}

// RoundTrip returns the shortest round trip, 0 without samples.
func (estimator *OffsetEstimator) RoundTrip() time.Duration {
	if len(estimator.samples) == 0 {
		return 0
	}
	return estimator.samples[0].roundTrip
}

// Median returns the median of at least one offset. If the middle two of an even count
// lie more than a second apart, it returns the one nearer to before.
func Median(offsets []int64, before int64) int64 {
	sorted := slices.Sorted(slices.Values(offsets))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	low, high := sorted[middle-1], sorted[middle]
	switch {
	case high-low < stepMs:
		return low + (high-low)/2
	case before-low < high-before:
		return low
	}
	return high
}
