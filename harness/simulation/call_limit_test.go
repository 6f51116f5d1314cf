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

// No more calls than the limit are answered at once, all are answered in the end, and callers
// that leave while they wait take no slot with them.
func TestCallsAreLimited(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		const most, callers = 5, 60
		world := NewWorld(seed, 1)
		defer world.Close()
		server := rpc.NewServer(metrics.NewCounters())
		var now, highest atomic.Int64
		rpc.Handle(server, message.MethodLeader, func(context.Context, *message.LeaderRequest) (*message.LeaderResponse, error) {
			current := now.Add(1)
			highest.Store(max(highest.Load(), current))
			world.Sleep(50 * time.Millisecond)
			now.Add(-1)
			return &message.LeaderResponse{}, nil
		})
		rpc.LimitCalls(server, message.MethodLeader, most)
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
				test.Fatal("calls do not end")
			}
			if timeout > time.Second && answered.Load() != callers {
				test.Errorf("%d of %d answered", answered.Load(), callers)
			}
			if timeout < time.Second && answered.Load() > 2*most {
				test.Errorf("%d answered in %v", answered.Load(), timeout)
			}
		}
		if highest.Load() != most {
			test.Errorf("%d at once, want %d", highest.Load(), most)
		}
	})
}
