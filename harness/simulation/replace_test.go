package simulation

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/replica"
	"orchidjunction/rpc"
)

// A core is gone for good and an empty one comes at another address. The next loss
// may come sync_s after that one's start, and leaves a majority with everything.
func TestReplacedCoreThenSecondLoss(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			for offset := range 2 {
				one := newTrial(test, seed, cores, 4, []string{"the leader is replaced", "a follower is replaced"}[offset])
				lost := one.after(one.leader(), offset)
				one.ReplaceCore(lost, newcomerGap)
				started := time.Now()
				one.order(syncSpan / 2)
				one.restUntil(started.Add(syncSpan))
				second := one.after(lost, 1+int(seed)%(cores-1))
				one.survives("replaced", second)
				one.StartReplacement(second, nil)
				one.Sleep(syncSpan)
				one.settled("replaced again")
				one.end()
			}
		}
	})
}

// The new core starts first, then the old one gets SIGTERM and is no more.
func TestPlannedReplacementThenLoss(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			for offset := range 2 {
				one := newTrial(test, seed, cores, 4, []string{"the leader leaves", "a follower leaves"}[offset])
				former := one.after(one.leader(), offset)
				begin := time.Now()
				one.ReplaceCorePlanned(former, one.span(50*time.Millisecond, 1500*time.Millisecond))
				if took := time.Since(begin); took > 1500*time.Millisecond+retireTimeout {
					one.reportViolation("left after %v", took)
				}
				one.order(syncSpan / 2)
				one.restUntil(begin.Add(syncSpan))
				one.votes("planned", one.machines())
				one.survives("planned", one.after(former, 1+int(seed)%(cores-1)))
				one.end()
			}
		}
	})
}

// A core leaves that alone holds what was acknowledged last: the other one that had
// it lost its disk, the third was cut off.
func TestLeavingCoreHoldsTheOnlyFreshCopy(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, back := range []string{"at once", "while it leaves"} {
			one := newTrial(test, seed, 3, 3, "the wiped one is back "+back)
			leader := one.leader()
			stale, wiped := one.after(leader, 1), one.after(leader, 2)
			one.isolateCore(stale, true)
			one.mustOrder("the third is cut off")
			one.WipeCore(wiped)
			one.isolateCore(stale, false)
			gap := newcomerGap
			if back == "at once" {
				one.StartCore(wiped)
			}
			wait := one.meanwhile(func() { one.ReplaceCorePlanned(leader, gap) })
			one.Sleep(gap + one.span(10*time.Millisecond, 500*time.Millisecond))
			one.StartCore(wiped)
			wait()
			one.settled("it left")
			one.end()
		}
	})
}

// Replacements follow each other until no founding address is left. Members that
// were there all the time follow; those that start later are told other seeds.
func TestNoFoundingAddressIsLeft(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, way := range []string{"lost", "planned", "mixed"} {
			one := newTrial(test, seed, 3, 4, way)
			for round := range 3 {
				index := one.after(int(seed), round)
				started := time.Now()
				if way == "lost" || way == "mixed" && round%2 == 0 {
					one.ReplaceCore(index, newcomerGap)
					started = time.Now()
				} else {
					one.ReplaceCorePlanned(index, newcomerGap)
				}
				one.restUntil(started.Add(syncSpan))
				one.keepsAll(fmt.Sprint("replacement ", round+1))
			}
			one.settled("three replaced")
			one.SetSeeds(internalAddresses(one.machines())...)
			late := one.AddMember(1)
			one.StartMember(late)
			one.keepsAll("a late member")
			one.killAll(true, false)
			one.Sleep(time.Second)
			one.startAll()
			one.settled("all lost power")
			one.end()
		}
	})
}

