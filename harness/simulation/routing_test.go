package simulation

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"orchidjunction/agent"
	"orchidjunction/discovery"
	"orchidjunction/message"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// farUp starts the cores and members of a far world and puts routing 1 in force.
func (world *World) farUp(test *testing.T, members int) {
	test.Helper()
	for index := range world.Cores {
		world.StartCore(index)
	}
	for index := range members {
		world.StartMember(world.AddMember(index % 3))
	}
	if !world.Until(10*time.Second, func() bool { return world.Leader() >= 0 }) {
		test.Fatal("no leader")
	}
	if err := world.PutRouting(1, 0); err != nil {
		test.Fatal(err)
	}
	if !world.Until(5*time.Second, world.membersReady) {
		test.Fatal("members not ready")
	}
}

func (world *World) membersReady() bool {
	for _, one := range world.Members {
		if !one.Daemon.Ready() {
			return false
		}
	}
	return true
}

// reached is how long after now all living members have a routing in force.
func (world *World) reached(version uint64, limit time.Duration) (time.Duration, bool) {
	begin := time.Now()
	whole := world.Until(limit, func() bool {
		for _, one := range world.Members {
			if one.Alive && (one.Daemon.Version().Routing == nil || one.Daemon.Version().Routing.Config.Version < version) {
				return false
			}
		}
		return true
	})
	return time.Since(begin), whole
}

// A routing is taken once, a repeat is told so, and neither an old version nor
// another base nor an invalid one gets in; of two at once one does.
func TestRoutingTakenRepeatedStaleRaced(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.farUp(test, 3)
		for _, step := range []struct {
			version, base uint64
			want          rpc.Code
		}{{5, 1, ""}, {5, 1, ""}, {1, 0, ""}, {4, 5, rpc.StaleVersion}, {5, 5, rpc.StaleVersion}, {9, 1, rpc.StaleBase}, {9, 5, ""}} {
			got := rpc.Code("")
			if err := world.PutRouting(step.version, step.base); err != nil {
				got = rpc.CodeOf(err)
			}
			if got != step.want {
				world.reportViolation("%d on %d: %q, want %q", step.version, step.base, got, step.want)
			}
		}
		invalid := NewRoutingConfig(10)
		invalid.Routes[0].Service = "nobody"
		body, _ := rpc.Marshal(&routing.Change{Version: 10, Base: 9, Digest: "wrong", Whole: invalid})
		if _, err := forward(
			world,
			world.forwarders(),
			message.MethodRoutingChange,
			&message.RoutingChangeRequest{Body: body},
		); err == nil {
			world.reportViolation("an invalid routing was taken")
		}
		last := uint64(9)
		for round := range 10 {
			taken, refused := []uint64{}, 0
			mutex, done := sync.Mutex{}, 0
			for racer := range uint64(2) {
				version := last + 1 + racer
				world.goroutines.Start(func() {
					_, err := forward(world, world.forwarders()[racer:], message.MethodRoutingChange, NewRoutingChange(version, last))
					mutex.Lock()
					defer mutex.Unlock()
					if done++; err == nil {
						taken = append(taken, version)
					} else {
						refused++
					}
				})
			}
			if round == 5 {
				world.Sleep(time.Duration(seed*37%200) * time.Millisecond)
				leader := world.Leader()
				world.KillCore(leader, true)
				world.Sleep(300 * time.Millisecond)
				world.StartCore(leader)
			}
			if !world.Until(20*time.Second, func() bool { mutex.Lock(); defer mutex.Unlock(); return done == 2 }) {
				test.Fatal("no answer")
			}
			if len(taken) != 1 || refused != 1 {
				world.reportViolation("round %d on %d: %v taken, %d refused", round, last, taken, refused)
			}
			state, err := world.ReadRouting()
			if err != nil || len(taken) > 0 && state.Config.Version != taken[0] {
				world.reportViolation("round %d: %v taken, read back %+v %v", round, taken, state, err)
				break
			}
			last = state.Config.Version
		}
		took, whole := world.reached(last, 2*time.Second)
		if !whole {
			world.reportViolation("routing %d is not everywhere after %v", last, took)
		}
		world.report(test)
	})
}

