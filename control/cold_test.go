package control

import (
	"net/http"
	"testing"
	"time"

	"orchidjunction/run"
	"orchidjunction/wire"
)

// A core whose leadership ended is not taken for one that has heard of no leader
// since it started.
func TestFormerLeaderIsNotCold(test *testing.T) {
	core, err := NewCore(Place{Wire: "127.0.0.1:1", Seeds: []string{"127.0.0.1:1"}, Least: 1, Found: true, Beat: 10 * time.Millisecond, Suspect: 30 * time.Millisecond},
		Folder(test.TempDir()), wire.NewClient(http.DefaultTransport), run.NewThreads(), run.NewCounts())
	if err != nil {
		test.Fatal(err)
	}
	if !core.cold() {
		test.Error("not cold after the start")
	}
	ballot := wire.Term{Number: 4, Core: 1}
	leadership := newLeadership(core, ballot, &Establishment{core: core, ballot: ballot})
	core.leadership, core.leader = leadership, wire.Leader{Term: ballot, Core: 1, Address: "127.0.0.1:1"}
	core.revoke(leadership)
	if core.cold() || core.leader.Known() {
		test.Errorf("cold %v, leader %+v", core.cold(), core.leader)
	}
	core.Close()
}
