package agent

import (
	"net/http"
	"testing"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// The session, which reads the daemon's state, must continue while a large version is applied.
func TestSessionContinuesDuringApply(test *testing.T) {
	goroutines, responded := concurrent.NewGroup(), concurrent.NewCondition()
	daemon := NewDaemon(
		Config{Name: "p", Kind: "proxy", Zone: "z", Seeds: []string{"127.0.0.1:1"}, DirectSessions: true, Routed: true},
		"i1",
		rpc.NewClient(http.DefaultTransport),
		goroutines,
		metrics.NewCounters(),
	)
	applied := uint64(0)
	daemon.OnVersion(func(version *Version) {
		applied++
		goroutines.Start(func() {
			daemon.memberInfo()
			responded.Notify()
		})
		if !responded.Wait(applied-1, 5*time.Second) {
			test.Error("memberInfo blocks until the version is applied")
		}
	}, nil)
	for number := uint64(1); number <= 2; number++ {
		if !daemon.applyUpdate(&message.FetchResponse{Table: &message.Table{Version: message.TableVersion{Number: number}}}, nil) {
			test.Error("a newer table was not applied")
		}
	}
	if daemon.applyUpdate(
		&message.FetchResponse{Table: &message.Table{Version: message.TableVersion{Number: 1}}},
		nil,
	); applied != 2 ||
		daemon.Version().Table.Version.Number != 2 {
		test.Errorf("applied %d times, want 2; table %v", applied, daemon.Version().Table.Version)
	}
	goroutines.Wait()
}

// blockingTransport blocks each call until released, then fails it.
type blockingTransport struct {
	received, release *concurrent.Condition
}

func (transport *blockingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	transport.received.Notify()
	transport.release.Wait(0, 5*time.Second)
	return nil, rpc.Errorf(rpc.Unreachable, "no response")
}

func TestSessionContinuesDuringCatchUp(test *testing.T) {
	goroutines, transport := concurrent.NewGroup(), &blockingTransport{
		received: concurrent.NewCondition(),
		release:  concurrent.NewCondition(),
	}
	counters := metrics.NewCounters()
	daemon := NewDaemon(
		Config{Name: "p", Kind: "proxy", Zone: "z", Seeds: []string{"127.0.0.1:1"}, DirectSessions: true, Routed: true},
		"i1",
		rpc.NewClient(transport),
		goroutines,
		counters,
	)
	daemon.behindSince = time.Now().Add(-time.Minute)
	start := time.Now()
	daemon.catchUp("127.0.0.1:1")
	daemon.catchUp("127.0.0.1:1")
	if elapsed := time.Since(start); elapsed > time.Second {
		test.Errorf("catchUp blocked for %v", elapsed)
	}
	if !transport.received.Wait(0, 5*time.Second) {
		test.Error("no fetch was sent")
	}
	if fetches := counters.Get("caught_up"); fetches != 1 {
		test.Errorf("%d concurrent fetches, want 1", fetches)
	}
	transport.release.Notify()
	goroutines.Wait()
	daemon.catchUp("127.0.0.1:1")
	goroutines.Wait()
	if fetches := counters.Get("caught_up"); fetches != 2 {
		test.Errorf("%d fetches in total, want 2", fetches)
	}
}
