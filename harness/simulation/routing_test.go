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

// startFar starts the cores and members of a far world and puts routing 1 in force.
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
	if err := world.Put(1, 0); err != nil {
		test.Fatal(err)
	}
	if !world.Until(5*time.Second, world.membersReady) {
		test.Fatal("members not ready within 5 s")
	}
}

// membersReady reports whether all members are ready.
func (world *World) membersReady() bool {
	for _, one := range world.Members {
		if !one.Daemon.Ready() {
			return false
		}
	}
	return true
}

// waitRouting waits until a routing is in force at all running members, and returns how long
// that took.
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

// A routing is accepted once and its repeats are acknowledged; an old version, a wrong base or
// an invalid routing is refused; of two concurrent orders on one base exactly one is accepted.
func TestRoutingTakenRepeatedStaleRaced(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3)
		defer world.CloseFar()
		world.farUp(test, 3)
		for _, step := range []struct {
			version, base uint64
			want          rpc.Code
		}{{5, 1, ""}, {5, 1, ""}, {1, 0, ""}, {4, 5, rpc.StaleVersion}, {5, 5, rpc.StaleVersion}, {9, 1, rpc.StaleBase}, {9, 5, ""}} {
			got := rpc.Code("")
			if err := world.Put(step.version, step.base); err != nil {
				got = rpc.CodeOf(err)
			}
			if got != step.want {
				world.broke("version %d on base %d: got code %q, want %q", step.version, step.base, got, step.want)
			}
		}
		invalid := Routing(10)
		invalid.Routes[0].Service = "nobody"
		body, _ := rpc.Marshal(&routing.Change{Version: 10, Base: 9, Digest: "wrong", Whole: invalid})
		if _, err := order(world, world.holds(), message.MethodRoutingChange, &message.RoutingChangeRequest{Body: body}); err == nil {
			world.broke("an invalid routing was accepted")
		}
		last := uint64(9)
		for round := range 10 {
			taken, refused := []uint64{}, 0
			mutex, done := sync.Mutex{}, 0
			for racer := range uint64(2) {
				version := last + 1 + racer
				world.goroutines.Start(func() {
					_, err := order(world, world.holds()[racer:], message.MethodRoutingChange, WholeChange(version, last))
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
				world.Rest(time.Duration(seed*37%200) * time.Millisecond)
				leader := world.Leader()
				world.KillCore(leader, true)
				world.Rest(300 * time.Millisecond)
				world.StartCore(leader)
			}
			if !world.Until(20*time.Second, func() bool { mutex.Lock(); defer mutex.Unlock(); return done == 2 }) {
				test.Fatal("no final answer to concurrent orders within 20 s")
			}
			if len(taken) != 1 || refused != 1 {
				world.broke("round %d on base %d: %v accepted, %d refused, want one each", round, last, taken, refused)
			}
			state, err := world.Book()
			if err != nil || len(taken) > 0 && state.Config.Version != taken[0] {
				world.broke("round %d: %v accepted, read back %+v, error %v", round, taken, state, err)
				break
			}
			last = state.Config.Version
		}
		took, whole := world.reached(last, 2*time.Second)
		if !whole {
			world.broke("routing %d is not in force at all members after %v", last, took)
		}
		world.report(test)
	})
}

// A patch changes what it names and keeps everything else, including the evacuated zones.
func TestRoutingPatchKeepsTheRest(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3)
		defer world.CloseFar()
		world.farUp(test, 1)
		if err := world.Evacuate("z1", true); err != nil {
			test.Fatal(err)
		}
		more := Routing(2).Routes
		more[0].Prefix = "/b/"
		body, _ := rpc.Marshal(&routing.Change{Version: 2, Base: 1, Digest: "patch", Patch: &routing.Patch{Routes: more}})
		if _, err := order(world, world.holds(), message.MethodRoutingChange, &message.RoutingChangeRequest{Body: body}); err != nil {
			test.Fatal(err)
		}
		state, err := world.Book()
		if err != nil || state.Config.Version != 2 || len(state.Config.Routes) != 2 || fmt.Sprint(state.Evacuated) != "[z1]" {
			world.broke("state after the patch: %+v, error %v", state, err)
		}
		if took, whole := world.reached(2, time.Second); !whole {
			world.broke("the patch is not in force after %v", took)
		} else if held := world.Members[0].Daemon.Version().Routing; fmt.Sprint(held.Evacuated) != "[z1]" || held.History.Count > 0 {
			world.broke("the member's routing is %+v, want z1 evacuated and no history", held)
		}
		world.report(test)
	})
}

