package simulation

import (
	"fmt"
	"testing"
	"time"

	"orchidjunction/discovery"
	"orchidjunction/message"
	"orchidjunction/replica"
	"orchidjunction/rpc"
)

// killAll kills all cores, by power loss if power is set, and all members if members is set.
func (world *World) killAll(power, members bool) {
	for index := range world.Cores {
		world.KillCore(index, power)
	}
	for _, member := range world.Members {
		if members {
			world.KillMember(member)
		}
	}
}

func (world *World) startAll() {
	for _, machine := range world.machines() {
		world.startMachine(machine)
	}
	for _, member := range world.Members {
		if !member.Alive {
			world.StartMember(member)
		}
	}
}

// isolateCores isolates the cores from each other, or joins them again.
func (world *World) isolateCores(cut bool) {
	for index := range world.Cores {
		world.isolateCore(index, cut)
	}
}

// servingVersion returns the routing version that a member serves with, 0 if it cannot serve.
func (member *RegionalDaemon) servingVersion() uint64 {
	version := member.Daemon.Version()
	if version.Routing == nil || !version.Table.Complete {
		return 0
	}
	return version.Routing.Config.Version
}

// waitServing waits until one member, or all of them, serve with at least a version, and
// returns how long that took.
func (world *World) waitServing(version uint64, all bool, limit time.Duration) (time.Duration, bool) {
	begin := time.Now()
	done := world.Until(limit, func() bool {
		count := 0
		for _, member := range world.Members {
			if member.Alive && member.servingVersion() >= version {
				count++
			}
		}
		return count == len(world.Members) || !all && count > 0
	})
	return time.Since(begin), done
}

// allVote reports whether all cores run and vote.
func (world *World) allVote() bool {
	for _, machine := range world.machines() {
		if core := machine.running(world); core == nil || !core.CanVote() {
			return false
		}
	}
	return true
}

// leadershipCount returns the number of leaderships so far.
func (world *World) leadershipCount() int {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return len(world.Leaderships)
}

// waitStable waits until there is a leader and all cores vote, and returns the leader's index.
func (world *World) waitStable(test *testing.T) int {
	test.Helper()
	if !world.Until(20*time.Second, func() bool { return world.Leader() >= 0 && world.allVote() }) {
		test.Fatal("no leader, or a core does not vote, after 20 s")
	}
	return world.Leader()
}

// waitStableNotFirst is waitStable with a leader other than core 0, which is the first to
// become a candidate.
func (world *World) waitStableNotFirst(test *testing.T) int {
	test.Helper()
	for world.waitStable(test) == 0 {
		world.TerminateCore(0)
		world.StartCore(0)
	}
	return world.Leader()
}

// All processes end just after a routing was acknowledged: killed, by power loss, or with the
// loss of as many disks as tolerated. Members serve with it soon after the restart.
func TestRoutingServedSoonAfterFullRestart(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			world := NewRegionalWorld(seed, cores)
			world.startRegional(test, 4)
			version := uint64(1)
			for round, kind := range []string{"killed", "power", "wiped", "leader stays down", "leader wiped, minority was cut off", "killed"} {
				leader := world.waitStable(test)
				cut := []int{}
				for offset := 1; offset <= cores/2 && kind == "leader wiped, minority was cut off"; offset++ {
					cut = append(cut, (leader+offset)%cores)
					world.isolateCore((leader+offset)%cores, true)
				}
				if err := world.PutRouting(version+1, version); err != nil {
					test.Fatal(err)
				}
				version++
				world.killAll(kind != "killed", true)
				firstLimit, allLimit := 400*time.Millisecond, 600*time.Millisecond
				switch kind {
				case "wiped":
					firstLimit, allLimit = 400*time.Millisecond, 1800*time.Millisecond
					for lost := range cores / 2 {
						world.WipeCore((int(seed) + round + lost) % cores)
					}
				case "leader stays down":
					allLimit = 2500 * time.Millisecond
				case "leader wiped, minority was cut off":
					firstLimit, allLimit = 2500*time.Millisecond, 2500*time.Millisecond
					world.WipeCore(leader)
				}
				world.Sleep(time.Duration(seed*37%8) * 50 * time.Millisecond)
				for _, index := range cut {
					world.isolateCore(index, false)
				}
				world.startAll()
				if kind == "leader stays down" {
					world.KillCore(leader, false)
				}
				begin := time.Now()
				took, done := world.waitServing(version, false, 10*time.Second)
				if !done || took > firstLimit {
					world.reportViolation("%d cores, %s: first member served after %v, want at most %v", cores, kind, took, firstLimit)
				}
				_, done = world.waitServing(version, true, 10*time.Second)
				if all := time.Since(begin); !done || all > allLimit {
					world.reportViolation("%d cores, %s: all members served after %v, want at most %v", cores, kind, all, allLimit)
				} else {
					test.Logf("%d cores, %s: first member served after %v, all after %v", cores, kind, took, all)
				}
				world.startAll()
				world.waitStable(test)
				if state, err := world.ReadRouting(); err != nil || state.Config.Version != version {
					world.reportViolation("%d cores, %s: state after the restart %+v, error %v", cores, kind, state, err)
				}
			}
			world.reportFailures(test)
			world.CloseRegional()
		}
	})
}

