package control

import (
	"net/http"
	"testing"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// A core whose leadership ended is not taken for one that has heard of no leader
// since it started.
func TestFormerLeaderIsNotCold(test *testing.T) {
	core, err := NewCore(Place{Wire: "127.0.0.1:1", Seeds: []string{"127.0.0.1:1"}, Least: 1, Found: true, Beat: 10 * time.Millisecond, Suspect: 30 * time.Millisecond},
		Folder(test.TempDir()), rpc.NewClient(http.DefaultTransport), concurrent.NewGroup(), metrics.NewCounters())
	if err != nil {
		test.Fatal(err)
	}
	if !core.cold() {
		test.Error("not cold after the start")
	}
	term := message.Term{Number: 4, Core: 1}
	leadership := newLeadership(core, term, &Establishment{core: core, ballot: term})
	core.leadership, core.leader = leadership, message.Leader{Term: term, Core: 1, Address: "127.0.0.1:1"}
	core.revoke(leadership)
	if core.cold() || core.leader.Known() {
		test.Errorf("cold %v, leader %+v", core.cold(), core.leader)
	}
	core.Close()
}
