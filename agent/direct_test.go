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

// A core that has failed is avoided for a while, unless it becomes the leader of a new term.
func TestNewTermOverridesCoreFailure(test *testing.T) {
	config := Config{
		Name:            "p1",
		Kind:            "proxy",
		Zone:            "e1",
		InternalAddress: "10.0.0.9:1",
		PublicAddress:   "10.0.0.9:2",
		OperatorAddress: "10.0.0.9:3",
		Seeds:           []string{"10.0.0.1:1", "10.0.0.2:1"},
		DirectSessions:  true,
		Routed:          true,
	}
	daemon := NewDaemon(config, "i1", rpc.NewClient(http.DefaultTransport), concurrent.NewGroup(), metrics.NewCounters())
	observeLeader := func(term uint64) {
		daemon.LeaderFinder.Observe(message.Leader{Term: message.Term{Number: term, Core: 1}, Core: 1, Address: "10.0.0.1:1"})
	}
	for number, step := range []struct {
		do   func()
		want string
	}{
		{func() { observeLeader(1) }, "10.0.0.1:1"},
		{func() { daemon.failedAt["10.0.0.1:1"] = time.Now() }, "10.0.0.2:1"},
		{func() { observeLeader(2) }, "10.0.0.1:1"},
		{func() { daemon.failedAt["10.0.0.1:1"] = time.Now() }, "10.0.0.2:1"},
	} {
		if step.do(); daemon.chooseCore() != step.want {
			test.Errorf("step %d: chose %s, want %s", number, daemon.chooseCore(), step.want)
		}
	}
}
