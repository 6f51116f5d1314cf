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

// A core is lost permanently and an empty one starts at another address. A second loss sync_s
// after that start leaves a majority with all data.
func TestReplacedCoreThenSecondLoss(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			for offset := range 2 {
				scenario := newScenario(test, seed, cores, 4, []string{"the leader is replaced", "a follower is replaced"}[offset])
				lost := scenario.indexAfter(scenario.leader(), offset)
				scenario.ReplaceCore(lost, replacementDelay)
				started := time.Now()
				scenario.order(syncSpan / 2)
				scenario.restUntil(started.Add(syncSpan))
				second := scenario.indexAfter(lost, 1+int(seed)%(cores-1))
				scenario.checkSurvivesLoss("replaced", second)
				scenario.StartReplacement(second, nil)
				scenario.Sleep(syncSpan)
				scenario.checkRecovered("replaced again")
				scenario.end()
			}
		}
	})
}

// The new core starts first, then the old one gets SIGTERM and does not return.
func TestPlannedReplacementThenLoss(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			for offset := range 2 {
				scenario := newScenario(test, seed, cores, 4, []string{"the leader leaves", "a follower leaves"}[offset])
				leaving := scenario.indexAfter(scenario.leader(), offset)
				begin := time.Now()
				scenario.ReplaceCorePlanned(leaving, scenario.randomDuration(50*time.Millisecond, 1500*time.Millisecond))
				if took := time.Since(begin); took > 1500*time.Millisecond+retireTimeout {
					scenario.reportViolation("the planned replacement took %v", took)
				}
				scenario.order(syncSpan / 2)
				scenario.restUntil(begin.Add(syncSpan))
				scenario.checkVoters("planned", scenario.machines())
				scenario.checkSurvivesLoss("planned", scenario.indexAfter(leaving, 1+int(seed)%(cores-1)))
				scenario.end()
			}
		}
	})
}

// The core that leaves holds the only copy of the last acknowledged order: the second core
// with a copy lost its disk, the third was cut off.
func TestLeavingCoreHoldsOnlyNewestCopy(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, restart := range []string{"at once", "while the leader leaves"} {
			scenario := newScenario(test, seed, 3, 3, "the wiped core restarts "+restart)
			leader := scenario.leader()
			stale, wiped := scenario.indexAfter(leader, 1), scenario.indexAfter(leader, 2)
			scenario.isolateCore(stale, true)
			scenario.mustOrder("one core is cut off")
			scenario.WipeCore(wiped)
			scenario.isolateCore(stale, false)
			gap := replacementDelay
			if restart == "at once" {
				scenario.StartCore(wiped)
			}
			wait := scenario.concurrently(func() { scenario.ReplaceCorePlanned(leader, gap) })
			scenario.Sleep(gap + scenario.randomDuration(10*time.Millisecond, 500*time.Millisecond))
			scenario.StartCore(wiped)
			wait()
			scenario.checkRecovered("after it left")
			scenario.end()
		}
	})
}

// Cores are replaced one after the other until no founding address is left. Running members
// follow; members that start later get other seeds.
func TestAllFoundingCoresReplaced(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, kind := range []string{"lost", "planned", "mixed"} {
			scenario := newScenario(test, seed, 3, 4, kind)
			for round := range 3 {
				index := scenario.indexAfter(int(seed), round)
				started := time.Now()
				if kind == "lost" || kind == "mixed" && round%2 == 0 {
					scenario.ReplaceCore(index, replacementDelay)
					started = time.Now()
				} else {
					scenario.ReplaceCorePlanned(index, replacementDelay)
				}
				scenario.restUntil(started.Add(syncSpan))
				scenario.checkAcknowledged(fmt.Sprint("replacement ", round+1))
			}
			scenario.checkRecovered("all three replaced")
			scenario.SetSeeds(internalAddresses(scenario.machines())...)
			late := scenario.AddMember(1)
			scenario.StartMember(late)
			scenario.checkAcknowledged("a late member")
			scenario.killAll(true, false)
			scenario.Sleep(time.Second)
			scenario.startAll()
			scenario.checkRecovered("after a power loss of all cores")
			scenario.end()
		}
	})
}

