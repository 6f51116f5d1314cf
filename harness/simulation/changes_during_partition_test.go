package simulation

import (
	"sync"
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// coreCall is a named request to a core; limit is its time-out.
type coreCall struct {
	name string
	send func(client *rpc.Client, address string, limit time.Duration) error
}

func newCoreCall[Request, Response any](name string, method rpc.Method[Request, Response], request *Request) coreCall {
	return coreCall{name: name, send: func(client *rpc.Client, address string, limit time.Duration) error {
		_, err := rpc.Call(client, address, method, limit, request)
		return err
	}}
}

// leaderOnlyCalls are the calls to which only a leader may give a definite answer: repeats,
// changes that it refuses, no-ops and reads. Version 1 is in force.
func leaderOnlyCalls() []coreCall {
	invalid := NewRoutingConfig(2)
	invalid.Routes[0].Service = "nobody"
	broken, _ := rpc.Marshal(&routing.Change{Version: 2, Base: 1, Digest: "invalid", Whole: invalid})
	dangling, _ := rpc.Marshal(
		&routing.Change{Version: 2, Base: 1, Digest: "dangling", Patch: &routing.Patch{RemoveServices: []string{"desk"}}},
	)
	low, _ := rpc.Marshal(&routing.Change{Version: 1, Base: 1, Digest: "low", Whole: NewRoutingConfig(1)})
	return []coreCall{
		newCoreCall("repeat", message.MethodRoutingChange, NewRoutingChange(1, 0)),
		newCoreCall("stale base", message.MethodRoutingChange, NewRoutingChange(9, 0)),
		newCoreCall("newer base", message.MethodRoutingChange, NewRoutingChange(9, 3)),
		newCoreCall("stale version", message.MethodRoutingChange, &message.RoutingChangeRequest{Body: low}),
		newCoreCall("invalid", message.MethodRoutingChange, &message.RoutingChangeRequest{Body: broken}),
		newCoreCall("invalid patch", message.MethodRoutingChange, &message.RoutingChangeRequest{Body: dangling}),
		newCoreCall("evacuated before", message.MethodEvacuate, &message.EvacuateRequest{Zone: "z1", Begin: true}),
		newCoreCall("never evacuated", message.MethodEvacuate, &message.EvacuateRequest{Zone: "z2", Begin: false}),
		newCoreCall("read", message.MethodRoutingRead, &message.RoutingReadRequest{}),
		newCoreCall("settings", message.MethodRead, &message.ReadRequest{}),
		newCoreCall("confirm", message.MethodReadIndex, &message.ReadIndexRequest{}),
		newCoreCall("settings repeat", message.MethodChange, &message.ChangeRequest{ID: "first", Kind: "whole", Body: Settings(1000)}),
		newCoreCall(
			"settings stale base",
			message.MethodChange,
			&message.ChangeRequest{ID: "other", Base: 7, Kind: "whole", Body: Settings(900)},
		),
		newCoreCall("settings id reused", message.MethodChange, &message.ChangeRequest{ID: "first", Kind: "whole", Body: Settings(900)}),
		newCoreCall(
			"settings invalid",
			message.MethodChange,
			&message.ChangeRequest{ID: "third", Base: 1, Kind: "partial", Body: []byte(`{"ack_ms":-4}`)},
		),
	}
}

// isIndefinite reports whether an answer neither acknowledges nor refuses a request, so that
// the caller may try another core.
func isIndefinite(err error) bool {
	if err == nil {
		return false
	}
	switch rpc.CodeOf(err) {
	case rpc.NotLeader, rpc.NoLeader, rpc.Lameduck, rpc.OutcomeUnknown, rpc.NotStarted, rpc.Unreachable, rpc.ConnectFailed:
		return true
	}
	return false
}

// partitionCore cuts a core off from the others or rejoins it: both directions ("cut"),
// outgoing only ("mute"), incoming only ("deaf"), or all its traffic ("frozen").
func (world *World) partitionCore(index int, kind string, cut bool) {
	host := world.Cores[index].Host
	for other := range world.Cores {
		if other == index {
			continue
		}
		if kind == "cut" || kind == "mute" {
			world.Net.CutOneWay(host, world.Cores[other].Host, cut)
		}
		if kind == "cut" || kind == "deaf" {
			world.Net.CutOneWay(world.Cores[other].Host, host, cut)
		}
	}
	if kind == "frozen" {
		world.Net.Freeze(host, cut)
	}
}

// startWithSettings starts the system and puts the first settings, a zone's evacuation and
// routing 1 in force.
func (world *World) startWithSettings(test *testing.T) {
	test.Helper()
	world.startRegional(test, 3)
	if err := world.Evacuate("z1", true); err != nil {
		test.Fatal(err)
	}
	if _, err := forward(
		world,
		world.forwarders(),
		message.MethodChange,
		&message.ChangeRequest{ID: "first", Kind: "whole", Body: Settings(1000)},
	); err != nil {
		test.Fatal(err)
	}
}

// A leader that is cut off from the others gives no definite answer from that moment on, to
// any call, as restarted cores may elect another at once. Before the cut it answers the same
// calls definitely.
func TestPartitionedLeaderGivesNoDefiniteAnswer(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, kind := range []string{"cut", "mute", "deaf", "frozen"} {
			for _, restarted := range []bool{false, true} {
				world := NewRegionalWorld(seed, 3+2*int(seed%2))
				world.startWithSettings(test)
				leader := world.waitStable(test)
				client := rpc.NewClient(world.Net.Transport(world.Members[0].Host))
				for _, call := range leaderOnlyCalls() {
					if err := call.send(client, world.Cores[leader].InternalAddress, time.Second); isIndefinite(err) {
						world.reportViolation("before the partition, %s: %v", call.name, err)
					}
				}
				world.partitionCore(leader, kind, true)
				for index := range world.Cores {
					if restarted && index != leader {
						world.KillCore(index, true)
						world.StartCore(index)
					}
				}
				begin, mutex, pending := time.Now(), sync.Mutex{}, 0
				for time.Since(begin) < 20*time.Second {
					for _, call := range leaderOnlyCalls() {
						mutex.Lock()
						pending++
						mutex.Unlock()
						sentAfter := time.Since(begin)
						world.goroutines.Start(func() {
							if err := call.send(client, world.Cores[leader].InternalAddress, 30*time.Second); !isIndefinite(err) {
								world.reportViolation(
									"%s, others restarted %v, %s sent %v after the partition got a definite answer: %v",
									kind,
									restarted,
									call.name,
									sentAfter,
									err,
								)
							}
							mutex.Lock()
							pending--
							mutex.Unlock()
						})
					}
					world.Sleep(time.Duration(50+seed*13%50) * time.Millisecond)
					if time.Since(begin) > time.Second {
						world.Sleep(3 * time.Second)
					}
				}
				world.partitionCore(leader, kind, false)
				if !world.Until(40*time.Second, func() bool { mutex.Lock(); defer mutex.Unlock(); return pending == 0 }) {
					world.reportViolation("%s: %d calls without an answer", kind, pending)
				}
				client.Close()
				world.reportFailures(test)
				world.CloseRegional()
			}
		}
	})
}
