package run

import (
	"sort"
	"sync"
	"time"
)

const (
	clockSpan = 10 * time.Second
	clockSlip = 20
	clockLeap = 1000
)

// Clock is the time of day in milliseconds, anchored once at its start: what
// the wall clock does later moves nothing. Samples of a better clock lay an
// offset on it.
type Clock struct {
	begin time.Time
	wall  int64

	mutex   sync.Mutex
	offset  int64
	laid    bool
	samples Samples
}

func NewClock(wall func() int64) *Clock { return &Clock{begin: time.Now(), wall: wall()} }

// Anchored is the time without any offset.
func (clock *Clock) Anchored() int64 { return clock.wall + time.Since(clock.begin).Milliseconds() }

func (clock *Clock) Now() int64 { return clock.Anchored() + clock.Offset() }

func (clock *Clock) Offset() int64 {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return clock.offset
}

// Laid is whether a better clock was heard at all.
func (clock *Clock) Laid() bool {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return clock.laid
}

// Lay sets the offset, unless the one there is nearly the same.
func (clock *Clock) Lay(offset int64) {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	clock.lay(offset)
}

func (clock *Clock) lay(offset int64) {
	clock.laid = true
	if offset > clock.offset+clockSlip || offset < clock.offset-clockSlip {
		clock.offset = offset
	}
}

// Told takes what another clock answered to a question, by its round trip.
func (clock *Clock) Told(now int64, trip time.Duration) {
	if trip.Milliseconds() > clockLeap {
		return
	}
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	clock.samples.Take(now+trip.Milliseconds()/2-clock.Anchored(), trip)
	clock.lay(clock.samples.Best())
}

// Heard takes what another clock said of itself; what came quickest is furthest ahead.
func (clock *Clock) Heard(now int64) {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	offset := now - clock.Anchored()
	clock.samples.Take(offset, -time.Duration(offset)*time.Millisecond)
	clock.lay(clock.samples.Best())
}

// Samples are offsets seen lately; that of the quickest round trip counts.
type Samples struct {
	held []sample
}

type sample struct {
	offset int64
	trip   time.Duration
	at     time.Time
}

// Take keeps a sample and drops those that it outdoes. One that no delay
// explains tells of a clock that was set, and stands alone.
func (samples *Samples) Take(offset int64, trip time.Duration) {
	kept := []sample{}
	if best := samples.Best(); offset < best+clockLeap && offset > best-clockLeap {
		for _, held := range samples.held {
			if held.trip < trip && time.Since(held.at) < clockSpan {
				kept = append(kept, held)
			}
		}
	}
	samples.held = append(kept, sample{offset: offset, trip: trip, at: time.Now()})
}

// Best is the offset of the quickest sample.
func (samples *Samples) Best() int64 {
	if len(samples.held) == 0 {
		return 0
	}
	return samples.held[0].offset
}

// Trip is the quickest sample's round trip.
func (samples *Samples) Trip() time.Duration {
	if len(samples.held) == 0 {
		return 0
	}
	return samples.held[0].trip
}

// Median is the middle of some numbers; where the middle two of an even count
// lie far apart, it is the one nearer to what was held before.
func Median(numbers []int64, before int64) int64 {
	sorted := append([]int64{}, numbers...)
	sort.Slice(sorted, func(left, right int) bool { return sorted[left] < sorted[right] })
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	low, high := sorted[middle-1], sorted[middle]
	switch {
	case high-low < clockLeap:
		return low + (high-low)/2
	case before-low < high-before:
		return low
	}
	return high
}
