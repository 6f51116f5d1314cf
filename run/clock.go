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

// Clock is the time of day in milliseconds since the Unix epoch. It reads the wall
// clock once, at its start, and the monotonic clock from then on, so that a step of
// the wall clock moves nothing. An offset estimated from other clocks is added.
type Clock struct {
	begin time.Time
	wall  int64

	mutex   sync.Mutex
	offset  int64
	laid    bool
	samples Samples
}

// NewClock returns a Clock that starts at what wall returns now, in milliseconds
// since the Unix epoch.
func NewClock(wall func() int64) *Clock { return &Clock{begin: time.Now(), wall: wall()} }

// Anchored returns the time without the offset, in milliseconds since the Unix
// epoch.
func (clock *Clock) Anchored() int64 { return clock.wall + time.Since(clock.begin).Milliseconds() }

// Now returns the time with the offset, in milliseconds since the Unix epoch.
func (clock *Clock) Now() int64 { return clock.Anchored() + clock.Offset() }

// Offset returns the offset in force, in milliseconds.
func (clock *Clock) Offset() int64 {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return clock.offset
}

// Laid reports whether an offset was ever set.
func (clock *Clock) Laid() bool {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return clock.laid
}

// Lay sets the offset in milliseconds, unless the one in force differs by no more
// than the slip that is tolerated.
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

// Told takes the time that another clock returned, in milliseconds since the Unix
// epoch, and the round trip of the call, and updates the offset. Calls with long
// round trips are ignored.
func (clock *Clock) Told(now int64, trip time.Duration) {
	if trip.Milliseconds() > clockLeap {
		return
	}
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	clock.samples.Take(now+trip.Milliseconds()/2-clock.Anchored(), trip)
	clock.lay(clock.samples.Best())
}

// Heard takes the time that a one-way message from another clock carried, in
// milliseconds since the Unix epoch. As its delay is unknown, the sample furthest
// ahead counts.
func (clock *Clock) Heard(now int64) {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	offset := now - clock.Anchored()
	clock.samples.Take(offset, -time.Duration(offset)*time.Millisecond)
	clock.lay(clock.samples.Best())
}

// Samples estimates the offset between two clocks by the recent sample with the
// shortest round trip, as NTP does.
type Samples struct {
	held []sample
}

type sample struct {
	offset int64
	trip   time.Duration
	at     time.Time
}

// Take adds an offset in milliseconds with its round trip, and drops samples that
// are old or have a longer one. An offset that no delay explains means that a clock
// was set, and replaces all others.
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

// Best returns the offset of the sample with the shortest round trip in
// milliseconds, 0 without samples.
func (samples *Samples) Best() int64 {
	if len(samples.held) == 0 {
		return 0
	}
	return samples.held[0].offset
}

// Trip returns the shortest round trip, 0 without samples.
func (samples *Samples) Trip() time.Duration {
	if len(samples.held) == 0 {
		return 0
	}
	return samples.held[0].trip
}

// Median returns the median of at least one number. Where the middle two of an even
// count lie more than a second apart, it returns the one nearer to before.
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
