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

// slowCore answers nothing, and says so after a while.
type unresponsiveTransport struct{ delay time.Duration }

func (transport unresponsiveTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	select {
	case <-time.After(transport.delay):
		return nil, rpc.Errorf(rpc.Unreachable, "nobody there")
	case <-request.Context().Done():
		return nil, request.Context().Err()
	}
}

// A daemon that leaves went on accepting requests for its time to settle and for the time that
// the heartbeat took which told the cores; a request accepted so late was cut off at the end
// of the grace (LOST, issue 33).
func TestRetireSettlesFromItsBegin(test *testing.T) {
	synctest.Test(test, func(test *testing.T) {
		goroutines := concurrent.NewGroup()
		daemon := NewDaemon(
			Config{Name: "p", Kind: "proxy", Zone: "z", Seeds: []string{"127.0.0.1:1"}, DirectSessions: true, Routed: true},
			"life",
			rpc.NewClient(unresponsiveTransport{delay: 700 * time.Millisecond}),
			goroutines,
			metrics.NewCounters(),
		)
		const settle, grace = 2500 * time.Millisecond, 9500 * time.Millisecond
		begin := time.Now()
		daemon.Retire(settle, grace, func(rest time.Duration) bool {
			if settled := time.Since(begin); settled != settle {
				test.Errorf("settled for %s", settled)
			}
			if rest != grace-settle {
				test.Errorf("%s are left to drain", rest)
			}
			return true
		})
		goroutines.Stop()
	})
}
