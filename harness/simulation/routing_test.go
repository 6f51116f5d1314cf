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

// startRegional starts the cores and members of a regional world and puts routing 1 in force.
func (world *World) startRegional(test *testing.T, members int) {
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
		test.Fatal("members not ready within 5 s")
	}
}

// membersReady reports whether all members are ready.
func (world *World) membersReady() bool {
	for _, member := range world.Members {
		if !member.Daemon.Ready() {
			return false
		}
	}
	return true
}

// waitRouting waits until a routing is in force at all running members, and returns how long
// that took.
func (world *World) waitRouting(version uint64, limit time.Duration) (time.Duration, bool) {
	begin := time.Now()
	reached := world.Until(limit, func() bool {
		for _, member := range world.Members {
			if member.Alive && (member.Daemon.Version().Routing == nil || member.Daemon.Version().Routing.Config.Version < version) {
				return false
			}
		}
		return true
	})
	return time.Since(begin), reached
}

// A routing is accepted once and its repeats are acknowledged; an old version, a wrong base or
// an invalid routing is refused; of two concurrent orders on one base exactly one is accepted.
func TestRoutingOrdersAcceptedOnceOrRefused(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.startRegional(test, 3)
		for _, step := range []struct {
			version, base uint64
			want          rpc.Code
		}{{5, 1, ""}, {5, 1, ""}, {1, 0, ""}, {4, 5, rpc.StaleVersion}, {5, 5, rpc.StaleVersion}, {9, 1, rpc.StaleBase}, {9, 5, ""}} {
			got := rpc.Code("")
			if err := world.PutRouting(step.version, step.base); err != nil {
				got = rpc.CodeOf(err)
			}
			if got != step.want {
				world.reportViolation("version %d on base %d: got code %q, want %q", step.version, step.base, got, step.want)
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
			world.reportViolation("an invalid routing was accepted")
		}
		last := uint64(9)
		for round := range 10 {
			accepted, refused := []uint64{}, 0
			mutex, done := sync.Mutex{}, 0
			for number := range uint64(2) {
				version := last + 1 + number
				world.goroutines.Start(func() {
					_, err := forward(world, world.forwarders()[number:], message.MethodRoutingChange, NewRoutingChange(version, last))
					mutex.Lock()
					defer mutex.Unlock()
					if done++; err == nil {
						accepted = append(accepted, version)
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
				test.Fatal("no final answer to concurrent orders within 20 s")
			}
			if len(accepted) != 1 || refused != 1 {
				world.reportViolation("round %d on base %d: %v accepted, %d refused, want one each", round, last, accepted, refused)
			}
			state, err := world.ReadRouting()
			if err != nil || len(accepted) > 0 && state.Config.Version != accepted[0] {
				world.reportViolation("round %d: %v accepted, read back %+v, error %v", round, accepted, state, err)
				break
			}
			last = state.Config.Version
		}
		took, reached := world.waitRouting(last, 2*time.Second)
		if !reached {
			world.reportViolation("routing %d is not in force at all members after %v", last, took)
		}
		world.reportFailures(test)
	})
}

// A patch changes what it names and keeps everything else, including the evacuated zones.
func TestRoutingPatchKeepsTheRest(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.startRegional(test, 1)
		if err := world.Evacuate("z1", true); err != nil {
			test.Fatal(err)
		}
		routes := NewRoutingConfig(2).Routes
		routes[0].Prefix = "/b/"
		body, _ := rpc.Marshal(&routing.Change{Version: 2, Base: 1, Digest: "patch", Patch: &routing.Patch{Routes: routes}})
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
			world.reportViolation("state after the patch: %+v, error %v", state, err)
		}
		if took, reached := world.waitRouting(2, time.Second); !reached {
			world.reportViolation("the patch is not in force after %v", took)
		} else if held := world.Members[0].Daemon.Version().Routing; fmt.Sprint(held.Evacuated) != "[z1]" || held.History.Count > 0 {
			world.reportViolation("the member's routing is %+v, want z1 evacuated and no history", held)
		}
		world.reportFailures(test)
	})
}

// Evacuated zones and the newest routing survive if the leader loses power, or its disk, just
// after the acknowledgement, and if all cores lose power and one of them its disk.
func TestAcknowledgedSurvivesLeaderAndPowerLoss(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.startRegional(test, 2)
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
			for zone, evacuated := range want {
				if held[zone] != evacuated {
					world.reportViolation(
						"round %d: zone %s: evacuated %v acknowledged, read back %v",
						round,
						zone,
						evacuated,
						state.Evacuated,
					)
				}
			}
			if state.Config.Version != version {
				world.reportViolation("round %d: version %d acknowledged, %d read back", round, version, state.Config.Version)
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
		world.reportFailures(test)
	})
}