// Evacuated zones and the newest routing survive if the leader loses power, or its disk, just
// after the acknowledgement, and if all cores lose power and one of them its disk.
func TestAcknowledgedLastsEverything(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3)
		defer world.CloseFar()
		world.farUp(test, 2)
		version, want := uint64(1), map[string]bool{}
		for round := range 9 {
			zone := fmt.Sprint("z", round%4)
			if err := world.Evacuate(zone, !want[zone]); err != nil {
				test.Fatal(err)
			}
			want[zone] = !want[zone]
			if err := world.Put(version+1, version); err != nil {
				test.Fatal(err)
			}
			version++
			switch leader := world.Leader(); round % 3 {
			case 0:
				world.KillCore(leader, true)
				world.Rest(time.Duration(seed%5) * 300 * time.Millisecond)
				world.StartCore(leader)
			case 1:
				for index := range world.Cores {
					world.KillCore(index, true)
				}
				world.WipeCore((round + int(seed)) % 3)
				world.Rest(time.Second)
				for index := range world.Cores {
					world.StartCore(index)
				}
			case 2:
				world.WipeCore(leader)
				world.Rest(200 * time.Millisecond)
				world.StartCore(leader)
			}
			if !world.Until(15*time.Second, func() bool { return world.Leader() >= 0 }) {
				test.Fatal("no leader")
			}
			state, err := world.Book()
			if err != nil {
				test.Fatal(err)
			}
			held := map[string]bool{}
			for _, zone := range state.Evacuated {
				held[zone] = true
			}
			for zone, emptied := range want {
				if held[zone] != emptied {
					world.broke("round %d: zone %s: evacuated %v acknowledged, read back %v", round, zone, emptied, state.Evacuated)
				}
			}
			if state.Config.Version != version {
				world.broke("round %d: version %d acknowledged, %d read back", round, version, state.Config.Version)
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

// Bounds an operator's wait for an acknowledgement while the leader is stopped gracefully,
// killed, frozen or cut off, and the time until the routing is in force at all members.
func TestFarLeaderChange(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3)
		defer world.CloseFar()
		world.farUp(test, 9)
		version := uint64(1)
		for round := range 9 {
			kind := []string{"calm", "planned", "killed", "frozen", "cut"}[round%5]
			world.Until(5*time.Second, func() bool { return world.Leader() >= 0 })
			world.Rest(3 * time.Second)
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
				world.isolate(leader, true)
			}
			begin := time.Now()
			_, err := order(world, holds, message.MethodRoutingChange, WholeChange(version+1, version))
			wait := time.Since(begin)
			if err != nil {
				test.Fatalf("%s: %v", kind, err)
			}
			version++
			spread, whole := world.reached(version, 5*time.Second)
			most := map[string]time.Duration{"calm": 400 * time.Millisecond, "planned": 1200 * time.Millisecond, "killed": 4 * time.Second, "frozen": 4 * time.Second, "cut": 4 * time.Second}[kind]
			if wait > most {
				world.broke("%s: acknowledged after %v, too late", kind, wait)
			}
			if !whole || kind == "calm" && spread > 400*time.Millisecond || spread > 2*time.Second {
				world.broke("%s: distribution took %v, in force at all members: %v", kind, spread, whole)
			}
			if !world.membersReady() {
				world.broke("%s: a member is not ready", kind)
			}
			test.Logf("%s: acknowledged after %v, in force at all members %v later", kind, wait, spread)
			switch kind {
			case "frozen":
				world.Net.Freeze(world.Cores[leader].Host, false)
			case "cut":
				world.isolate(leader, false)
			case "planned":
				if _, err := world.evacuateBy(holds[:1], "z", true); err != nil {
					world.broke("a retired core does not forward: %v", err)
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

// A member cut off from all cores stays ready with the routing it has, and catches up once it
// is connected again.
func TestMemberServesAlone(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3)
		defer world.CloseFar()
		world.farUp(test, 3)
		lone := world.Members[int(seed)%3]
		cut := func(shut bool) {
			for _, core := range world.Cores {
				world.Net.Cut(core.Host, lone.Host, shut)
			}
		}
		cut(true)
		if err := world.Put(2, 1); err != nil {
			test.Fatal(err)
		}
		for range 100 {
			world.Rest(100 * time.Millisecond)
			if !lone.Daemon.Ready() || lone.Daemon.Version().Routing.Config.Version != 1 {
				world.broke("cut off: ready %v, version %d, want a ready member with version 1", lone.Daemon.Ready(), lone.Daemon.Version().Routing.Config.Version)
				break
			}
		}
		cut(false)
		if took, whole := world.reached(2, 4*time.Second); !whole {
			world.broke("reconnected: not caught up after %v", took)
		}
		world.report(test)
	})
}

// A leaving backend stays leaving, its warm-up time is not moved by jitter in the list, and it
// is gone once two complete lists lack it.
func TestListedBackendsOnlyMoveOn(test *testing.T) {
	world := func(seed uint64, listed func(call int) []message.Backend) func(test *testing.T) {
		return func(test *testing.T) {
			world := NewFarWorld(seed, 3)
			defer world.CloseFar()
			mutex, call := sync.Mutex{}, 0
			world.Listed = func(discovery.PageRequest) discovery.Page {
				mutex.Lock()
				defer mutex.Unlock()
				call++
				return discovery.Page{Backends: listed(call)}
			}
			world.farUp(test, 1)
			left, warm := false, int64(0)
			for range 600 {
				world.Rest(100 * time.Millisecond)
				for _, backend := range world.Members[0].Daemon.Version().Table.Backends {
					if left = left || backend.Leaving; left && !backend.Leaving {
						world.broke("a leaving backend is no longer leaving")
					}
					if warm > 0 && backend.WarmAtMs != 0 && backend.WarmAtMs != warm {
						world.broke("warm-up time changed from %d to %d", warm, backend.WarmAtMs)
					}
					warm = backend.WarmAtMs
				}
			}
			if held := world.Members[0].Daemon.Version().Table.Backends; len(held) != 0 || !left {
				world.broke("leaving seen %v, backends still listed: %v", left, held)
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