// writeAccepted writes an accepted but uncommitted routing to a stopped core's disk.
func (world *World) writeAccepted(test *testing.T, index int, version uint64) {
	test.Helper()
	store, err := replica.OpenStore(world.Cores[index].Disk)
	if err != nil {
		test.Fatal(err)
	}
	voter := replica.New(
		store,
		replica.Callbacks{
			DiskFailed:         func(err error) { test.Error(err) },
			PromiseRaised:      func(message.Term) {},
			MembershipAccepted: func(message.AcceptedValue) {},
		},
	)
	held := voter.State().Accepted[message.RoutingRegister]
	body, _ := rpc.Marshal(NewRoutingState(version))
	response, err := voter.Accept(
		&message.AcceptRequest{
			Term:     voter.State().Promised,
			Register: message.RoutingRegister,
			Value:    message.Value{Serial: held.Value.Serial + 1, Body: body},
		},
	)
	if err != nil || !response.Accepted {
		test.Fatal(response, err)
	}
	store.Close()
}

// A routing accepted by less than a majority is not distributed before a leader decides on
// it; after that all members hold the same routing.
func TestUncommittedRoutingIsNotDistributed(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			for _, isolated := range []bool{true, false} {
				world := NewRegionalWorld(seed, cores)
				world.startRegional(test, 3)
				world.Sleep(time.Second)
				world.killAll(true, true)
				accepted := map[int]bool{}
				for offset := range cores / 2 {
					accepted[(int(seed)+offset)%cores] = true
					world.writeAccepted(test, (int(seed)+offset)%cores, 2)
				}
				if isolated {
					world.isolateCores(true)
				}
				for index := range world.Cores {
					if isolated || accepted[index] {
						world.StartCore(index)
					}
				}
				for _, member := range world.Members {
					world.StartMember(member)
				}
				for until := time.Now().Add(5 * time.Second); time.Now().Before(until); world.Sleep(20 * time.Millisecond) {
					for _, member := range world.Members {
						if version := member.Daemon.Version(); version.Routing != nil && version.Routing.Config.Version > 1 {
							test.Fatalf("%d cores, isolated %v: %s holds an uncommitted routing", cores, isolated, member.Name)
						}
					}
				}
				for _, member := range world.Members {
					if isolated && member.servingVersion() != 1 {
						world.reportViolation("%d cores: %s does not serve with the committed routing", cores, member.Name)
					}
				}
				world.isolateCores(false)
				world.startAll()
				world.waitStable(test)
				state, err := world.ReadRouting()
				if err != nil {
					test.Fatal(err)
				}
				if took, done := world.waitServing(state.Config.Version, true, 5*time.Second); !done {
					world.reportViolation("%d cores: routing %d not in force at all members after %v", cores, state.Config.Version, took)
				}
				for _, member := range world.Members {
					if member.servingVersion() != state.Config.Version {
						world.reportViolation(
							"routing %d committed, %s serves with %d",
							state.Config.Version,
							member.Name,
							member.servingVersion(),
						)
					}
				}
				world.reportFailures(test)
				world.CloseRegional()
			}
		}
	})
}

