// Package clock provides a time of day that several machines agree on: Clock is immune to
// steps of the local wall clock, and OffsetEstimator estimates the offset of another
// machine's clock.
package clock

import (
	"sync"
	"time"
)

// offsetToleranceMs is the largest change of the offset that is ignored.
const offsetToleranceMs = 20

// Clock is a time of day in milliseconds since the Unix epoch. It reads the wall clock
// once, when it is created, and the monotonic clock from then on, and adds an offset
// estimated from other clocks. It is safe for concurrent use.
type Clock struct {
	startedAt time.Time

	mutex     sync.Mutex
	startWall int64
	offset    int64
	synced    bool
	estimator OffsetEstimator
}

// NewClock returns a Clock that starts at the current result of wall, in milliseconds
// since the Unix epoch.
func NewClock(wall func() int64) *Clock { return &Clock{startedAt: time.Now(), startWall: wall()} }

// Anchored returns the time without the offset, in milliseconds since the Unix epoch.
func (clock *Clock) Anchored() int64 {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return clock.anchored()
}

func (clock *Clock) anchored() int64 {
	return clock.startWall + time.Since(clock.startedAt).Milliseconds()
}

// Reanchor adds an offset to the wall-clock time read at the start and drops all samples,
// unless the offset is so small that a delay explains it. It reports whether it did so.
func (clock *Clock) Reanchor(offset int64) bool {
	if offset > -stepMs && offset < stepMs {
		return false
	}
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	clock.startWall += offset
	clock.offset, clock.synced, clock.estimator = 0, true, OffsetEstimator{}
	return true
}

// Now returns the time with the offset, in milliseconds since the Unix epoch.
func (clock *Clock) Now() int64 { return clock.Anchored() + clock.Offset() }

// Offset returns the current offset in milliseconds.
func (clock *Clock) Offset() int64 {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return clock.offset
}

// Synced reports whether an offset has ever been set.
func (clock *Clock) Synced() bool {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return clock.synced
}

// SetOffset sets the offset in milliseconds, unless it is nearly the same as before.
func (clock *Clock) SetOffset(offset int64) {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	clock.setOffset(offset)
}

func (clock *Clock) setOffset(offset int64) {
	clock.synced = true
	if offset > clock.offset+offsetToleranceMs || offset < clock.offset-offsetToleranceMs {
		clock.offset = offset
	}
}

// AddRoundTrip updates the offset from a call's round-trip time and the time that another
// clock returned, in milliseconds since the Unix epoch. It ignores calls longer than
// stepMs.
func (clock *Clock) AddRoundTrip(now int64, roundTrip time.Duration) {
	if roundTrip.Milliseconds() > stepMs {
		return
	}
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	clock.estimator.Add(now+roundTrip.Milliseconds()/2-clock.anchored(), roundTrip)
	clock.setOffset(clock.estimator.Offset())
}

// AddOneWay updates the offset from the time in a one-way message, in milliseconds since
// the Unix epoch. Its delay is unknown, so the largest offset is taken as the best
// sample.
func (clock *Clock) AddOneWay(now int64) {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	offset := now - clock.anchored()
	clock.estimator.Add(offset, -time.Duration(offset)*time.Millisecond)
	clock.setOffset(clock.estimator.Offset())
}
