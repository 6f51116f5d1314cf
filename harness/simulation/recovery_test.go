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
	for _, one := range world.Members {
		if members {
			world.KillMember(one)
		}
	}
}

func (world *World) startAll() {
	for _, machine := range world.machines() {
		world.start(machine)
	}
	for _, one := range world.Members {
		if !one.Alive {
			world.StartMember(one)
		}
	}
}

// coresApart isolates the cores from each other, or joins them again.
func (world *World) coresApart(cut bool) {
	for index := range world.Cores {
		world.isolate(index, cut)
	}
}

// servingVersion returns the routing version that a member serves with, 0 if it cannot serve.
func (one *FarDaemon) serves() uint64 {
	version := one.Daemon.Version()
	if version.Routing == nil || !version.Table.Complete {
		return 0
	}
	return version.Routing.Config.Version
}

// waitServing waits until one member, or all of them, serve with at least a version, and
// returns how long that took.
func (world *World) serving(version uint64, all bool, limit time.Duration) (time.Duration, bool) {
	begin := time.Now()
	done := world.Until(limit, func() bool {
		count := 0
		for _, one := range world.Members {
			if one.Alive && one.serves() >= version {
				count++
			}
		}
		return count == len(world.Members) || !all && count > 0
	})
	return time.Since(begin), done
}

// sound reports whether all cores run and vote.
func (world *World) sound() bool {
	for _, machine := range world.machines() {
		if core := machine.life(world); core == nil || !core.CanVote() {
			return false
		}
	}
	return true
}

// leads returns the number of leaderships so far.
func (world *World) leads() int {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return len(world.Leads)
}

// waitStable waits until there is a leader and all cores vote, and returns the leader's index.
func (world *World) calm(test *testing.T) int {
	test.Helper()
	if !world.Until(20*time.Second, func() bool { return world.Leader() >= 0 && world.sound() }) {
		test.Fatal("no leader, or a core does not vote, after 20 s")
	}
	return world.Leader()
}

// waitStableNotFirst is waitStable with a leader other than core 0, which is the first to
// become a candidate.
func (world *World) calmNotFirst(test *testing.T) int {
	test.Helper()
	for world.calm(test) == 0 {
		world.TermCore(0)
		world.StartCore(0)
	}
	return world.Leader()
}

// All processes end just after a routing was acknowledged: killed, by power loss, or with the
// loss of as many disks as tolerated. Members serve with it soon after the restart.
func TestServedSoonAfterAllEnded(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			world := NewFarWorld(seed, cores)
			world.farUp(test, 4)
			version := uint64(1)
			for round, kind := range []string{"killed", "power", "wiped", "leader stays down", "leader wiped, minority was cut off", "killed"} {
				leader := world.calm(test)
				cut := []int{}
				for offset := 1; offset <= cores/2 && kind == "leader wiped, minority was cut off"; offset++ {
					cut = append(cut, (leader+offset)%cores)
					world.isolate((leader+offset)%cores, true)
				}
				if err := world.Put(version+1, version); err != nil {
					test.Fatal(err)
				}
				version++
				world.killAll(kind != "killed", true)
				first, whole := 400*time.Millisecond, 600*time.Millisecond
				switch kind {
				case "wiped":
					first, whole = 400*time.Millisecond, 1800*time.Millisecond
					for lost := range cores / 2 {
						world.WipeCore((int(seed) + round + lost) % cores)
					}
				case "leader stays down":
					whole = 2500 * time.Millisecond
				case "leader wiped, minority was cut off":
					first, whole = 2500*time.Millisecond, 2500*time.Millisecond
					world.WipeCore(leader)
				}
				world.Rest(time.Duration(seed*37%8) * 50 * time.Millisecond)
				for _, index := range cut {
					world.isolate(index, false)
				}
				world.startAll()
				if kind == "leader stays down" {
					world.KillCore(leader, false)
				}
				begin := time.Now()
				took, done := world.serving(version, false, 10*time.Second)
				if !done || took > first {
					world.broke("%d cores, %s: first member served after %v, want at most %v", cores, kind, took, first)
				}
				_, done = world.serving(version, true, 10*time.Second)
				if all := time.Since(begin); !done || all > whole {
					world.broke("%d cores, %s: all members served after %v, want at most %v", cores, kind, all, whole)
				} else {
					test.Logf("%d cores, %s: first member served after %v, all after %v", cores, kind, took, all)
				}
				world.startAll()
				world.calm(test)
				if state, err := world.Book(); err != nil || state.Config.Version != version {
					world.broke("%d cores, %s: state after the restart %+v, error %v", cores, kind, state, err)
				}
			}
			world.report(test)
			world.CloseFar()
		}
	})
}

