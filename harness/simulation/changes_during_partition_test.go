package simulation

import (
	"sync"
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// call is one message to a core, by its name.
type call struct {
	name string
	ask  func(client *rpc.Client, address string, limit time.Duration) error
}

func callOf[Request, Response any](name string, method rpc.Method[Request, Response], request *Request) call {
	return call{name: name, ask: func(client *rpc.Client, address string, limit time.Duration) error {
		_, err := rpc.Call(client, address, method, limit, request)
		return err
	}}
}

// leaderCalls are the calls whose clear answers only a leader may give: repeats, true
// and untrue refusals, what changes nothing, and reads. Version 1 is in force.
func leaderCalls() []call {
	invalid := NewRoutingConfig(2)
	invalid.Routes[0].Service = "nobody"
	broken, _ := rpc.Marshal(&routing.Change{Version: 2, Base: 1, Digest: "invalid", Whole: invalid})
	dangling, _ := rpc.Marshal(
		&routing.Change{Version: 2, Base: 1, Digest: "dangling", Patch: &routing.Patch{RemoveServices: []string{"desk"}}},
	)
	low, _ := rpc.Marshal(&routing.Change{Version: 1, Base: 1, Digest: "low", Whole: NewRoutingConfig(1)})
	return []call{
		callOf("repeat", message.MethodRoutingChange, NewRoutingChange(1, 0)),
		callOf("stale base", message.MethodRoutingChange, NewRoutingChange(9, 0)),
		callOf("newer base", message.MethodRoutingChange, NewRoutingChange(9, 3)),
		callOf("stale version", message.MethodRoutingChange, &message.RoutingChangeRequest{Body: low}),
		callOf("invalid", message.MethodRoutingChange, &message.RoutingChangeRequest{Body: broken}),
		callOf("invalid patch", message.MethodRoutingChange, &message.RoutingChangeRequest{Body: dangling}),
		callOf("evacuated before", message.MethodEvacuate, &message.EvacuateRequest{Zone: "z1", Begin: true}),
		callOf("never evacuated", message.MethodEvacuate, &message.EvacuateRequest{Zone: "z2", Begin: false}),
		callOf("read", message.MethodRoutingRead, &message.RoutingReadRequest{}),
		callOf("settings", message.MethodRead, &message.ReadRequest{}),
		callOf("confirm", message.MethodReadIndex, &message.ReadIndexRequest{}),
		callOf("settings repeat", message.MethodChange, &message.ChangeRequest{ID: "first", Kind: "whole", Body: Settings(1000)}),
		callOf(
			"settings stale base",
			message.MethodChange,
			&message.ChangeRequest{ID: "other", Base: 7, Kind: "whole", Body: Settings(900)},
		),
		callOf("settings id reused", message.MethodChange, &message.ChangeRequest{ID: "first", Kind: "whole", Body: Settings(900)}),
		callOf(
			"settings invalid",
			message.MethodChange,
			&message.ChangeRequest{ID: "third", Base: 1, Kind: "partial", Body: []byte(`{"ack_ms":-4}`)},
		),
	}
}

// unclear is whether an answer lets its caller move on: it neither acknowledges nor
// refuses anything.
func unclear(err error) bool {
	if err == nil {
		return false
	}
	switch rpc.CodeOf(err) {
	case rpc.NotLeader, rpc.NoLeader, rpc.Lameduck, rpc.OutcomeUnknown, rpc.NotStarted, rpc.Unreachable, rpc.ConnectFailed:
		return true
	}
	return false
}

// lose puts a core out of touch with the others: both ways, one way, or frozen.
func (world *World) lose(index int, kind string, lost bool) {
	host := world.Cores[index].Host
	for other := range world.Cores {
		if other == index {
			continue
		}
		if kind == "cut" || kind == "mute" {
			world.Net.CutOneWay(host, world.Cores[other].Host, lost)
		}
		if kind == "cut" || kind == "deaf" {
			world.Net.CutOneWay(world.Cores[other].Host, host, lost)
		}
	}
	if kind == "frozen" {
		world.Net.Freeze(host, lost)
	}
}

// withSettings puts the first settings, a zone's evacuation and routing 1 in force.
func (world *World) withSettings(test *testing.T) {
	test.Helper()
	world.farUp(test, 3)
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

// A leader that lost touch with the others gives no clear answer from that moment
// on, to whatever it is asked; others may lead at once, having been restarted. The
// same calls have clear answers at who leads.
func TestLeaderOutOfTouchAnswersNothingClear(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, kind := range []string{"cut", "mute", "deaf", "frozen"} {
			for _, restarted := range []bool{false, true} {
				world := NewRegionalWorld(seed, 3+2*int(seed%2))
				world.withSettings(test)
				leader := world.calm(test)
				client := rpc.NewClient(world.Net.Transport(world.Members[0].Host))
				for _, one := range leaderCalls() {
					if err := one.ask(client, world.Cores[leader].InternalAddress, time.Second); unclear(err) {
						world.reportViolation("in touch, %s: %v", one.name, err)
					}
				}
				world.lose(leader, kind, true)
				for index := range world.Cores {
					if restarted && index != leader {
						world.KillCore(index, true)
						world.StartCore(index)
					}
				}
				begin, mutex, open := time.Now(), sync.Mutex{}, 0
				for time.Since(begin) < 20*time.Second {
					for _, one := range leaderCalls() {
						mutex.Lock()
						open++
						mutex.Unlock()
						request := time.Since(begin)
						world.goroutines.Start(func() {
							if err := one.ask(client, world.Cores[leader].InternalAddress, 30*time.Second); !unclear(err) {
								world.reportViolation("%s, restarted %v, %s asked after %v: %v", kind, restarted, one.name, request, err)
							}
							mutex.Lock()
							open--
							mutex.Unlock()
						})
					}
					world.Sleep(time.Duration(50+seed*13%50) * time.Millisecond)
					if time.Since(begin) > time.Second {
						world.Sleep(3 * time.Second)
					}
				}
				world.lose(leader, kind, false)
				if !world.Until(40*time.Second, func() bool { mutex.Lock(); defer mutex.Unlock(); return open == 0 }) {
					world.reportViolation("%s: %d calls open", kind, open)
				}
				client.Close()
				world.report(test)
				world.CloseRegional()
			}
		}
	})
}