// A second replacement begins before the first is through.
func TestReplacementDuringAnother(test *testing.T) {
	type overlap struct {
		name  string
		cores int
		both  func(one *trial, first, second int)
	}
	planned := func(one *trial, first, second int) {
		wait := one.meanwhile(func() { one.ReplaceCorePlanned(first, newcomerGap) })
		one.Sleep(one.span(100*time.Millisecond, 1500*time.Millisecond))
		one.ReplaceCorePlanned(second, newcomerGap)
		wait()
	}
	lost := func(one *trial, first, second int) {
		wait := one.meanwhile(func() { one.ReplaceCore(first, newcomerGap) })
		one.Sleep(one.span(10*time.Millisecond, 1500*time.Millisecond))
		one.ReplaceCore(second, newcomerGap)
		wait()
	}
	mixed := func(one *trial, first, second int) {
		wait := one.meanwhile(func() { one.ReplaceCorePlanned(first, newcomerGap) })
		one.Sleep(one.span(10*time.Millisecond, 1500*time.Millisecond))
		one.ReplaceCore(second, newcomerGap)
		wait()
	}
	newcomerLost := func(one *trial, first, _ int) {
		one.ReplaceCore(first, newcomerGap)
		one.Sleep(one.span(10*time.Millisecond, 1500*time.Millisecond))
		one.ReplaceCore(first, newcomerGap)
	}
	each(test, func(test *testing.T, seed uint64) {
		for _, case1 := range []overlap{{"both planned", 3, planned}, {"both planned", 5, planned}, {"both lost", 5, lost}, {"one planned, one lost", 5, mixed}, {"the newcomer is lost", 3, newcomerLost}} {
			one := newTrial(test, seed, case1.cores, 3, case1.name)
			first := one.after(one.leader(), int(seed)%2)
			case1.both(one, first, one.after(first, 1))
			one.Sleep(syncSpan)
			one.settled("both are through")
			one.survives("both are through", one.after(first, 2))
			one.end()
		}
	})
}

// Replacements meet other faults. What these make impossible while they last is not
// wanted; afterwards everything is there, and each machine votes.
func TestReplacementDuringOtherFaults(test *testing.T) {
	type meeting struct {
		name  string
		cores int
		play  func(one *trial, leader int)
	}
	const longCut = 20 * time.Second
	meetings := []meeting{
		{"another is cut off for 20 s", 5, func(one *trial, leader int) {
			cut := one.machine(one.after(leader, 1))
			one.isolateMachine(cut, true)
			one.Sleep(longCut / 4)
			one.ReplaceCore(leader, newcomerGap)
			one.Sleep(syncSpan)
			one.keepsAll("one is cut off, one replaced")
			one.Sleep(longCut / 4)
			one.isolateMachine(cut, false)
		}},
		{"another is cut off for 20 s", 3, func(one *trial, leader int) {
			cut := one.machine(one.after(leader, 1))
			one.isolateMachine(cut, true)
			one.mustOrder("one is cut off")
			one.ReplaceCore(one.after(leader, 2), newcomerGap)
			one.Sleep(longCut)
			one.isolateMachine(cut, false)
		}},
		{"the leaving one is cut off", 3, func(one *trial, leader int) {
			leaving := one.machine(one.after(leader, int(one.Seed)%2))
			one.isolateMachine(leaving, true)
			one.Sleep(one.span(10*time.Millisecond, 2*time.Second))
			one.ReplaceCorePlanned(slices.Index(one.machines(), leaving), newcomerGap)
		}},
		{"one way only is cut", 5, func(one *trial, leader int) {
			mute := one.machine(one.after(leader, 1))
			turn := func(on bool) {
				for _, other := range one.allMachines() {
					if other != mute {
						one.Net.CutOneWay(mute.Host, other.Host, on)
					}
				}
			}
			turn(true)
			one.ReplaceCore(one.after(leader, 2), newcomerGap)
			one.Sleep(syncSpan)
			one.keepsAll("one is mute, one replaced")
			turn(false)
		}},
		{"another has lost its disk", 5, func(one *trial, leader int) {
			one.WipeCore(one.after(leader, 1))
			one.StartCore(one.after(leader, 1))
			one.Sleep(one.span(10*time.Millisecond, time.Second))
			one.ReplaceCore(one.after(leader, int(one.Seed)%2*2), newcomerGap)
		}},
		{"the same has lost its disk", 3, func(one *trial, leader int) {
			one.WipeCore(leader)
			one.StartCore(leader)
			one.Sleep(one.span(10*time.Millisecond, 300*time.Millisecond))
			one.ReplaceCore(leader, newcomerGap)
		}},
		{"another loses its disk in time", 3, func(one *trial, leader int) {
			one.ReplaceCore(leader, newcomerGap)
			one.Sleep(syncSpan)
			one.order(calmLimit)
			one.WipeCore(one.after(leader, 1))
			one.StartCore(one.after(leader, 1))
		}},
		{"all are stopped in turn", 5, rolling},
		{"all are stopped in turn", 3, rolling},
		{"connections are reset", 3, func(one *trial, leader int) {
			wait := one.meanwhile(func() {
				for range 40 {
					machines := one.allMachines()
					left, right := machines[one.random.IntN(len(machines))], machines[one.random.IntN(len(machines))]
					one.Net.Reset(left.Host, right.Host)
					one.Sleep(100 * time.Millisecond)
				}
			})
			one.ReplaceCore(one.after(leader, int(one.Seed)%2), newcomerGap)
			wait()
		}},
	}
	each(test, func(test *testing.T, seed uint64) {
		for _, meeting := range meetings {
			one := newTrial(test, seed, meeting.cores, 3, meeting.name)
			meeting.play(one, one.leader())
			one.Sleep(syncSpan)
			one.settled("calm again")
			one.end()
		}
	})
}