// A second replacement begins before the first is complete.
func TestReplacementDuringAnother(test *testing.T) {
	type overlap struct {
		name    string
		cores   int
		replace func(scenario *replacementScenario, first, second int)
	}
	planned := func(scenario *replacementScenario, first, second int) {
		wait := scenario.concurrently(func() { scenario.ReplaceCorePlanned(first, replacementDelay) })
		scenario.Sleep(scenario.randomDuration(100*time.Millisecond, 1500*time.Millisecond))
		scenario.ReplaceCorePlanned(second, replacementDelay)
		wait()
	}
	lost := func(scenario *replacementScenario, first, second int) {
		wait := scenario.concurrently(func() { scenario.ReplaceCore(first, replacementDelay) })
		scenario.Sleep(scenario.randomDuration(10*time.Millisecond, 1500*time.Millisecond))
		scenario.ReplaceCore(second, replacementDelay)
		wait()
	}
	mixed := func(scenario *replacementScenario, first, second int) {
		wait := scenario.concurrently(func() { scenario.ReplaceCorePlanned(first, replacementDelay) })
		scenario.Sleep(scenario.randomDuration(10*time.Millisecond, 1500*time.Millisecond))
		scenario.ReplaceCore(second, replacementDelay)
		wait()
	}
	newCoreLost := func(scenario *replacementScenario, first, _ int) {
		scenario.ReplaceCore(first, replacementDelay)
		scenario.Sleep(scenario.randomDuration(10*time.Millisecond, 1500*time.Millisecond))
		scenario.ReplaceCore(first, replacementDelay)
	}
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, overlapCase := range []overlap{{"both planned", 3, planned}, {"both planned", 5, planned}, {"both lost", 5, lost}, {"one planned, one lost", 5, mixed}, {"the new core is lost", 3, newCoreLost}} {
			scenario := newScenario(test, seed, overlapCase.cores, 3, overlapCase.name)
			first := scenario.indexAfter(scenario.leader(), int(seed)%2)
			overlapCase.replace(scenario, first, scenario.indexAfter(first, 1))
			scenario.Sleep(syncSpan)
			scenario.checkRecovered("both replacements complete")
			scenario.checkSurvivesLoss("both replacements complete", scenario.indexAfter(first, 2))
			scenario.end()
		}
	})
}

// Replacements coincide with other faults. During a fault only what is still possible is
// checked; afterwards all data must be there and each machine must vote.
func TestReplacementDuringOtherFaults(test *testing.T) {
	type faultCase struct {
		name  string
		cores int
		run   func(scenario *replacementScenario, leader int)
	}
	const longCut = 20 * time.Second
	faultCases := []faultCase{
		{"another is cut off for 20 s", 5, func(scenario *replacementScenario, leader int) {
			cut := scenario.machine(scenario.indexAfter(leader, 1))
			scenario.isolateMachine(cut, true)
			scenario.Sleep(longCut / 4)
			scenario.ReplaceCore(leader, replacementDelay)
			scenario.Sleep(syncSpan)
			scenario.checkAcknowledged("one is cut off, one replaced")
			scenario.Sleep(longCut / 4)
			scenario.isolateMachine(cut, false)
		}},
		{"another is cut off for 20 s", 3, func(scenario *replacementScenario, leader int) {
			cut := scenario.machine(scenario.indexAfter(leader, 1))
			scenario.isolateMachine(cut, true)
			scenario.mustOrder("one is cut off")
			scenario.ReplaceCore(scenario.indexAfter(leader, 2), replacementDelay)
			scenario.Sleep(longCut)
			scenario.isolateMachine(cut, false)
		}},
		{"the leaving core is cut off", 3, func(scenario *replacementScenario, leader int) {
			leaving := scenario.machine(scenario.indexAfter(leader, int(scenario.Seed)%2))
			scenario.isolateMachine(leaving, true)
			scenario.Sleep(scenario.randomDuration(10*time.Millisecond, 2*time.Second))
			scenario.ReplaceCorePlanned(slices.Index(scenario.machines(), leaving), replacementDelay)
		}},
		{"another cannot send", 5, func(scenario *replacementScenario, leader int) {
			muted := scenario.machine(scenario.indexAfter(leader, 1))
			setCut := func(on bool) {
				for _, other := range scenario.allMachines() {
					if other != muted {
						scenario.Net.CutOneWay(muted.Host, other.Host, on)
					}
				}
			}
			setCut(true)
			scenario.ReplaceCore(scenario.indexAfter(leader, 2), replacementDelay)
			scenario.Sleep(syncSpan)
			scenario.checkAcknowledged("one cannot send, one replaced")
			setCut(false)
		}},
		{"another has lost its disk", 5, func(scenario *replacementScenario, leader int) {
			scenario.WipeCore(scenario.indexAfter(leader, 1))
			scenario.StartCore(scenario.indexAfter(leader, 1))
			scenario.Sleep(scenario.randomDuration(10*time.Millisecond, time.Second))
			scenario.ReplaceCore(scenario.indexAfter(leader, int(scenario.Seed)%2*2), replacementDelay)
		}},
		{"the replaced core lost its disk first", 3, func(scenario *replacementScenario, leader int) {
			scenario.WipeCore(leader)
			scenario.StartCore(leader)
			scenario.Sleep(scenario.randomDuration(10*time.Millisecond, 300*time.Millisecond))
			scenario.ReplaceCore(leader, replacementDelay)
		}},
		{"another loses its disk after the sync", 3, func(scenario *replacementScenario, leader int) {
			scenario.ReplaceCore(leader, replacementDelay)
			scenario.Sleep(syncSpan)
			scenario.order(orderLimit)
			scenario.WipeCore(scenario.indexAfter(leader, 1))
			scenario.StartCore(scenario.indexAfter(leader, 1))
		}},
		{"all others restart in turn", 5, rollDuringReplacement},
		{"all others restart in turn", 3, rollDuringReplacement},
		{"connections are reset", 3, func(scenario *replacementScenario, leader int) {
			wait := scenario.concurrently(func() {
				for range 40 {
					machines := scenario.allMachines()
					left, right := machines[scenario.random.IntN(len(machines))], machines[scenario.random.IntN(len(machines))]
					scenario.Net.Reset(left.Host, right.Host)
					scenario.Sleep(100 * time.Millisecond)
				}
			})
			scenario.ReplaceCore(scenario.indexAfter(leader, int(scenario.Seed)%2), replacementDelay)
			wait()
		}},
	}
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, faultCase := range faultCases {
			scenario := newScenario(test, seed, faultCase.cores, 3, faultCase.name)
			faultCase.run(scenario, scenario.leader())
			scenario.Sleep(syncSpan)
			scenario.checkRecovered("after the fault")
			scenario.end()
		}
	})
}

