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

// A core whose leadership ended has heard of a leader: it must not behave like one that has
// heard of none since it started.
func TestFormerLeaderHasHeardLeader(test *testing.T) {
	core, err := NewCore(
		Config{
			InternalAddress:   "127.0.0.1:1",
			Seeds:             []string{"127.0.0.1:1"},
			MinFounders:       1,
			Bootstrap:         true,
			HeartbeatInterval: 10 * time.Millisecond,
			SuspicionTimeout:  30 * time.Millisecond,
		},
		storage.Folder(test.TempDir()),
		rpc.NewClient(http.DefaultTransport),
		concurrent.NewGroup(),
		metrics.NewCounters(),
	)
	if err != nil {
		test.Fatal(err)
	}
	if !core.neverHeardLeader() {
		test.Error("a core that just started has heard of a leader")
	}
	term := message.Term{Number: 4, Core: 1}
	leadership := newLeadership(&Establishment{core: core, term: term}, nil)
	core.leadership, core.election.leader = leadership, message.Leader{Term: term, Core: 1, Address: "127.0.0.1:1"}
	core.endLeadership(leadership)
	if core.neverHeardLeader() || core.election.leader.Known() {
		test.Errorf("after its leadership ended: never heard a leader %v, leader %+v", core.neverHeardLeader(), core.election.leader)
	}
	core.Close()
}