// The restart of a single follower does not change the leader.
func TestFollowerRestartKeepsLeader(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3+2*int(seed%2))
		defer world.CloseRegional()
		world.startRegional(test, 2)
		leader := world.waitStableNotFirst(test)
		before := world.leadershipCount()
		for index := range world.Cores {
			for round := range 3 {
				if index == leader {
					continue
				}
				world.KillCore(index, round%2 == 0)
				world.Sleep(time.Duration(round) * 400 * time.Millisecond)
				world.StartCore(index)
				world.Sleep(2 * time.Second)
				if err := world.Evacuate("z", round%2 == 0); err != nil {
					world.reportViolation("%v", err)
				}
			}
		}
		if after := world.leadershipCount(); after != before || world.Leader() != leader {
			world.reportViolation("core %d led, then followed leaderships %v", leader+1, world.Leaderships[before:])
		}
		world.reportFailures(test)
	})
}

// sumCounter returns the sum of a counter over the running cores.
func (world *World) sumCounter(name string) uint64 {
	sum := uint64(0)
	for _, machine := range world.Cores {
		if machine.running(world) == nil {
			continue
		}
		response, err := rpc.Call(machine.client, machine.InternalAddress, message.MethodStatus, time.Second, &message.StatusRequest{})
		if err != nil {
			world.reportViolation("cannot read the status of core %d: %v", machine.ID, err)
			continue
		}
		sum += response.Counts[name]
	}
	return sum
}

// Cores that restart together become candidates one after the other: within 2 s there is one
// leadership with at most one fence.
func TestElectionAfterFullRestartIsStaggered(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			world := NewRegionalWorld(seed, cores)
			world.startRegional(test, 0)
			longest := time.Duration(0)
			for round := range 25 {
				world.waitStable(test)
				before := world.leadershipCount()
				world.killAll(round%2 == 0, false)
				world.Sleep(500 * time.Millisecond)
				begin := time.Now()
				for index := range world.Cores {
					if round%5 != 4 || index != int(seed)%cores {
						world.StartCore(index)
					}
					world.Sleep(time.Duration(round%3) * time.Duration(world.random.IntN(60)) * time.Millisecond)
				}
				world.Sleep(time.Until(begin.Add(2 * time.Second)))
				switch after := world.leadershipCount(); after - before {
				case 0:
					world.reportViolation("%d cores, round %d: no leader after 2 s", cores, round)
				case 1:
					longest = max(longest, world.Leaderships[before].At.Sub(begin))
				default:
					world.reportViolation(
						"%d cores, round %d: more than one leadership within 2 s: %v",
						cores,
						round,
						world.Leaderships[before:],
					)
				}
				if fences := world.sumCounter("standing_revoking"); fences > 1 {
					world.reportViolation("%d cores, round %d: %d fences, want at most 1", cores, round, fences)
				}
				world.startAll()
			}
			test.Logf("%d cores: the slowest leadership began after %v", cores, longest)
			world.reportFailures(test)
			world.CloseRegional()
		}
	})
}