// rolling stops and starts each core in turn while one is replaced as planned.
func rolling(one *trial, leader int) {
	leaving := one.machine(one.after(leader, int(one.Seed)%2))
	wait := one.meanwhile(func() {
		for _, machine := range one.machines() {
			if machine != leaving {
				one.terminate(machine)
				one.Sleep(one.span(50*time.Millisecond, 700*time.Millisecond))
				one.startMachine(machine)
				one.Sleep(syncSpan / 2)
			}
		}
	})
	one.Sleep(one.span(10*time.Millisecond, 3*time.Second))
	one.ReplaceCorePlanned(slices.Index(one.machines(), leaving), newcomerGap)
	wait()
}

// All cores lose power at any moment of a replacement.
func TestAllLosePowerDuringReplacement(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			for round := range 4 {
				planned := round%2 == 1
				one := newTrial(test, seed, cores, 3, fmt.Sprintf("round %d, planned %v", round, planned))
				index := one.after(one.leader(), round/2)
				leaving := one.machine(index)
				wait := one.meanwhile(func() {
					if planned {
						one.ReplaceCorePlanned(index, newcomerGap)
					} else {
						one.ReplaceCore(index, newcomerGap)
					}
				})
				one.Sleep(one.span(10*time.Millisecond, 2500*time.Millisecond))
				one.killAll(true, false)
				if planned {
					one.killMachine(leaving, true)
				}
				one.Sleep(one.span(10*time.Millisecond, time.Second))
				one.startAll()
				wait()
				one.Sleep(syncSpan)
				one.settled("all are back")
				one.end()
			}
		}
	})
}

// Four cores vote from the founding on; three of them are a majority.
func TestReplacementOfOneOfFour(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for offset := range 2 {
			one := newTrial(test, seed, 4, 3, []string{"the leader is replaced", "a follower is replaced"}[offset])
			lost := one.after(one.leader(), offset)
			if offset == int(seed)%2 {
				one.ReplaceCore(lost, newcomerGap)
			} else {
				one.ReplaceCorePlanned(lost, newcomerGap)
			}
			one.Sleep(syncSpan)
			one.settled("replaced")
			one.survives("replaced", one.after(lost, 1+int(seed)%3))
			one.end()
		}
	})
}

