package process

import (
	"math"
	"testing"
	"time"

	"orchidjunction/routing"
)

// Guards against overflow to a negative duration: a daemon with a very long grace period had
// none.
func TestMillisecondsNeverOverflow(test *testing.T) {
	for count, want := range map[int]time.Duration{
		0: 0, 1: time.Millisecond, math.MaxInt32: math.MaxInt32 * time.Millisecond, 9223372036854: 9223372036854 * time.Millisecond,
		9223372036855: math.MaxInt64, math.MaxInt64 - 1: math.MaxInt64, math.MaxInt64: math.MaxInt64,
	} {
		if got := Milliseconds(count); got != want {
			test.Errorf("%d ms: got %v, want %v", count, got, want)
		}
	}
}

// A limit missing in the routing configuration falls back to the listener's own, then to the
// default.
func TestMissingLimitsFallBackToListenerLimits(test *testing.T) {
	own := ConnLimits{HeaderBytes: 9000}.withDefaults(defaultLimits)
	limits := ConnLimitsOf(routing.Limits{HeaderMs: 700}).withDefaults(own)
	if want := (ConnLimits{HeaderBytes: 9000, HeaderTimeout: 700 * time.Millisecond, IdleTimeout: time.Minute}); limits != want {
		test.Errorf("got %+v, want %+v", limits, want)
	}
	largest := ConnLimitsOf(routing.Limits{HeaderBytes: math.MaxInt64, HeaderMs: math.MaxInt64, IdleMs: math.MaxInt64}).withDefaults(own)
	if largest.HeaderBytes != math.MaxInt64 || largest.HeaderTimeout != math.MaxInt64 || largest.IdleTimeout != math.MaxInt64 {
		test.Errorf("maximum limits: %+v", largest)
	}
}