// writeAccepted writes an accepted but uncommitted routing to a stopped core's disk.
func (world *World) accepted(test *testing.T, index int, version uint64) {
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
	body, _ := rpc.Marshal(NewState(version))
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
func TestUndecidedIsNotHandedOut(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			for _, apart := range []bool{true, false} {
				world := NewFarWorld(seed, cores)
				world.farUp(test, 3)
				world.Rest(time.Second)
				world.killAll(true, true)
				holders := map[int]bool{}
				for offset := range cores / 2 {
					holders[(int(seed)+offset)%cores] = true
					world.accepted(test, (int(seed)+offset)%cores, 2)
				}
				if apart {
					world.coresApart(true)
				}
				for index := range world.Cores {
					if apart || holders[index] {
						world.StartCore(index)
					}
				}
				for _, one := range world.Members {
					world.StartMember(one)
				}
				for until := time.Now().Add(5 * time.Second); time.Now().Before(until); world.Rest(20 * time.Millisecond) {
					for _, one := range world.Members {
						if version := one.Daemon.Version(); version.Routing != nil && version.Routing.Config.Version > 1 {
							test.Fatalf("%d cores, isolated %v: %s holds an uncommitted routing", cores, apart, one.Name)
						}
					}
				}
				for _, one := range world.Members {
					if apart && one.serves() != 1 {
						world.broke("%d cores: %s does not serve with the committed routing", cores, one.Name)
					}
				}
				world.coresApart(false)
				world.startAll()
				world.calm(test)
				state, err := world.Book()
				if err != nil {
					test.Fatal(err)
				}
				if took, done := world.serving(state.Config.Version, true, 5*time.Second); !done {
					world.broke("%d cores: routing %d not in force at all members after %v", cores, state.Config.Version, took)
				}
				for _, one := range world.Members {
					if one.serves() != state.Config.Version {
						world.broke("routing %d committed, %s serves with %d", state.Config.Version, one.Name, one.serves())
					}
				}
				world.report(test)
				world.CloseFar()
			}
		}
	})
}

// The restart of a single follower does not change the leader.
func TestRestartAloneDisturbsNobody(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3+2*int(seed%2))
		defer world.CloseFar()
		world.farUp(test, 2)
		leader := world.calmNotFirst(test)
		before := world.leads()
		for index := range world.Cores {
			for round := range 3 {
				if index == leader {
					continue
				}
				world.KillCore(index, round%2 == 0)
				world.Rest(time.Duration(round) * 400 * time.Millisecond)
				world.StartCore(index)
				world.Rest(2 * time.Second)
				if err := world.Evacuate("z", round%2 == 0); err != nil {
					world.broke("%v", err)
				}
			}
		}
		if after := world.leads(); after != before || world.Leader() != leader {
			world.broke("core %d led, then followed leaderships %v", leader+1, world.Leads[before:])
		}
		world.report(test)
	})
}

// sumCounter returns the sum of a counter over the running cores.
func (world *World) counted(name string) uint64 {
	sum := uint64(0)
	for _, machine := range world.Cores {
		if machine.life(world) == nil {
			continue
		}
		response, err := rpc.Call(machine.client, machine.InternalAddress, message.MethodStatus, time.Second, &message.StatusRequest{})
		if err != nil {
			world.broke("cannot read the status of core %d: %v", machine.ID, err)
			continue
		}
		sum += response.Counts[name]
	}
	return sum
}