// Five cores lose two at a time, nine lose four, and again once the newcomers had
// their time.
func TestAsManyReplacedAsMayBeLost(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{5, 9} {
			one := newTrial(test, seed, cores, 3, "as many as may be lost")
			first := one.leader()
			for offset := range cores / 2 {
				one.LoseCore(one.after(first, offset))
			}
			one.Sleep(newcomerGap)
			for offset := range cores / 2 {
				one.StartReplacement(one.after(first, offset), nil)
			}
			one.order(syncSpan / 2)
			one.Sleep(syncSpan)
			one.votes("replaced", one.machines())
			others := []int{}
			for offset := range cores / 2 {
				others = append(others, one.after(first, cores/2+offset))
			}
			one.survives("replaced", others...)
			one.end()
		}
	})
}

// A core that is cut off, frozen or without power for 20 s keeps its seat as long as
// nobody comes in its place, and its vote counts again.
func TestAbsentCoreKeepsItsSeat(test *testing.T) {
	const away = 20 * time.Second
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			for _, way := range []string{"cut off", "frozen", "without power"} {
				one := newTrial(test, seed, cores, 3, way)
				absent := one.after(one.leader(), int(seed)%2)
				machine := one.machine(absent)
				switch way {
				case "cut off":
					one.isolateMachine(machine, true)
				case "frozen":
					one.Net.Freeze(machine.Host, true)
				case "without power":
					one.KillCore(absent, true)
				}
				one.mustOrder("away")
				one.Sleep(away)
				one.isolateMachine(machine, false)
				one.Net.Freeze(machine.Host, false)
				one.startMachine(machine)
				one.Sleep(syncSpan)
				one.settled("back")
				for offset := range cores / 2 {
					one.LoseCore(one.after(absent, 1+offset))
				}
				one.keepsAll("others are lost")
				one.end()
			}
		}
	})
}

// A minority that is cut off with newcomers on its side is no quorum, also if these
// are more than all others; and a newcomer for whom there is no seat takes none.
func TestMinorityWithNewcomersIsNoQuorum(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			one := newTrial(test, seed, cores, 0, "cut off with newcomers")
			leader := one.leader()
			few := []*Core{}
			for offset := range cores / 2 {
				few = append(few, one.machine(one.after(leader, int(seed)%2+offset)))
			}
			others := slices.DeleteFunc(one.machines(), func(machine *Core) bool { return slices.Contains(few, machine) })
			founders := one.machines()
			turn := func(on bool) {
				for _, lone := range one.allMachines() {
					for _, other := range others {
						if !slices.Contains(others, lone) {
							one.Net.Cut(lone.Host, other.Host, on)
						}
					}
				}
			}
			turn(true)
			one.Sleep(one.span(10*time.Millisecond, 2*time.Second))
			for region := range 3 {
				newcomer := one.newMachine(region, internalAddresses(few))
				for _, other := range others {
					one.Net.Cut(newcomer.Host, other.Host, true)
				}
				one.mutex.Lock()
				one.Cores = append(one.Cores, newcomer)
				one.mutex.Unlock()
				one.startMachine(newcomer)
			}
			one.Sleep(2 * regionalSuspicionTimeout)
			before := one.leads()
			for until := time.Now().Add(20 * time.Second); time.Now().Before(until); one.Sleep(2 * time.Second) {
				for _, machine := range one.machines() {
					if !slices.Contains(others, machine) {
						one.refuses(machine)
					}
				}
			}
			one.mutex.Lock()
			for _, lead := range one.Leaderships[before:] {
				if !slices.ContainsFunc(others, func(machine *Core) bool { return machine.Host == lead.Host }) {
					one.Violations = append(one.Violations, fmt.Sprintf("%s: %s led", one.name, lead.Host))
				}
			}
			one.mutex.Unlock()
			turn(false)
			one.Sleep(syncSpan)
			one.keepsAll("together again")
			one.votes("together again", founders)
			one.end()
		}
	})
}

