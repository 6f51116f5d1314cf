package control

import (
	"testing"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
)

// Leader queries and heartbeats run concurrently and often. They must not deadlock on the
// locks of the core and its leadership.
func TestLeaderQueryWhileSendingHeartbeats(test *testing.T) {
	core, goroutines := newSingleCore(test)
	core.Run()
	for !core.Leads() {
		goroutines.Sleep(time.Millisecond)
	}
	leadership, _ := core.currentLeadership()
	finished := concurrent.NewCondition()
	query := func() {
		if _, err := core.onLeader(&message.LeaderRequest{}); err != nil {
			test.Error(err)
		}
	}
	for _, operation := range []func(){query, func() { leadership.heartbeat() }} {
		goroutines.Start(func() {
			for range 100_000 {
				operation()
			}
			finished.Notify()
		})
	}
	for seen := range uint64(2) {
		if !finished.Wait(seen, time.Minute) {
			test.Fatal("deadlock: leader queries and heartbeats did not finish within a minute")
		}
	}
	goroutines.Stop()
	goroutines.Wait()
	core.Close()
}
