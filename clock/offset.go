package clock

import (
	"slices"
	"time"
)

const (
	sampleMaxAge = 10 * time.Second
	// stepMs is the difference between two samples that is too large for a message delay:
	// one of the clocks was stepped.
	stepMs = 1000
)

// OffsetEstimator estimates how far another clock is ahead: it uses the recent sample with
// the shortest round trip, as NTP's clock filter does (RFC 5905, section 10). The zero
// value has no samples.
type OffsetEstimator struct {
	samples []sample
}

// sample is one comparison of the two clocks; offset is in milliseconds.
type sample struct {
	offset    int64
	roundTrip time.Duration
	takenAt   time.Time
}

// Add adds an offset in milliseconds with its round trip, and drops samples that are old
// or have a longer round trip. An offset that differs by stepMs or more replaces all
// samples.
func (estimator *OffsetEstimator) Add(offset int64, roundTrip time.Duration) {
	kept := []sample{}
	if best := estimator.Offset(); offset < best+stepMs && offset > best-stepMs {
		for _, earlier := range estimator.samples {
			if earlier.roundTrip < roundTrip && time.Since(earlier.takenAt) < sampleMaxAge {
				kept = append(kept, earlier)
			}
		}
	}
	estimator.samples = append(kept, sample{offset: offset, roundTrip: roundTrip, takenAt: time.Now()})
}

// Offset returns the offset of the sample with the shortest round trip, in milliseconds,
// or 0 if there are no samples.
func (estimator *OffsetEstimator) Offset() int64 {
	if len(estimator.samples) == 0 {
		return 0
	}
	return estimator.samples[0].offset
}

// RoundTrip returns the shortest round trip, or 0 if there are no samples.
func (estimator *OffsetEstimator) RoundTrip() time.Duration {
	if len(estimator.samples) == 0 {
		return 0
	}
	return estimator.samples[0].roundTrip
}

// Median returns the median of at least one offset. If the middle two of an even number
// differ by stepMs or more, it returns the one nearer to previous.
func Median(offsets []int64, previous int64) int64 {
	sorted := slices.Sorted(slices.Values(offsets))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	low, high := sorted[middle-1], sorted[middle]
	switch {
	case high-low < stepMs:
		return low + (high-low)/2
	case previous-low < high-previous:
		return low
	}
	return high
}