// refuses is whether a core that can't reach a majority acknowledges an order.
func (one *trial) refuses(machine *Core) {
	client := rpc.NewClient(one.Net.Transport("10.8.0.1"))
	defer client.Close()
	for _, ask := range []func() error{
		func() error {
			_, err := rpc.Call(client, machine.InternalAddress, message.MethodRoutingChange, time.Second, NewRoutingChange(1000+one.newest, one.newest))
			return err
		},
		func() error {
			_, err := rpc.Call(client, machine.InternalAddress, message.MethodEvacuate, time.Second, &message.EvacuateRequest{Zone: "z-not", Begin: true})
			return err
		},
		func() error {
			_, err := rpc.Call(client, machine.InternalAddress, message.MethodRoutingRead, time.Second, &message.RoutingReadRequest{})
			return err
		},
	} {
		if ask() == nil {
			one.reportViolation("%s acknowledged without a majority", machine.Host)
		}
	}
}

// A removed core returns with its old disk and its old seeds. It neither votes nor
// leads nor acknowledges, and members and newcomers that are told of it alone
// come to the quorum. Once a place is free it may take that as any newcomer does,
// under a number that it never had; gone again, its place is another's.
func TestRemovedCoreReturns(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, way := range []string{"left as planned", "was lost"} {
			one := newTrial(test, seed, 3, 3, "it "+way)
			index := one.after(one.leader(), int(seed)%2)
			former := voterID(one.machine(index))
			one.removeAt(way, index)
			one.settled("removed")
			before := one.leads()
			returned := one.ReturnRemoved(0)
			late := one.AddMember(2)
			late.Seeds = internalAddresses([]*Core{returned})
			one.StartMember(late)
			one.Sleep(syncSpan)
			one.stays(returned, before)
			one.settled("it is back")
			lost := one.after(index, 1)
			one.LoseCore(lost)
			one.Sleep(newcomerGap)
			one.StartReplacement(lost, internalAddresses([]*Core{returned}))
			one.Sleep(syncSpan)
			one.keepsAll("a newcomer knows but the one that is back")
			one.newNumber(returned, former)
			one.removeForGood(returned)
			one.Sleep(syncSpan)
			one.settled("the one that was back is gone")
			one.end()
		}
	})
}

// Two removed cores, a majority by the seats that the first of them knew, return
// cut off from all others, with a newcomer on their side.
func TestRemovedCoresAreNoQuorum(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, way := range []string{"left as planned", "was lost"} {
			one := newTrial(test, seed, 3, 3, "each "+way)
			for round := range 2 {
				one.removeAt(way, one.after(int(seed), round))
				one.settled(fmt.Sprint("removed ", round+1))
			}
			current := one.machines()
			for _, removed := range one.Removed {
				one.isolateMachine(removed, true)
			}
			one.Net.Cut(one.Removed[0].Host, one.Removed[1].Host, false)
			before := one.leads()
			returned := []*Core{one.ReturnRemoved(0), one.ReturnRemoved(1)}
			newcomer := one.newMachine(0, internalAddresses(returned))
			for _, other := range current {
				one.Net.Cut(newcomer.Host, other.Host, true)
			}
			one.startMachine(newcomer)
			for range 5 {
				one.Sleep(2 * time.Second)
				for _, machine := range append(returned, newcomer) {
					one.refuses(machine)
				}
			}
			one.stays(returned[0], before)
			one.stays(returned[1], before)
			one.stays(newcomer, before)
			one.killMachine(newcomer, false)
			for _, machine := range returned {
				one.isolateMachine(machine, false)
			}
			one.Sleep(syncSpan)
			one.settled("they are in touch")
			one.stays(returned[0], before)
			one.stays(returned[1], before)
			one.end()
		}
	})
}

