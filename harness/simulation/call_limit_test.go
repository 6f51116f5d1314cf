package simulation

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/metrics"
	"orchidjunction/rpc"
)

// A server handles no more calls at once than the limit, handles all of them in the end, and
// frees the slots of callers that time out while they wait.
func TestCallsAreLimited(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		const limit, callers = 5, 60
		world := NewWorld(seed, 1)
		defer world.Close()
		server := rpc.NewServer(metrics.NewCounters())
		var running, peak atomic.Int64
		rpc.Handle(server, message.MethodLeader, func(context.Context, *message.LeaderRequest) (*message.LeaderResponse, error) {
			current := running.Add(1)
			peak.Store(max(peak.Load(), current))
			world.Sleep(50 * time.Millisecond)
			running.Add(-1)
			return &message.LeaderResponse{}, nil
		})
		rpc.LimitCalls(server, message.MethodLeader, limit)
		goroutines := concurrent.NewGroup()
		world.servers = append(world.servers, world.serve(goroutines, "10.0.5.1:41", server))
		client := rpc.NewClient(world.Net.Transport("10.0.5.2"))
		defer client.Close()
		for _, timeout := range []time.Duration{70 * time.Millisecond, 10 * time.Second} {
			var answered, ended atomic.Int64
			for range callers {
				world.goroutines.Start(func() {
					if _, err := rpc.Call(client, "10.0.5.1:41", message.MethodLeader, timeout, &message.LeaderRequest{}); err == nil {
						answered.Add(1)
					}
					ended.Add(1)
				})
			}
			if !world.Until(20*time.Second, func() bool { return ended.Load() == callers }) {
				test.Fatal("calls did not end within 20 s")
			}
			if timeout > time.Second && answered.Load() != callers {
				test.Errorf("%d of %d calls answered", answered.Load(), callers)
			}
			if timeout < time.Second && answered.Load() > 2*limit {
				test.Errorf("%d calls answered within a time-out of %v", answered.Load(), timeout)
			}
		}
		if peak.Load() != limit {
			test.Errorf("peak of %d concurrent calls, want %d", peak.Load(), limit)
		}
	})
}
