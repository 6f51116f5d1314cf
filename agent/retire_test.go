package agent

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// unresponsiveTransport fails each call after a delay.
type unresponsiveTransport struct{ delay time.Duration }

func (transport unresponsiveTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	select {
	case <-time.After(transport.delay):
		return nil, rpc.Errorf(rpc.Unreachable, "no response")
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// The settle time must count from the start of Retire. It once began only after the departing
// heartbeat was answered, and a request accepted that late was cut off at the end of the grace
// period and lost (issue 33).
func TestRetireSettlesFromItsBegin(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		goroutines := concurrent.NewGroup()
		daemon := NewDaemon(
			Config{Name: "p", Kind: "proxy", Zone: "z", Seeds: []string{"127.0.0.1:1"}, DirectSessions: true, Routed: true},
			"i1",
			rpc.NewClient(unresponsiveTransport{delay: 700 * time.Millisecond}),
			goroutines,
			metrics.NewCounters(),
		)
		const settle, grace = 2500 * time.Millisecond, 9500 * time.Millisecond
		start := time.Now()
		daemon.Retire(settle, grace, func(remaining time.Duration) bool {
			if elapsed := time.Since(start); elapsed != settle {
				test.Errorf("drain called after %s, want after the settle time", elapsed)
			}
			if remaining != grace-settle {
				test.Errorf("%s left to drain, want grace minus settle", remaining)
			}
			return true
		})
		goroutines.Stop()
	})
}