// Bounds an operator's wait for an acknowledgement while the leader is stopped gracefully,
// killed, frozen or cut off, and the time until the routing is in force at all members.
func TestOrderDuringLeaderChange(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.startRegional(test, 9)
		version := uint64(1)
		for round := range 9 {
			kind := []string{"calm", "planned", "killed", "frozen", "cut"}[round%5]
			world.Until(5*time.Second, func() bool { return world.Leader() >= 0 })
			world.Sleep(3 * time.Second)
			leader := world.Leader()
			forwarders := []*agent.Forwarder{world.Members[round%9].Daemon.Forwarder, world.Members[(round+1)%9].Daemon.Forwarder}
			switch kind {
			case "planned":
				world.goroutines.Start(func() {
					world.Cores[leader].Core.Retire(6 * time.Second)
				})
				forwarders[0] = world.Cores[leader].Forwarder
			case "killed":
				world.KillCore(leader, true)
			case "frozen":
				world.Net.Freeze(world.Cores[leader].Host, true)
			case "cut":
				world.isolateCore(leader, true)
			}
			begin := time.Now()
			_, err := forward(world, forwarders, message.MethodRoutingChange, NewRoutingChange(version+1, version))
			wait := time.Since(begin)
			if err != nil {
				test.Fatalf("%s: %v", kind, err)
			}
			version++
			spread, reached := world.waitRouting(version, 5*time.Second)
			limits := map[string]time.Duration{"calm": 400 * time.Millisecond, "planned": 1200 * time.Millisecond, "killed": 4 * time.Second, "frozen": 4 * time.Second, "cut": 4 * time.Second}[kind]
			if wait > limits {
				world.reportViolation("%s: acknowledged after %v, too late", kind, wait)
			}
			if !reached || kind == "calm" && spread > 400*time.Millisecond || spread > 2*time.Second {
				world.reportViolation("%s: distribution took %v, in force at all members: %v", kind, spread, reached)
			}
			if !world.membersReady() {
				world.reportViolation("%s: a member is not ready", kind)
			}
			test.Logf("%s: acknowledged after %v, in force at all members %v later", kind, wait, spread)
			switch kind {
			case "frozen":
				world.Net.Freeze(world.Cores[leader].Host, false)
			case "cut":
				world.isolateCore(leader, false)
			case "planned":
				if _, err := world.evacuateThrough(forwarders[:1], "z", true); err != nil {
					world.reportViolation("a retired core does not forward: %v", err)
				}
				world.KillCore(leader, false)
				world.StartCore(leader)
			case "killed":
				world.StartCore(leader)
			}
		}
		world.reportFailures(test)
	})
}

// A member cut off from all cores stays ready with the routing it has, and catches up once it
// is connected again.
func TestIsolatedMemberKeepsServing(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.startRegional(test, 3)
		isolated := world.Members[int(seed)%3]
		cut := func(shut bool) {
			for _, core := range world.Cores {
				world.Net.Cut(core.Host, isolated.Host, shut)
			}
		}
		cut(true)
		if err := world.PutRouting(2, 1); err != nil {
			test.Fatal(err)
		}
		for range 100 {
			world.Sleep(100 * time.Millisecond)
			if !isolated.Daemon.Ready() || isolated.Daemon.Version().Routing.Config.Version != 1 {
				world.reportViolation(
					"cut off: ready %v, version %d, want a ready member with version 1",
					isolated.Daemon.Ready(),
					isolated.Daemon.Version().Routing.Config.Version,
				)
				break
			}
		}
		cut(false)
		if took, reached := world.waitRouting(2, 4*time.Second); !reached {
			world.reportViolation("reconnected: not caught up after %v", took)
		}
		world.reportFailures(test)
	})
}

// A leaving backend stays leaving, its warm-up time is not moved by jitter in the list, and it
// is gone once two complete lists lack it.
func TestListedBackendStateIsMonotonic(test *testing.T) {
	scenario := func(seed uint64, listed func(call int) []message.Backend) func(test *testing.T) {
		return func(test *testing.T) {
			scenario := NewRegionalWorld(seed, 3)
			defer scenario.CloseRegional()
			mutex, call := sync.Mutex{}, 0
			scenario.ListBackends = func(discovery.PageRequest) discovery.Page {
				mutex.Lock()
				defer mutex.Unlock()
				call++
				return discovery.Page{Backends: listed(call)}
			}
			scenario.startRegional(test, 1)
			leaving, warmAtMs := false, int64(0)
			for range 600 {
				scenario.Sleep(100 * time.Millisecond)
				for _, backend := range scenario.Members[0].Daemon.Version().Table.Backends {
					if leaving = leaving || backend.Leaving; leaving && !backend.Leaving {
						scenario.reportViolation("a leaving backend is no longer leaving")
					}
					if warmAtMs > 0 && backend.WarmAtMs != 0 && backend.WarmAtMs != warmAtMs {
						scenario.reportViolation("warm-up time changed from %d to %d", warmAtMs, backend.WarmAtMs)
					}
					warmAtMs = backend.WarmAtMs
				}
			}
			if held := scenario.Members[0].Daemon.Version().Table.Backends; len(held) != 0 || !leaving {
				scenario.reportViolation("leaving seen %v, backends still listed: %v", leaving, held)
			}
			scenario.reportFailures(test)
		}
	}
	eachWorld(test, func(seed uint64) func(test *testing.T) {
		warmAtMs := time.Now().Add(time.Hour).UnixMilli()
		return scenario(seed, func(call int) []message.Backend {
			if call > 40 {
				return nil
			}
			backend := message.Backend{
				Name:     "b",
				Service:  "desk",
				Address:  "10.9.9.9:80",
				Capacity: 4,
				WarmAtMs: warmAtMs + int64(call%5)*90,
				Leaving:  call > 15 && call%3 > 0,
			}
			if call%4 == 0 {
				backend.WarmAtMs = 0
			}
			return []message.Backend{backend}
		})
	})
}

func eachWorld(test *testing.T, run func(seed uint64) func(test *testing.T)) {
	forEachSeed(test, func(test *testing.T, seed uint64) { run(seed)(test) })
}