// A patch changes what it names and keeps the rest, also which zones are emptied.
func TestRoutingPatchKeepsTheRest(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.farUp(test, 1)
		if err := world.Evacuate("z1", true); err != nil {
			test.Fatal(err)
		}
		more := NewRoutingConfig(2).Routes
		more[0].Prefix = "/b/"
		body, _ := rpc.Marshal(&routing.Change{Version: 2, Base: 1, Digest: "patch", Patch: &routing.Patch{Routes: more}})
		if _, err := forward(
			world,
			world.forwarders(),
			message.MethodRoutingChange,
			&message.RoutingChangeRequest{Body: body},
		); err != nil {
			test.Fatal(err)
		}
		state, err := world.ReadRouting()
		if err != nil || state.Config.Version != 2 || len(state.Config.Routes) != 2 || fmt.Sprint(state.Evacuated) != "[z1]" {
			world.reportViolation("after the patch: %+v %v", state, err)
		}
		if took, whole := world.reached(2, time.Second); !whole {
			world.reportViolation("not everywhere after %v", took)
		} else if held := world.Members[0].Daemon.Version().Routing; fmt.Sprint(held.Evacuated) != "[z1]" || held.History.Count > 0 {
			world.reportViolation("a member holds %+v", held)
		}
		world.report(test)
	})
}

// Emptied zones and the newest routing last when the leader dies just after it
// acknowledged, when power goes everywhere, and when one disk is lost with it.
func TestAcknowledgedLastsEverything(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.farUp(test, 2)
		version, want := uint64(1), map[string]bool{}
		for round := range 9 {
			zone := fmt.Sprint("z", round%4)
			if err := world.Evacuate(zone, !want[zone]); err != nil {
				test.Fatal(err)
			}
			want[zone] = !want[zone]
			if err := world.PutRouting(version+1, version); err != nil {
				test.Fatal(err)
			}
			version++
			switch leader := world.Leader(); round % 3 {
			case 0:
				world.KillCore(leader, true)
				world.Sleep(time.Duration(seed%5) * 300 * time.Millisecond)
				world.StartCore(leader)
			case 1:
				for index := range world.Cores {
					world.KillCore(index, true)
				}
				world.WipeCore((round + int(seed)) % 3)
				world.Sleep(time.Second)
				for index := range world.Cores {
					world.StartCore(index)
				}
			case 2:
				world.WipeCore(leader)
				world.Sleep(200 * time.Millisecond)
				world.StartCore(leader)
			}
			if !world.Until(15*time.Second, func() bool { return world.Leader() >= 0 }) {
				test.Fatal("no leader")
			}
			state, err := world.ReadRouting()
			if err != nil {
				test.Fatal(err)
			}
			held := map[string]bool{}
			for _, zone := range state.Evacuated {
				held[zone] = true
			}
			for zone, emptied := range want {
				if held[zone] != emptied {
					world.reportViolation("round %d: %s emptied %v, read back %v", round, zone, emptied, state.Evacuated)
				}
			}
			if state.Config.Version != version {
				world.reportViolation("round %d: version %d, read back %d", round, version, state.Config.Version)
			}
			world.Until(15*time.Second, func() bool {
				for _, machine := range world.Cores {
					if !machine.Core.CanVote() {
						return false
					}
				}
				return true
			})
		}
		world.report(test)
	})
}

// What an operator waits who orders a routing while the leader is stopped, with
// a warning and without, or frozen; and how soon it is in force everywhere.
func TestFarLeaderChange(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.farUp(test, 9)
		version := uint64(1)
		for round := range 9 {
			kind := []string{"calm", "planned", "killed", "frozen", "cut"}[round%5]
			world.Until(5*time.Second, func() bool { return world.Leader() >= 0 })
			world.Sleep(3 * time.Second)
			leader := world.Leader()
			holds := []*agent.Forwarder{world.Members[round%9].Daemon.Forwarder, world.Members[(round+1)%9].Daemon.Forwarder}
			switch kind {
			case "planned":
				world.goroutines.Start(func() {
					world.Cores[leader].Core.Retire(6 * time.Second)
				})
				holds[0] = world.Cores[leader].Forwarder
			case "killed":
				world.KillCore(leader, true)
			case "frozen":
				world.Net.Freeze(world.Cores[leader].Host, true)
			case "cut":
				world.isolateCore(leader, true)
			}
			begin := time.Now()
			_, err := forward(world, holds, message.MethodRoutingChange, NewRoutingChange(version+1, version))
			wait := time.Since(begin)
			if err != nil {
				test.Fatalf("%s: %v", kind, err)
			}
			version++
			spread, whole := world.reached(version, 5*time.Second)
			most := map[string]time.Duration{"calm": 400 * time.Millisecond, "planned": 1200 * time.Millisecond, "killed": 4 * time.Second, "frozen": 4 * time.Second, "cut": 4 * time.Second}[kind]
			if wait > most {
				world.reportViolation("%s: an operator waited %v", kind, wait)
			}
			if !whole || kind == "calm" && spread > 400*time.Millisecond || spread > 2*time.Second {
				world.reportViolation("%s: in force after %v, everywhere: %v", kind, spread, whole)
			}
			if !world.membersReady() {
				world.reportViolation("%s: a member is not ready", kind)
			}
			test.Logf("%s: acknowledged after %v, everywhere %v later", kind, wait, spread)
			switch kind {
			case "frozen":
				world.Net.Freeze(world.Cores[leader].Host, false)
			case "cut":
				world.isolateCore(leader, false)
			case "planned":
				if _, err := world.evacuateThrough(holds[:1], "z", true); err != nil {
					world.reportViolation("a retired core does not forward: %v", err)
				}
				world.KillCore(leader, false)
				world.StartCore(leader)
			case "killed":
				world.StartCore(leader)
			}
		}
		world.report(test)
	})
}

