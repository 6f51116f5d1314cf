package serviceproxy

import (
	"testing"
	"time"
)

// A caller's timeout at the end of its range overflowed to a deadline in the past, so that the
// request was refused at once.
func TestCallerTimeout(test *testing.T) {
	const routeMs = 4000
	for text, want := range map[string]time.Duration{
		"": 4 * time.Second, "1": time.Millisecond, "3999": 3999 * time.Millisecond, "4000": 4 * time.Second, "4001": 4 * time.Second,
		"2147483647": 4 * time.Second, "9223372036854": 4 * time.Second, "9223372036855": 4 * time.Second,
		"18446744073710": 4 * time.Second, "9223372036854775806": 4 * time.Second, "9223372036854775807": 4 * time.Second,
		"0": 0, "-1": 0, "-9223372036854775808": 0, "9223372036854775808": 0, "soon": 0, "1.5": 0,
	} {
		got, err := requestTimeout(routeMs, text)
		if got != want || (err != nil) != (want == 0) {
			test.Errorf("%q: %v, %v, want %v", text, got, err, want)
		}
	}
}
