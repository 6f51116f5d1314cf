package hostproxy

import (
	"fmt"
	"math"
	"testing"
	"time"

	"orchidjunction/routing"
)

// The estimates for a route start from its target time and follow its responses.
func TestRouteStats(test *testing.T) {
	stats := newRouteStats()
	plain, download := &routing.Route{Name: "a", TargetMs: 500}, &routing.Route{Name: "b", Kind: routing.Download}
	if milliseconds, kilobytes := stats.expected(plain); milliseconds != 100 || kilobytes != 0 {
		test.Errorf("%v ms, %v KB", milliseconds, kilobytes)
	}
	if milliseconds, kilobytes := stats.expected(download); milliseconds != 4 || kilobytes != 64 {
		test.Errorf("%v ms, %v KB", milliseconds, kilobytes)
	}
	for range 300 {
		stats.observe(plain, 40*time.Millisecond, 10<<10)
	}
	if milliseconds, kilobytes := stats.expected(plain); math.Abs(milliseconds-40) > 1 || math.Abs(kilobytes-10) > 1 {
		test.Errorf("%v ms, %v KB", milliseconds, kilobytes)
	}
	for number := range 40 {
		stats.meanMs(&routing.Route{Name: fmt.Sprint(number)})
	}
	if stats.prune([]routing.Route{*plain}); len(stats.routes) != 1 || stats.meanMs(plain) > 41 {
		test.Errorf("%d routes kept", len(stats.routes))
	}
}