// voterID is the number under which a machine votes by its own disk, 0 for none.
func voterID(machine *Core) int {
	store, err := replica.OpenStore(machine.Disk.Copy())
	if err != nil || store.State().Membership() == nil {
		return 0
	}
	for _, peer := range store.State().Membership().Voters {
		if peer.Address == machine.InternalAddress {
			return peer.ID
		}
	}
	return 0
}

// newNumber wants the voters to be as many as ever, all of them running, and none of
// them under a former number of this machine.
func (one *trial) newNumber(machine *Core, former int) {
	running := func(address string) bool {
		return slices.ContainsFunc(one.allMachines(), func(other *Core) bool {
			core := other.running(one.World)
			return other.InternalAddress == address && core != nil && core.CanVote()
		})
	}
	held := []string{}
	if !one.Until(seatsLimit, func() bool {
		held = seats(one.machine(one.leader()).Disk)
		return len(held) == len(one.Cores) && !slices.ContainsFunc(held, func(address string) bool { return !running(address) })
	}) {
		one.reportViolation("the seats are %v", held)
	}
	if slices.Contains(held, machine.InternalAddress) && voterID(machine) == former {
		one.reportViolation("%s votes again as %d", machine.Host, former)
	}
}

// removeAt replaces a core one way or the other, and gives the newcomer its time.
func (one *trial) removeAt(way string, index int) {
	if way == "was lost" {
		one.ReplaceCore(index, newcomerGap)
	} else {
		one.ReplaceCorePlanned(index, newcomerGap)
	}
	one.Sleep(syncSpan)
}

// stays is whether a core without a seat has led or leads.
func (one *trial) stays(machine *Core, before int) {
	if core := machine.running(one.World); core == nil || core.Leads() {
		one.reportViolation("%s runs %v, and leads", machine.Host, core != nil)
	}
	one.mutex.Lock()
	defer one.mutex.Unlock()
	for _, lead := range one.Leaderships[before:] {
		if lead.Host == machine.Host {
			one.Violations = append(one.Violations, fmt.Sprintf("%s: %s led under %s", one.name, lead.Host, lead.Term))
		}
	}
}

// A newcomer's seeds name a machine that is gone, one that is cut off for a while,
// or other newcomers; it comes to the quorum nonetheless.
func TestNewcomerFindsTheQuorum(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, way := range []string{"two are dead", "cut off for a while", "a newcomer", "restarted while it catches up"} {
			one := newTrial(test, seed, 5, 3, way)
			lost := []int{one.after(int(seed), 0), one.after(int(seed), 1)}
			gone := []*Core{one.LoseCore(lost[0]), one.LoseCore(lost[1])}
			one.Sleep(newcomerGap)
			alive := one.machine(one.after(lost[1], 1))
			switch way {
			case "two are dead":
				one.StartReplacement(lost[0], internalAddresses([]*Core{gone[0], gone[1], alive}))
			case "cut off for a while":
				one.isolateMachine(alive, true)
				one.StartReplacement(lost[0], internalAddresses([]*Core{gone[0], alive}))
				one.isolateMachine(alive, true)
				one.Sleep(2 * time.Second)
				one.isolateMachine(alive, false)
			case "a newcomer":
				first := one.StartReplacement(lost[0], internalAddresses([]*Core{gone[0], alive}))
				one.StartReplacement(lost[1], internalAddresses([]*Core{gone[0], gone[1], first}))
			case "restarted while it catches up":
				one.StartReplacement(lost[0], internalAddresses([]*Core{alive}))
				for range 3 {
					one.Sleep(one.span(10*time.Millisecond, time.Second))
					one.KillCore(lost[0], true)
					one.StartCore(lost[0])
				}
			}
			if one.machine(lost[1]) == gone[1] {
				one.StartReplacement(lost[1], nil)
			}
			one.Sleep(syncSpan)
			one.settled("two newcomers")
			one.end()
		}
	})
}