// rollDuringReplacement restarts the other cores in turn while one is replaced as planned.
func rollDuringReplacement(scenario *replacementScenario, leader int) {
	leaving := scenario.machine(scenario.indexAfter(leader, int(scenario.Seed)%2))
	wait := scenario.concurrently(func() {
		for _, machine := range scenario.machines() {
			if machine != leaving {
				scenario.terminate(machine)
				scenario.Sleep(scenario.randomDuration(50*time.Millisecond, 700*time.Millisecond))
				scenario.startMachine(machine)
				scenario.Sleep(syncSpan / 2)
			}
		}
	})
	scenario.Sleep(scenario.randomDuration(10*time.Millisecond, 3*time.Second))
	scenario.ReplaceCorePlanned(slices.Index(scenario.machines(), leaving), replacementDelay)
	wait()
}

// All cores lose power at a random moment of a replacement.
func TestAllLosePowerDuringReplacement(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			for round := range 4 {
				planned := round%2 == 1
				scenario := newScenario(test, seed, cores, 3, fmt.Sprintf("round %d, planned %v", round, planned))
				index := scenario.indexAfter(scenario.leader(), round/2)
				leaving := scenario.machine(index)
				wait := scenario.concurrently(func() {
					if planned {
						scenario.ReplaceCorePlanned(index, replacementDelay)
					} else {
						scenario.ReplaceCore(index, replacementDelay)
					}
				})
				scenario.Sleep(scenario.randomDuration(10*time.Millisecond, 2500*time.Millisecond))
				scenario.killAll(true, false)
				if planned {
					scenario.killMachine(leaving, true)
				}
				scenario.Sleep(scenario.randomDuration(10*time.Millisecond, time.Second))
				scenario.startAll()
				wait()
				scenario.Sleep(syncSpan)
				scenario.checkRecovered("after the restart")
				scenario.end()
			}
		}
	})
}

