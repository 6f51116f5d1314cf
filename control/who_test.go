package control

import (
	"net/http"
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
	"orchidjunction/run"
)

// Who leads is asked while the leader beats, very often: neither waits for the
// other's lock for good.
func TestWhoWhileBeating(test *testing.T) {
	threads := run.NewThreads()
	core, err := NewCore(Place{ID: 1, Wire: "127.0.0.1:1", Found: true, Beat: 10 * time.Millisecond, Suspect: 30 * time.Millisecond}, Folder(test.TempDir()), rpc.NewClient(http.DefaultTransport), threads, run.NewCounts())
	if err != nil {
		test.Fatal(err)
	}
	core.Run()
	for !core.Leads() {
		threads.Rest(time.Millisecond)
	}
	leadership, _ := core.leading()
	ended := run.NewBell()
	ask := func() {
		if _, err := core.onWho(&message.LeaderRequest{}); err != nil {
			test.Error(err)
		}
	}
	for _, duty := range []func(){ask, func() { leadership.beat() }} {
		threads.Start(func() {
			for range 100_000 {
				duty()
			}
			ended.Ring()
		})
	}
	for seen := uint64(0); seen < 2; seen++ {
		if !ended.Wait(seen, time.Minute) {
			test.Fatal("the locks wait for each other")
		}
	}
	threads.Stop()
	threads.Wait()
	core.Close()
}
