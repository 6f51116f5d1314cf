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

// killAll ends every core, and every member too where wanted.
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
		world.startMachine(machine)
	}
	for _, one := range world.Members {
		if !one.Alive {
			world.StartMember(one)
		}
	}
}

// coresApart cuts all cores from each other.
func (world *World) coresApart(cut bool) {
	for index := range world.Cores {
		world.isolateCore(index, cut)
	}
}

// serves is the version that a member serves by, 0 while it can't.
func (one *RegionalDaemon) serves() uint64 {
	version := one.Daemon.Version()
	if version.Routing == nil || !version.Table.Complete {
		return 0
	}
	return version.Routing.Config.Version
}

// serving is how long after now the first member, or every one, serves a version.
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

func (world *World) sound() bool {
	for _, machine := range world.machines() {
		if core := machine.running(world); core == nil || !core.CanVote() {
			return false
		}
	}
	return true
}

func (world *World) leads() int {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return len(world.Leaderships)
}

// calm waits until one leads and all vote.
func (world *World) calm(test *testing.T) int {
	test.Helper()
	if !world.Until(20*time.Second, func() bool { return world.Leader() >= 0 && world.sound() }) {
		test.Fatal("not calm")
	}
	return world.Leader()
}

// calmNotFirst is calm under a leader that is not the one that stands first.
func (world *World) calmNotFirst(test *testing.T) int {
	test.Helper()
	for world.calm(test) == 0 {
		world.TerminateCore(0)
		world.StartCore(0)
	}
	return world.Leader()
}

// All end just after a routing was acknowledged: by a kill, by the loss of power,
// or with as many disks as may be lost. Members serve it soon after the start.
func TestServedSoonAfterAllEnded(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			world := NewRegionalWorld(seed, cores)
			world.farUp(test, 4)
			version := uint64(1)
			for round, kind := range []string{"killed", "power", "wiped", "leader stays away", "leader wiped, others were cut", "killed"} {
				leader := world.calm(test)
				cut := []int{}
				for offset := 1; offset <= cores/2 && kind == "leader wiped, others were cut"; offset++ {
					cut = append(cut, (leader+offset)%cores)
					world.isolateCore((leader+offset)%cores, true)
				}
				if err := world.PutRouting(version+1, version); err != nil {
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
				case "leader stays away":
					whole = 2500 * time.Millisecond
				case "leader wiped, others were cut":
					first, whole = 2500*time.Millisecond, 2500*time.Millisecond
					world.WipeCore(leader)
				}
				world.Sleep(time.Duration(seed*37%8) * 50 * time.Millisecond)
				for _, index := range cut {
					world.isolateCore(index, false)
				}
				world.startAll()
				if kind == "leader stays away" {
					world.KillCore(leader, false)
				}
				begin := time.Now()
				took, done := world.serving(version, false, 10*time.Second)
				if !done || took > first {
					world.reportViolation("%d cores, %s: served after %v, want %v", cores, kind, took, first)
				}
				_, done = world.serving(version, true, 10*time.Second)
				if all := time.Since(begin); !done || all > whole {
					world.reportViolation("%d cores, %s: served everywhere after %v, want %v", cores, kind, all, whole)
				} else {
					test.Logf("%d cores, %s: served after %v, everywhere after %v", cores, kind, took, all)
				}
				world.startAll()
				world.calm(test)
				if state, err := world.ReadRouting(); err != nil || state.Config.Version != version {
					world.reportViolation("%d cores, %s: read back %+v %v", cores, kind, state, err)
				}
			}
			world.report(test)
			world.CloseRegional()
		}
	})
}

// accepted lays an uncommitted routing on a stopped core's disk.
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

// A routing that less than a majority accepted is told to nobody before a leader
// decides on it, and after that all hold the same.
func TestUndecidedIsNotHandedOut(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			for _, apart := range []bool{true, false} {
				world := NewRegionalWorld(seed, cores)
				world.farUp(test, 3)
				world.Sleep(time.Second)
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
				for until := time.Now().Add(5 * time.Second); time.Now().Before(until); world.Sleep(20 * time.Millisecond) {
					for _, one := range world.Members {
						if version := one.Daemon.Version(); version.Routing != nil && version.Routing.Config.Version > 1 {
							test.Fatalf("%d cores, apart %v: %s holds an undecided routing", cores, apart, one.Name)
						}
					}
				}
				for _, one := range world.Members {
					if apart && one.serves() != 1 {
						world.reportViolation("%d cores: %s does not serve what was known committed", cores, one.Name)
					}
				}
				world.coresApart(false)
				world.startAll()
				world.calm(test)
				state, err := world.ReadRouting()
				if err != nil {
					test.Fatal(err)
				}
				if took, done := world.serving(state.Config.Version, true, 5*time.Second); !done {
					world.reportViolation("%d cores: %d not everywhere after %v", cores, state.Config.Version, took)
				}
				for _, one := range world.Members {
					if one.serves() != state.Config.Version {
						world.reportViolation("%d decided, %s holds %d", state.Config.Version, one.Name, one.serves())
					}
				}
				world.report(test)
				world.CloseRegional()
			}
		}
	})
}