// A member that is cut off from all cores stays ready on what it holds, and
// catches up once it is back; one that stood still asks first.
func TestMemberServesAlone(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.farUp(test, 3)
		lone := world.Members[int(seed)%3]
		cut := func(shut bool) {
			for _, core := range world.Cores {
				world.Net.Cut(core.Host, lone.Host, shut)
			}
		}
		cut(true)
		if err := world.PutRouting(2, 1); err != nil {
			test.Fatal(err)
		}
		for range 100 {
			world.Sleep(100 * time.Millisecond)
			if !lone.Daemon.Ready() || lone.Daemon.Version().Routing.Config.Version != 1 {
				world.reportViolation("cut off: ready %v, version %d", lone.Daemon.Ready(), lone.Daemon.Version().Routing.Config.Version)
				break
			}
		}
		cut(false)
		if took, whole := world.reached(2, 4*time.Second); !whole {
			world.reportViolation("back in touch: not caught up after %v", took)
		}
		world.report(test)
	})
}

// A backend that leaves stays leaving, its warm time moves by no jitter, and it
// is gone once two whole lists lack it.
func TestListedBackendsOnlyMoveOn(test *testing.T) {
	world := func(seed uint64, listed func(call int) []message.Backend) func(test *testing.T) {
		return func(test *testing.T) {
			world := NewRegionalWorld(seed, 3)
			defer world.CloseRegional()
			mutex, call := sync.Mutex{}, 0
			world.ListBackends = func(discovery.PageRequest) discovery.Page {
				mutex.Lock()
				defer mutex.Unlock()
				call++
				return discovery.Page{Backends: listed(call)}
			}
			world.farUp(test, 1)
			left, warm := false, int64(0)
			for range 600 {
				world.Sleep(100 * time.Millisecond)
				for _, backend := range world.Members[0].Daemon.Version().Table.Backends {
					if left = left || backend.Leaving; left && !backend.Leaving {
						world.reportViolation("a backend stays again")
					}
					if warm > 0 && backend.WarmAtMs != 0 && backend.WarmAtMs != warm {
						world.reportViolation("warm at %d, then %d", warm, backend.WarmAtMs)
					}
					warm = backend.WarmAtMs
				}
			}
			if held := world.Members[0].Daemon.Version().Table.Backends; len(held) != 0 || !left {
				world.reportViolation("left %v, still held: %v", left, held)
			}
			world.report(test)
		}
	}
	eachWorld(test, func(seed uint64) func(test *testing.T) {
		warm := time.Now().Add(time.Hour).UnixMilli()
		return world(seed, func(call int) []message.Backend {
			if call > 40 {
				return nil
			}
			one := message.Backend{
				Name:     "b",
				Service:  "desk",
				Address:  "10.9.9.9:80",
				Capacity: 4,
				WarmAtMs: warm + int64(call%5)*90,
				Leaving:  call > 15 && call%3 > 0,
			}
			if call%4 == 0 {
				one.WarmAtMs = 0
			}
			return []message.Backend{one}
		})
	})
}

func eachWorld(test *testing.T, play func(seed uint64) func(test *testing.T)) {
	each(test, func(test *testing.T, seed uint64) { play(seed)(test) })
}