// A core that restarts isolated distributes the routing that it knows as committed and does
// not lead; members that reach the other cores move on to the newer routing. Once healed it
// follows without a leader change.
func TestCoreRestartsIsolated(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.startRegional(test, 2)
		isolated, connected, isolatedMember := int(seed)%3, world.AddMember(0), world.AddMember(1)
		world.Sleep(time.Second)
		world.KillCore(isolated, true)
		world.isolateCore(isolated, true)
		if err := world.PutRouting(2, 1); err != nil {
			test.Fatal(err)
		}
		for index, machine := range world.Cores {
			world.Net.Cut(machine.Host, isolatedMember.Host, index != isolated)
		}
		world.StartCore(isolated)
		world.Sleep(time.Duration(seed%3) * 100 * time.Millisecond)
		world.StartMember(connected)
		world.StartMember(isolatedMember)
		world.Sleep(1500 * time.Millisecond)
		if connected.servingVersion() != 2 || isolatedMember.servingVersion() != 1 {
			world.reportViolation(
				"member with all cores serves %d, want 2; member with only the isolated core %d, want 1",
				connected.servingVersion(),
				isolatedMember.servingVersion(),
			)
		}
		if world.Cores[isolated].Core.Leads() {
			world.reportViolation("an isolated core leads")
		}
		before, leader := world.leadershipCount(), world.Leader()
		world.isolateCore(isolated, false)
		for _, machine := range world.Cores {
			world.Net.Cut(machine.Host, isolatedMember.Host, false)
		}
		if took, done := world.waitServing(2, true, 4*time.Second); !done {
			world.reportViolation("after healing: not caught up after %v", took)
		}
		world.Sleep(2 * time.Second)
		if after := world.leadershipCount(); after != before || world.Leader() != leader {
			world.reportViolation("after healing, the isolated core caused leaderships %v", world.Leaderships[before:])
		}
		world.reportFailures(test)
	})
}

// checkTables checks that a leader's table has the same content at all members that hold the
// same version of it.
func (world *World) checkTables(contents map[message.TableVersion]string) {
	for _, member := range world.Members {
		table := member.Daemon.Version().Table
		content := fmt.Sprint(table.Members, table.Backends)
		if known, found := contents[table.Version]; found && known != content && table.Version.Term.Number > 0 {
			world.reportViolation("table %v differs at %s:\n%s\n%s", table.Version, member.Name, known, content)
		}
		contents[table.Version] = content
	}
}

// Members start while the cores restart without a leader, and get a different provisional
// table from each core. Tables of the same leader version must be equal nonetheless.
func TestProvisionalTablesAreNoBaseForChanges(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for range 3 {
			world := NewRegionalWorld(seed, 3)
			backends := []message.Backend{}
			world.ListBackends = func(discovery.PageRequest) discovery.Page { return discovery.Page{Backends: backends} }
			for index := range 3 {
				backends = append(
					backends,
					message.Backend{Name: fmt.Sprint("b", index), Service: "desk", Address: "10.9.9.9:80", Capacity: 4},
				)
			}
			world.startRegional(test, 6)
			world.Sleep(time.Second)
			world.killAll(true, true)
			world.isolateCores(true)
			for index, machine := range world.Cores {
				for _, member := range world.Members {
					world.Net.Cut(machine.Host, member.Host, member.Region != index)
				}
			}
			world.startAll()
			world.Sleep(time.Duration(4500+seed%5*300) * time.Millisecond)
			world.isolateCores(false)
			for _, machine := range world.Cores {
				for _, member := range world.Members {
					world.Net.Cut(machine.Host, member.Host, false)
				}
			}
			contents := map[message.TableVersion]string{}
			for until := time.Now().Add(6 * time.Second); time.Now().Before(until); world.Sleep(20 * time.Millisecond) {
				world.checkTables(contents)
			}
			for _, member := range world.Members {
				if table := member.Daemon.Version().Table; table.Version.Term.Number == 0 || len(table.Members) != 6 {
					world.reportViolation("%s holds table %+v, want a leader's with 6 members", member.Name, table)
				}
			}
			world.reportFailures(test)
			world.CloseRegional()
		}
	})
}