// Cores that restart together become candidates one after the other: within 2 s there is one
// leadership with at most one fence.
func TestCoresStandInTurn(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			world := NewFarWorld(seed, cores)
			world.farUp(test, 0)
			longest := time.Duration(0)
			for round := range 25 {
				world.calm(test)
				before := world.leads()
				world.killAll(round%2 == 0, false)
				world.Rest(500 * time.Millisecond)
				begin := time.Now()
				for index := range world.Cores {
					if round%5 != 4 || index != int(seed)%cores {
						world.StartCore(index)
					}
					world.Rest(time.Duration(round%3) * time.Duration(world.random.IntN(60)) * time.Millisecond)
				}
				world.Rest(time.Until(begin.Add(2 * time.Second)))
				switch after := world.leads(); after - before {
				case 0:
					world.broke("%d cores, round %d: no leader after 2 s", cores, round)
				case 1:
					longest = max(longest, world.Leads[before].At.Sub(begin))
				default:
					world.broke("%d cores, round %d: more than one leadership within 2 s: %v", cores, round, world.Leads[before:])
				}
				if fences := world.counted("standing_revoking"); fences > 1 {
					world.broke("%d cores, round %d: %d fences, want at most 1", cores, round, fences)
				}
				world.startAll()
			}
			test.Logf("%d cores: the slowest leadership began after %v", cores, longest)
			world.report(test)
			world.CloseFar()
		}
	})
}

// A core that restarts isolated distributes the routing that it knows as committed and does
// not lead; members that reach the other cores move on to the newer routing. Once healed it
// follows without a leader change.
func TestRestartedCutOff(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3)
		defer world.CloseFar()
		world.farUp(test, 2)
		lone, fresh, near := int(seed)%3, world.AddMember(0), world.AddMember(1)
		world.Rest(time.Second)
		world.KillCore(lone, true)
		world.isolate(lone, true)
		if err := world.Put(2, 1); err != nil {
			test.Fatal(err)
		}
		for index, machine := range world.Cores {
			world.Net.Cut(machine.Host, near.Host, index != lone)
		}
		world.StartCore(lone)
		world.Rest(time.Duration(seed%3) * 100 * time.Millisecond)
		world.StartMember(fresh)
		world.StartMember(near)
		world.Rest(1500 * time.Millisecond)
		if fresh.serves() != 2 || near.serves() != 1 {
			world.broke("member with all cores serves %d, want 2; member with only the isolated core %d, want 1", fresh.serves(), near.serves())
		}
		if world.Cores[lone].Core.Leads() {
			world.broke("an isolated core leads")
		}
		before, leader := world.leads(), world.Leader()
		world.isolate(lone, false)
		for _, machine := range world.Cores {
			world.Net.Cut(machine.Host, near.Host, false)
		}
		if took, done := world.serving(2, true, 4*time.Second); !done {
			world.broke("after healing: not caught up after %v", took)
		}
		world.Rest(2 * time.Second)
		if after := world.leads(); after != before || world.Leader() != leader {
			world.broke("after healing, the isolated core caused leaderships %v", world.Leads[before:])
		}
		world.report(test)
	})
}

// checkTables checks that a leader's table has the same content at all members that hold the
// same version of it.
func (world *World) sameTables(contents map[message.TableVersion]string) {
	for _, one := range world.Members {
		table := one.Daemon.Version().Table
		content := fmt.Sprint(table.Members, table.Backends)
		if known, found := contents[table.Version]; found && known != content && table.Version.Term.Number > 0 {
			world.broke("table %v differs at %s:\n%s\n%s", table.Version, one.Name, known, content)
		}
		contents[table.Version] = content
	}
}

// Members start while the cores restart without a leader, and get a different provisional
// table from each core. Tables of the same leader version must be equal nonetheless.
func TestTablesOfNoLeaderAreNoGroundForChanges(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for range 3 {
			world := NewFarWorld(seed, 3)
			backends := []message.Backend{}
			world.Listed = func(discovery.PageRequest) discovery.Page { return discovery.Page{Backends: backends} }
			for index := range 3 {
				backends = append(
					backends,
					message.Backend{Name: fmt.Sprint("b", index), Service: "desk", Address: "10.9.9.9:80", Capacity: 4},
				)
			}
			world.farUp(test, 6)
			world.Rest(time.Second)
			world.killAll(true, true)
			world.coresApart(true)
			for index, machine := range world.Cores {
				for _, one := range world.Members {
					world.Net.Cut(machine.Host, one.Host, one.Region != index)
				}
			}
			world.startAll()
			world.Rest(time.Duration(4500+seed%5*300) * time.Millisecond)
			world.coresApart(false)
			for _, machine := range world.Cores {
				for _, one := range world.Members {
					world.Net.Cut(machine.Host, one.Host, false)
				}
			}
			contents := map[message.TableVersion]string{}
			for until := time.Now().Add(6 * time.Second); time.Now().Before(until); world.Rest(20 * time.Millisecond) {
				world.sameTables(contents)
			}
			for _, one := range world.Members {
				if table := one.Daemon.Version().Table; table.Version.Term.Number == 0 || len(table.Members) != 6 {
					world.broke("%s holds table %+v, want a leader's with 6 members", one.Name, table)
				}
			}
			world.report(test)
			world.CloseFar()
		}
	})
}