// One of four founding cores is replaced; three are a majority.
func TestReplacementOfOneOfFour(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for offset := range 2 {
			scenario := newScenario(test, seed, 4, 3, []string{"the leader is replaced", "a follower is replaced"}[offset])
			lost := scenario.indexAfter(scenario.leader(), offset)
			if offset == int(seed)%2 {
				scenario.ReplaceCore(lost, replacementDelay)
			} else {
				scenario.ReplaceCorePlanned(lost, replacementDelay)
			}
			scenario.Sleep(syncSpan)
			scenario.checkRecovered("replaced")
			scenario.checkSurvivesLoss("replaced", scenario.indexAfter(lost, 1+int(seed)%3))
			scenario.end()
		}
	})
}

// Five cores lose two at a time, nine lose four, and as many again once the new cores had time
// to synchronize.
func TestLargestMinorityReplaced(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{5, 9} {
			scenario := newScenario(test, seed, cores, 3, "the largest tolerated minority is replaced")
			first := scenario.leader()
			for offset := range cores / 2 {
				scenario.LoseCore(scenario.indexAfter(first, offset))
			}
			scenario.Sleep(replacementDelay)
			for offset := range cores / 2 {
				scenario.StartReplacement(scenario.indexAfter(first, offset), nil)
			}
			scenario.order(syncSpan / 2)
			scenario.Sleep(syncSpan)
			scenario.checkVoters("replaced", scenario.machines())
			others := []int{}
			for offset := range cores / 2 {
				others = append(others, scenario.indexAfter(first, cores/2+offset))
			}
			scenario.checkSurvivesLoss("replaced", others...)
			scenario.end()
		}
	})
}

// A core that is cut off, frozen or without power for 20 s remains a voter as long as no
// learner takes its place, and its vote counts again.
func TestAbsentCoreStaysVoter(test *testing.T) {
	const away = 20 * time.Second
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			for _, kind := range []string{"cut off", "frozen", "without power"} {
				scenario := newScenario(test, seed, cores, 3, kind)
				absent := scenario.indexAfter(scenario.leader(), int(seed)%2)
				machine := scenario.machine(absent)
				switch kind {
				case "cut off":
					scenario.isolateMachine(machine, true)
				case "frozen":
					scenario.Net.Freeze(machine.Host, true)
				case "without power":
					scenario.KillCore(absent, true)
				}
				scenario.mustOrder("one core absent")
				scenario.Sleep(away)
				scenario.isolateMachine(machine, false)
				scenario.Net.Freeze(machine.Host, false)
				scenario.startMachine(machine)
				scenario.Sleep(syncSpan)
				scenario.checkRecovered("the absent core is back")
				for offset := range cores / 2 {
					scenario.LoseCore(scenario.indexAfter(absent, 1+offset))
				}
				scenario.checkAcknowledged("a minority of the others is lost")
				scenario.end()
			}
		}
	})
}

// An isolated minority with new cores on its side is no quorum, even if together they
// outnumber the others; and a new core without a vacant place does not become a voter.
func TestMinorityWithNewCoresIsNoQuorum(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, cores := range []int{3, 5} {
			scenario := newScenario(test, seed, cores, 0, "minority cut off with new cores")
			leader := scenario.leader()
			minority := []*Core{}
			for offset := range cores / 2 {
				minority = append(minority, scenario.machine(scenario.indexAfter(leader, int(seed)%2+offset)))
			}
			majority := slices.DeleteFunc(scenario.machines(), func(machine *Core) bool { return slices.Contains(minority, machine) })
			founders := scenario.machines()
			setCut := func(on bool) {
				for _, isolated := range scenario.allMachines() {
					for _, other := range majority {
						if !slices.Contains(majority, isolated) {
							scenario.Net.Cut(isolated.Host, other.Host, on)
						}
					}
				}
			}
			setCut(true)
			scenario.Sleep(scenario.randomDuration(10*time.Millisecond, 2*time.Second))
			for region := range 3 {
				newCore := scenario.newMachine(region, internalAddresses(minority))
				for _, other := range majority {
					scenario.Net.Cut(newCore.Host, other.Host, true)
				}
				scenario.mutex.Lock()
				scenario.Cores = append(scenario.Cores, newCore)
				scenario.mutex.Unlock()
				scenario.startMachine(newCore)
			}
			scenario.Sleep(2 * regionalSuspicionTimeout)
			before := scenario.leadershipCount()
			for until := time.Now().Add(20 * time.Second); time.Now().Before(until); scenario.Sleep(2 * time.Second) {
				for _, machine := range scenario.machines() {
					if !slices.Contains(majority, machine) {
						scenario.checkRefuses(machine)
					}
				}
			}
			scenario.mutex.Lock()
			for _, lead := range scenario.Leaderships[before:] {
				if !slices.ContainsFunc(majority, func(machine *Core) bool { return machine.Host == lead.Host }) {
					scenario.Violations = append(
						scenario.Violations,
						fmt.Sprintf("%s: %s led without a majority", scenario.name, lead.Host),
					)
				}
			}
			scenario.mutex.Unlock()
			setCut(false)
			scenario.Sleep(syncSpan)
			scenario.checkAcknowledged("after healing")
			scenario.checkVoters("after healing", founders)
			scenario.end()
		}
	})
}