// All cores restart while members run. A provisional table replaces no leader's table, and the
// next leader's table keeps a member that is unreachable at that time.
func TestProvisionalTableReplacesNoLeadersTable(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.ListBackends = func(discovery.PageRequest) discovery.Page {
			return discovery.Page{Backends: []message.Backend{{Name: "b", Service: "desk", Address: "10.9.9.9:80", Capacity: 4}}}
		}
		world.startRegional(test, 5)
		world.Sleep(3 * time.Second)
		unreachable, versions := world.Members[int(seed)%5], map[string]message.TableVersion{}
		for round := range 4 {
			world.waitStable(test)
			world.Sleep(3 * time.Second)
			cut := func(shut bool) {
				for _, machine := range world.Cores {
					world.Net.Cut(machine.Host, unreachable.Host, shut)
				}
			}
			cut(true)
			world.killAll(round%2 == 0, false)
			world.Sleep(200 * time.Millisecond)
			world.startAll()
			late := world.AddMember(round % 3)
			world.StartMember(late)
			begin := time.Now()
			for time.Since(begin) < 1400*time.Millisecond {
				for _, member := range world.Members {
					table := member.Daemon.Version().Table
					if table.Version.Less(versions[member.Name]) {
						world.reportViolation(
							"round %d: %s went back from table %v to %v",
							round,
							member.Name,
							versions[member.Name],
							table.Version,
						)
					}
					versions[member.Name] = table.Version
					if member != late && table.Version.Term.Number == 0 {
						world.reportViolation("round %d: %s accepted a table without a leader", round, member.Name)
					}
					listed := false
					for _, known := range table.Members {
						listed = listed || known.Name == unreachable.Name
					}
					if !listed && table.Version.Term.Number > 0 {
						test.Fatalf(
							"round %d: %s lost %s from its table %v after %v",
							round,
							member.Name,
							unreachable.Name,
							table.Version,
							time.Since(begin),
						)
					}
				}
				world.Sleep(10 * time.Millisecond)
			}
			cut(false)
			if !late.Daemon.Version().Table.Complete {
				world.reportViolation("round %d: the new member has no table", round)
			}
		}
		world.reportFailures(test)
	})
}

// A deposed leader that does not know of its successor must not refuse an order whose base it
// has not seen: that base may be in force already.
func TestDeposedLeaderRefusesNoNewerBase(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		refused := 0
		for range 4 {
			world := NewRegionalWorld(seed, 3)
			world.Net.SetLag(func(string, string) time.Duration { return 0 })
			world.startRegional(test, 0)
			leader := world.waitStableNotFirst(test)
			world.Sleep(time.Second)
			world.isolateCore(leader, true)
			for index := range world.Cores {
				if index != leader {
					world.KillCore(index, true)
					world.StartCore(index)
				}
			}
			other := (leader + 1) % 3
			if !world.Until(2*time.Second, func() bool {
				for index, machine := range world.Cores {
					if core := machine.running(world); index != leader && core.Leads() {
						other = index
						return true
					}
				}
				return false
			}) {
				test.Fatal("no second leader")
			}
			orderAt := func(index int, version, base uint64) error {
				_, err := rpc.Call(
					world.Cores[other].client,
					world.Cores[index].InternalAddress,
					message.MethodRoutingChange,
					500*time.Millisecond,
					NewRoutingChange(version, base),
				)
				return err
			}
			if err := orderAt(other, 2, 1); err != nil {
				test.Fatal(err)
			}
			client := rpc.NewClient(world.Net.Transport("10.8.0.1"))
			if read, err := rpc.Call(
				client,
				world.Cores[leader].InternalAddress,
				message.MethodRoutingRead,
				time.Second,
				&message.RoutingReadRequest{},
			); err == nil {
				world.reportViolation("the deposed leader answered a read with serial %d", read.Serial)
			}
			_, err := rpc.Call(
				client,
				world.Cores[leader].InternalAddress,
				message.MethodRoutingChange,
				time.Second,
				NewRoutingChange(3, 2),
			)
			if kind := rpc.CodeOf(err); kind == rpc.StaleBase {
				world.reportViolation("the deposed leader refused the order: %v", err)
			} else if kind != rpc.NotLeader && kind != rpc.NoLeader {
				world.reportViolation("the deposed leader answered %v, want not_leader or no_leader", err)
			} else {
				refused++
			}
			client.Close()
			world.reportFailures(test)
			world.CloseRegional()
		}
		test.Log(fmt.Sprint(refused, " orders redirected"))
	})
}