// A core that restarts alone leaves the leader where it is.
func TestRestartAloneDisturbsNobody(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3+2*int(seed%2))
		defer world.CloseRegional()
		world.farUp(test, 2)
		leader := world.calmNotFirst(test)
		before := world.leads()
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
		if after := world.leads(); after != before || world.Leader() != leader {
			world.reportViolation("core %d led, then %v", leader+1, world.Leaderships[before:])
		}
		world.report(test)
	})
}

// counted is a counter's sum over the living cores.
func (world *World) counted(name string) uint64 {
	sum := uint64(0)
	for _, machine := range world.Cores {
		if machine.running(world) == nil {
			continue
		}
		response, err := rpc.Call(machine.client, machine.InternalAddress, message.MethodStatus, time.Second, &message.StatusRequest{})
		if err != nil {
			world.reportViolation("no status of core %d: %v", machine.ID, err)
			continue
		}
		sum += response.Counts[name]
	}
	return sum
}

// Cores that start again together stand in turn: one fence, one leadership, and soon.
func TestCoresStandInTurn(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			world := NewRegionalWorld(seed, cores)
			world.farUp(test, 0)
			longest := time.Duration(0)
			for round := range 25 {
				world.calm(test)
				before := world.leads()
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
				switch after := world.leads(); after - before {
				case 0:
					world.reportViolation("%d cores, round %d: nobody leads after 2 s", cores, round)
				case 1:
					longest = max(longest, world.Leaderships[before].At.Sub(begin))
				default:
					world.reportViolation("%d cores, round %d: %v within 2 s", cores, round, world.Leaderships[before:])
				}
				if fences := world.counted("standing_revoking"); fences > 1 {
					world.reportViolation("%d cores, round %d: %d fences", cores, round, fences)
				}
				world.startAll()
			}
			test.Logf("%d cores: the latest leader stood after %v", cores, longest)
			world.report(test)
			world.CloseRegional()
		}
	})
}

// A core that restarts cut off from the others tells what it knew committed and
// leads nothing; members in touch with the others go on to what is newer, and
// back in touch it follows without disturbing.
func TestRestartedCutOff(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.farUp(test, 2)
		lone, fresh, near := int(seed)%3, world.AddMember(0), world.AddMember(1)
		world.Sleep(time.Second)
		world.KillCore(lone, true)
		world.isolateCore(lone, true)
		if err := world.PutRouting(2, 1); err != nil {
			test.Fatal(err)
		}
		for index, machine := range world.Cores {
			world.Net.Cut(machine.Host, near.Host, index != lone)
		}
		world.StartCore(lone)
		world.Sleep(time.Duration(seed%3) * 100 * time.Millisecond)
		world.StartMember(fresh)
		world.StartMember(near)
		world.Sleep(1500 * time.Millisecond)
		if fresh.serves() != 2 || near.serves() != 1 {
			world.reportViolation("in touch with all: serves %d, with the lone core: %d", fresh.serves(), near.serves())
		}
		if world.Cores[lone].Core.Leads() {
			world.reportViolation("a core that is cut off leads")
		}
		before, leader := world.leads(), world.Leader()
		world.isolateCore(lone, false)
		for _, machine := range world.Cores {
			world.Net.Cut(machine.Host, near.Host, false)
		}
		if took, done := world.serving(2, true, 4*time.Second); !done {
			world.reportViolation("back in touch: not caught up after %v", took)
		}
		world.Sleep(2 * time.Second)
		if after := world.leads(); after != before || world.Leader() != leader {
			world.reportViolation("back in touch the lone core made %v", world.Leaderships[before:])
		}
		world.report(test)
	})
}