// checkRefuses checks that a core without a majority acknowledges neither orders nor reads.
func (scenario *replacementScenario) checkRefuses(machine *Core) {
	client := rpc.NewClient(scenario.Net.Transport("10.8.0.1"))
	defer client.Close()
	for _, call := range []func() error{
		func() error {
			_, err := rpc.Call(client, machine.InternalAddress, message.MethodRoutingChange, time.Second, NewRoutingChange(1000+scenario.newestVersion, scenario.newestVersion))
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
		if call() == nil {
			scenario.reportViolation("%s acknowledged without a majority", machine.Host)
		}
	}
}

// A removed core returns with its old disk and seeds. It neither votes nor leads nor
// acknowledges, and members and new cores that have it as their only seed find the quorum. It
// may take a vacant place like any new core, under an ID that it never had; when it is gone
// again, another core takes its place.
func TestRemovedCoreReturns(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, kind := range []string{"left as planned", "was lost"} {
			scenario := newScenario(test, seed, 3, 3, "it "+kind)
			index := scenario.indexAfter(scenario.leader(), int(seed)%2)
			former := voterID(scenario.machine(index))
			scenario.replaceAndSync(kind, index)
			scenario.checkRecovered("removed")
			before := scenario.leadershipCount()
			returned := scenario.ReturnRemoved(0)
			late := scenario.AddMember(2)
			late.Seeds = internalAddresses([]*Core{returned})
			scenario.StartMember(late)
			scenario.Sleep(syncSpan)
			scenario.checkNeverLeads(returned, before)
			scenario.checkRecovered("the removed core is back")
			lost := scenario.indexAfter(index, 1)
			scenario.LoseCore(lost)
			scenario.Sleep(replacementDelay)
			scenario.StartReplacement(lost, internalAddresses([]*Core{returned}))
			scenario.Sleep(syncSpan)
			scenario.checkAcknowledged("the returned core is the only seed")
			scenario.checkNewVoterID(returned, former)
			scenario.removeForGood(returned)
			scenario.Sleep(syncSpan)
			scenario.checkRecovered("the returned core is gone")
			scenario.end()
		}
	})
}

// Two removed cores, a majority of the membership that the first of them knows, return
// isolated from all others, with a new core on their side.
func TestRemovedCoresAreNoQuorum(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, kind := range []string{"left as planned", "was lost"} {
			scenario := newScenario(test, seed, 3, 3, "each "+kind)
			for round := range 2 {
				scenario.replaceAndSync(kind, scenario.indexAfter(int(seed), round))
				scenario.checkRecovered(fmt.Sprint("removed ", round+1))
			}
			current := scenario.machines()
			for _, removed := range scenario.Removed {
				scenario.isolateMachine(removed, true)
			}
			scenario.Net.Cut(scenario.Removed[0].Host, scenario.Removed[1].Host, false)
			before := scenario.leadershipCount()
			returned := []*Core{scenario.ReturnRemoved(0), scenario.ReturnRemoved(1)}
			newCore := scenario.newMachine(0, internalAddresses(returned))
			for _, other := range current {
				scenario.Net.Cut(newCore.Host, other.Host, true)
			}
			scenario.startMachine(newCore)
			for range 5 {
				scenario.Sleep(2 * time.Second)
				for _, machine := range append(returned, newCore) {
					scenario.checkRefuses(machine)
				}
			}
			scenario.checkNeverLeads(returned[0], before)
			scenario.checkNeverLeads(returned[1], before)
			scenario.checkNeverLeads(newCore, before)
			scenario.killMachine(newCore, false)
			for _, machine := range returned {
				scenario.isolateMachine(machine, false)
			}
			scenario.Sleep(syncSpan)
			scenario.checkRecovered("after healing")
			scenario.checkNeverLeads(returned[0], before)
			scenario.checkNeverLeads(returned[1], before)
			scenario.end()
		}
	})
}

