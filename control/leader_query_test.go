package control

import (
	"net/http"
	"testing"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

// Who leads is asked while the leader beats, very often: neither waits for the
// other's lock for good.
func TestLeaderQueryWhileSendingHeartbeats(test *testing.T) {
	goroutines := concurrent.NewGroup()
	core, err := NewCore(
		Config{
			ID:                1,
			InternalAddress:   "127.0.0.1:1",
			Bootstrap:         true,
			HeartbeatInterval: 10 * time.Millisecond,
			SuspicionTimeout:  30 * time.Millisecond,
		},
		storage.Folder(test.TempDir()),
		rpc.NewClient(http.DefaultTransport),
		goroutines,
		metrics.NewCounters(),
	)
	if err != nil {
		test.Fatal(err)
	}
	core.Run()
	for !core.Leads() {
		goroutines.Sleep(time.Millisecond)
	}
	leadership, _ := core.currentLeadership()
	ended := concurrent.NewCondition()
	ask := func() {
		if _, err := core.onLeader(&message.LeaderRequest{}); err != nil {
			test.Error(err)
		}
	}
	for _, duty := range []func(){ask, func() { leadership.heartbeat() }} {
		goroutines.Start(func() {
			for range 100_000 {
				duty()
			}
			ended.Notify()
		})
	}
	for seen := range uint64(2) {
		if !ended.Wait(seen, time.Minute) {
			test.Fatal("the locks wait for each other")
		}
	}
	goroutines.Stop()
	goroutines.Wait()
	core.Close()
}
