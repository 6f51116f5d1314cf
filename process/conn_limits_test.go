package process

import (
	"math"
	"testing"
	"time"

	"orchidjunction/routing"
)

// Milliseconds at the end of their range overflowed to a time below 0: a daemon with a grace
// without end had none.
func TestMillisecondsNeverOverflow(test *testing.T) {
	for count, want := range map[int]time.Duration{
		0: 0, 1: time.Millisecond, math.MaxInt32: math.MaxInt32 * time.Millisecond, 9223372036854: 9223372036854 * time.Millisecond,
		9223372036855: math.MaxInt64, math.MaxInt64 - 1: math.MaxInt64, math.MaxInt64: math.MaxInt64,
	} {
		if got := Milliseconds(count); got != want {
			test.Errorf("%d: %v, want %v", count, got, want)
		}
	}
}

// A limit that the routing does not give is the listener's own, and the process's own at last.
func TestLimitsThatAreNotGivenAreTheListenersOwn(test *testing.T) {
	own := ConnLimits{HeaderBytes: 9000}.orElse(defaultLimits)
	given := ConnLimitsOf(routing.Limits{HeaderMs: 700}).orElse(own)
	if want := (ConnLimits{HeaderBytes: 9000, HeaderTimeout: 700 * time.Millisecond, IdleTimeout: time.Minute}); given != want {
		test.Errorf("%+v, want %+v", given, want)
	}
	most := ConnLimitsOf(routing.Limits{HeaderBytes: math.MaxInt64, HeaderMs: math.MaxInt64, IdleMs: math.MaxInt64}).orElse(own)
	if most.HeaderBytes != math.MaxInt64 || most.HeaderTimeout != math.MaxInt64 || most.IdleTimeout != math.MaxInt64 {
		test.Errorf("%+v", most)
	}
}