// voterID returns the voter ID of a machine according to its own disk, 0 for none.
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

// checkNewVoterID checks that there are as many voters as cores, that all of them run, and that
// the machine does not vote under its former ID.
func (scenario *replacementScenario) checkNewVoterID(machine *Core, former int) {
	isRunning := func(address string) bool {
		return slices.ContainsFunc(scenario.allMachines(), func(other *Core) bool {
			core := other.running(scenario.World)
			return other.InternalAddress == address && core != nil && core.CanVote()
		})
	}
	addresses := []string{}
	if !scenario.Until(votersLimit, func() bool {
		addresses = voterAddresses(scenario.machine(scenario.leader()).Disk)
		return len(addresses) == len(scenario.Cores) &&
			!slices.ContainsFunc(addresses, func(address string) bool { return !isRunning(address) })
	}) {
		scenario.reportViolation("voters are %v, want one running voter for each core", addresses)
	}
	if slices.Contains(addresses, machine.InternalAddress) && voterID(machine) == former {
		scenario.reportViolation("%s votes again under its former ID %d", machine.Host, former)
	}
}

// replaceAndSync replaces a core, planned or not, and gives the new one time to synchronize.
func (scenario *replacementScenario) replaceAndSync(kind string, index int) {
	if kind == "was lost" {
		scenario.ReplaceCore(index, replacementDelay)
	} else {
		scenario.ReplaceCorePlanned(index, replacementDelay)
	}
	scenario.Sleep(syncSpan)
}

// checkNeverLeads checks that a core that is no voter runs, and that none of the leaderships
// after the first before ones was its own.
func (scenario *replacementScenario) checkNeverLeads(machine *Core, before int) {
	if core := machine.running(scenario.World); core == nil || core.Leads() {
		scenario.reportViolation("%s: running %v, want a running core that does not lead", machine.Host, core != nil)
	}
	scenario.mutex.Lock()
	defer scenario.mutex.Unlock()
	for _, lead := range scenario.Leaderships[before:] {
		if lead.Host == machine.Host {
			scenario.Violations = append(
				scenario.Violations,
				fmt.Sprintf("%s: %s led in term %s without being a voter", scenario.name, lead.Host, lead.Term),
			)
		}
	}
}

// A new core's seeds name lost machines, one that is cut off for a while, or other new cores;
// it finds the quorum nonetheless.
func TestNewCoreFindsQuorum(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, kind := range []string{"two of three seeds are lost", "the only running seed is cut off for a while", "a seed is a new core", "restarted while it catches up"} {
			scenario := newScenario(test, seed, 5, 3, kind)
			lost := []int{scenario.indexAfter(int(seed), 0), scenario.indexAfter(int(seed), 1)}
			lostCores := []*Core{scenario.LoseCore(lost[0]), scenario.LoseCore(lost[1])}
			scenario.Sleep(replacementDelay)
			running := scenario.machine(scenario.indexAfter(lost[1], 1))
			switch kind {
			case "two of three seeds are lost":
				scenario.StartReplacement(lost[0], internalAddresses([]*Core{lostCores[0], lostCores[1], running}))
			case "the only running seed is cut off for a while":
				scenario.isolateMachine(running, true)
				scenario.StartReplacement(lost[0], internalAddresses([]*Core{lostCores[0], running}))
				scenario.isolateMachine(running, true)
				scenario.Sleep(2 * time.Second)
				scenario.isolateMachine(running, false)
			case "a seed is a new core":
				first := scenario.StartReplacement(lost[0], internalAddresses([]*Core{lostCores[0], running}))
				scenario.StartReplacement(lost[1], internalAddresses([]*Core{lostCores[0], lostCores[1], first}))
			case "restarted while it catches up":
				scenario.StartReplacement(lost[0], internalAddresses([]*Core{running}))
				for range 3 {
					scenario.Sleep(scenario.randomDuration(10*time.Millisecond, time.Second))
					scenario.KillCore(lost[0], true)
					scenario.StartCore(lost[0])
				}
			}
			if scenario.machine(lost[1]) == lostCores[1] {
				scenario.StartReplacement(lost[1], nil)
			}
			scenario.Sleep(syncSpan)
			scenario.checkRecovered("two new cores")
			scenario.end()
		}
	})
}