// All cores restart while members run. A provisional table replaces no leader's table, and the
// next leader's table keeps a member that is unreachable at that time.
func TestTableBeforeALeaderIsTheOldest(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, 3)
		defer world.CloseFar()
		world.Listed = func(discovery.PageRequest) discovery.Page {
			return discovery.Page{Backends: []message.Backend{{Name: "b", Service: "desk", Address: "10.9.9.9:80", Capacity: 4}}}
		}
		world.farUp(test, 5)
		world.Rest(3 * time.Second)
		mute, marks := world.Members[int(seed)%5], map[string]message.TableVersion{}
		for round := range 4 {
			world.calm(test)
			world.Rest(3 * time.Second)
			cut := func(shut bool) {
				for _, machine := range world.Cores {
					world.Net.Cut(machine.Host, mute.Host, shut)
				}
			}
			cut(true)
			world.killAll(round%2 == 0, false)
			world.Rest(200 * time.Millisecond)
			world.startAll()
			late := world.AddMember(round % 3)
			world.StartMember(late)
			begin := time.Now()
			for time.Since(begin) < 1400*time.Millisecond {
				for _, one := range world.Members {
					table := one.Daemon.Version().Table
					if table.Version.Less(marks[one.Name]) {
						world.broke("round %d: %s went back from table %v to %v", round, one.Name, marks[one.Name], table.Version)
					}
					marks[one.Name] = table.Version
					if one != late && table.Version.Term.Number == 0 {
						world.broke("round %d: %s accepted a table without a leader", round, one.Name)
					}
					listed := false
					for _, known := range table.Members {
						listed = listed || known.Name == mute.Name
					}
					if !listed && table.Version.Term.Number > 0 {
						test.Fatalf(
							"round %d: %s lost %s from its table %v after %v",
							round,
							one.Name,
							mute.Name,
							table.Version,
							time.Since(begin),
						)
					}
				}
				world.Rest(10 * time.Millisecond)
			}
			cut(false)
			if !late.Daemon.Version().Table.Complete {
				world.broke("round %d: the new member has no table", round)
			}
		}
		world.report(test)
	})
}

// A deposed leader that does not know of its successor must not refuse an order whose base it
// has not seen: that base may be in force already.
func TestReplacedLeaderRefusesNoNewerBase(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		refused := 0
		for range 4 {
			world := NewFarWorld(seed, 3)
			world.Net.Lag(func(string, string) time.Duration { return 0 })
			world.farUp(test, 0)
			leader := world.calmNotFirst(test)
			world.Rest(time.Second)
			world.isolate(leader, true)
			for index := range world.Cores {
				if index != leader {
					world.KillCore(index, true)
					world.StartCore(index)
				}
			}
			other := (leader + 1) % 3
			if !world.Until(2*time.Second, func() bool {
				for index, machine := range world.Cores {
					if core := machine.life(world); index != leader && core.Leads() {
						other = index
						return true
					}
				}
				return false
			}) {
				test.Fatal("no second leader")
			}
			ask := func(index int, version, base uint64) error {
				_, err := rpc.Call(
					world.Cores[other].client,
					world.Cores[index].InternalAddress,
					message.MethodRoutingChange,
					500*time.Millisecond,
					WholeChange(version, base),
				)
				return err
			}
			if err := ask(other, 2, 1); err != nil {
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
				world.broke("the deposed leader answered a read with serial %d", read.Serial)
			}
			_, err := rpc.Call(client, world.Cores[leader].InternalAddress, message.MethodRoutingChange, time.Second, WholeChange(3, 2))
			if kind := rpc.CodeOf(err); kind == rpc.StaleBase {
				world.broke("the deposed leader refused the order: %v", err)
			} else if kind != rpc.NotLeader && kind != rpc.NoLeader {
				world.broke("the deposed leader answered %v, want not_leader or no_leader", err)
			} else {
				refused++
			}
			client.Close()
			world.report(test)
			world.CloseFar()
		}
		test.Log(fmt.Sprint(refused, " orders redirected"))
	})
}
