package control

import (
	"testing"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
)

// Who leads is asked while the leader beats, very often: neither waits for the
// other's lock for good.
func TestLeaderQueryWhileSendingHeartbeats(test *testing.T) {
	core, goroutines := newSingleCore(test)
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