// sameTables judges that all who hold a leader's table hold the same under one mark.
func (world *World) sameTables(contents map[message.TableVersion]string) {
	for _, one := range world.Members {
		table := one.Daemon.Version().Table
		content := fmt.Sprint(table.Members, table.Backends)
		if known, found := contents[table.Version]; found && known != content && table.Version.Term.Number > 0 {
			world.reportViolation("table %v is not the same at %s:\n%s\n%s", table.Version, one.Name, known, content)
		}
		contents[table.Version] = content
	}
}

// Members start under cores that restart too and hold tables of no leader, each
// core's another; under a leader's mark all hold the same nonetheless.
func TestTablesOfNoLeaderAreNoGroundForChanges(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
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
			world.farUp(test, 6)
			world.Sleep(time.Second)
			world.killAll(true, true)
			world.coresApart(true)
			for index, machine := range world.Cores {
				for _, one := range world.Members {
					world.Net.Cut(machine.Host, one.Host, one.Region != index)
				}
			}
			world.startAll()
			world.Sleep(time.Duration(4500+seed%5*300) * time.Millisecond)
			world.coresApart(false)
			for _, machine := range world.Cores {
				for _, one := range world.Members {
					world.Net.Cut(machine.Host, one.Host, false)
				}
			}
			contents := map[message.TableVersion]string{}
			for until := time.Now().Add(6 * time.Second); time.Now().Before(until); world.Sleep(20 * time.Millisecond) {
				world.sameTables(contents)
			}
			for _, one := range world.Members {
				if table := one.Daemon.Version().Table; table.Version.Term.Number == 0 || len(table.Members) != 6 {
					world.reportViolation("%s holds %+v", one.Name, table)
				}
			}
			world.report(test)
			world.CloseRegional()
		}
	})
}

// All cores restart under living members. A table from before a leader replaces
// no leader's, and the next leader's keeps a member that can't speak just then.
func TestTableBeforeALeaderIsTheOldest(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.ListBackends = func(discovery.PageRequest) discovery.Page {
			return discovery.Page{Backends: []message.Backend{{Name: "b", Service: "desk", Address: "10.9.9.9:80", Capacity: 4}}}
		}
		world.farUp(test, 5)
		world.Sleep(3 * time.Second)
		mute, marks := world.Members[int(seed)%5], map[string]message.TableVersion{}
		for round := range 4 {
			world.calm(test)
			world.Sleep(3 * time.Second)
			cut := func(shut bool) {
				for _, machine := range world.Cores {
					world.Net.Cut(machine.Host, mute.Host, shut)
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
				for _, one := range world.Members {
					table := one.Daemon.Version().Table
					if table.Version.Less(marks[one.Name]) {
						world.reportViolation("round %d: %s went back from table %v to %v", round, one.Name, marks[one.Name], table.Version)
					}
					marks[one.Name] = table.Version
					if one != late && table.Version.Term.Number == 0 {
						world.reportViolation("round %d: %s took a table of no leader", round, one.Name)
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
				world.Sleep(10 * time.Millisecond)
			}
			cut(false)
			if !late.Daemon.Version().Table.Complete {
				world.reportViolation("round %d: the new member has no table", round)
			}
		}
		world.report(test)
	})
}

// A leader that others have replaced without its knowledge does not refuse an
// order for a base it never heard of: that may be in force already.
func TestReplacedLeaderRefusesNoNewerBase(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		refused := 0
		for range 4 {
			world := NewRegionalWorld(seed, 3)
			world.Net.SetLag(func(string, string) time.Duration { return 0 })
			world.farUp(test, 0)
			leader := world.calmNotFirst(test)
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
			ask := func(index int, version, base uint64) error {
				_, err := rpc.Call(
					world.Cores[other].client,
					world.Cores[index].InternalAddress,
					message.MethodRoutingChange,
					500*time.Millisecond,
					NewRoutingChange(version, base),
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
				world.reportViolation("the replaced leader read serial %d back", read.Serial)
			}
			_, err := rpc.Call(
				client,
				world.Cores[leader].InternalAddress,
				message.MethodRoutingChange,
				time.Second,
				NewRoutingChange(3, 2),
			)
			if kind := rpc.CodeOf(err); kind == rpc.StaleBase {
				world.reportViolation("the replaced leader refused: %v", err)
			} else if kind != rpc.NotLeader && kind != rpc.NoLeader {
				world.reportViolation("the replaced leader answered %v", err)
			} else {
				refused++
			}
			client.Close()
			world.report(test)
			world.CloseRegional()
		}
		test.Log(fmt.Sprint(refused, " sent on"))
	})
}
