package simulation

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// replacementFaults are the control plane's faults and core replacements. Kinds that occur
// more than once are drawn more often.
var replacementFaults = append([]string{
	"replace",
	"replace",
	"replace-leader",
	"replace-planned",
	"replace-planned",
	"replace-planned-leader",
	"replace-many",
	"replace-in-turn",
	"all-down-replacing",
	"return-removed",
	"turn-seeds",
	"cut-off",
	"mute",
	"deaf",
	"roll",
	"core",
}, ControlFaults...)

// toleratedCoreFaults and toleratedLinkFaults lose no more than a deployment tolerates.
var (
	toleratedCoreFaults = []string{
		"kill",
		"power",
		"term",
		"freeze",
		"cut",
		"one-way",
		"reset",
		"stall",
		"wipe",
		"all",
		"faults",
		"refuse",
		"full",
		"refuse-restart",
	}
	toleratedLinkFaults = []string{"freeze", "cut", "one-way", "reset", "faults"}
)

// replacementInjector injects core replacements in addition to all other faults.
type replacementInjector struct{ *Injector }

// Inject causes one fault and heals it.
func (injector *replacementInjector) Inject(kind string) {
	random := injector.random
	index := random.IntN(len(injector.world.Cores))
	leader := max(injector.world.Leader(), 0)
	switch kind {
	case "replace":
		injector.replace([]int{index})
	case "replace-leader":
		injector.replace([]int{leader})
	case "replace-many":
		injector.replace(random.Perm(len(injector.world.Cores))[:(len(injector.world.Cores)-1)/2])
	case "replace-planned":
		injector.replacePlanned(index)
	case "replace-planned-leader":
		injector.replacePlanned(leader)
	case "replace-in-turn":
		for index := range injector.world.Cores {
			injector.replacePlanned(index)
		}
	case "all-down-replacing":
		injector.allDownReplacing(index)
	case "return-removed":
		injector.returnRemoved()
	case "turn-seeds":
		injector.refreshSeeds()
	case "cut-off":
		injector.cutOff(index, true, true)
	case "mute":
		injector.cutOff(index, true, false)
	case "deaf":
		injector.cutOff(index, false, true)
	case "roll":
		injector.roll()
	default:
		injector.Injector.Inject(kind)
	}
}

// Run injects random faults for the span; two of three are followed by a pause.
func (injector *replacementInjector) Run(span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); {
		kind := injector.kinds[injector.random.IntN(len(injector.kinds))]
		injector.randomFaults.Injected[kind]++
		injector.Inject(kind)
		if injector.random.IntN(3) > 0 {
			injector.world.Sleep(injector.randomDuration(200, 6000))
		}
	}
}

// replace loses cores permanently and starts empty ones some time later.
func (injector *replacementInjector) replace(indexes []int) {
	injector.duringLoss(indexes, nil, func() {
		seeds := injector.world.operatorSeeds()
		for _, index := range indexes {
			injector.world.LoseCore(index)
		}
		injector.world.Sleep(injector.randomDuration(300, 2500))
		for _, index := range indexes {
			injector.world.StartReplacement(index, seeds)
		}
	})
	injector.refreshSeeds()
}

// replacePlanned starts a new core, then stops the old one permanently.
func (injector *replacementInjector) replacePlanned(index int) {
	injector.duringLoss([]int{index}, nil, func() {
		leaving := injector.world.machine(index)
		injector.world.StartReplacement(index, nil)
		injector.world.Sleep(injector.randomDuration(50, 2000))
		injector.world.Leave(leaving)
	})
	injector.refreshSeeds()
}

// allDownReplacing cuts the power of all cores while one is being replaced.
func (injector *replacementInjector) allDownReplacing(index int) {
	world := injector.world
	injector.duringLoss(injector.allCores(), nil, func() {
		seeds := world.operatorSeeds()
		world.LoseCore(index)
		world.Sleep(injector.randomDuration(300, 2500))
		world.StartReplacement(index, seeds)
		world.Sleep(injector.randomDuration(10, 2000))
		world.killAll(true, injector.random.IntN(2) == 0)
		world.Sleep(injector.randomDuration(10, 1000))
		world.startAll()
	})
	injector.refreshSeeds()
}

// returnRemoved starts a removed core that is no voter any more with its old disk, and ends it
// after 0.5 to 9 s.
func (injector *replacementInjector) returnRemoved() {
	removed := []int{}
	for index, machine := range injector.world.removed() {
		if !injector.world.isVoter(machine) {
			removed = append(removed, index)
		}
	}
	if len(removed) == 0 {
		return
	}
	machine := injector.world.ReturnRemoved(removed[injector.random.IntN(len(removed))])
	injector.world.Sleep(injector.randomDuration(500, 9000))
	injector.world.removeForGood(machine)
}

// isVoter reports whether any disk of the deployment lists a machine as a voter.
func (world *World) isVoter(machine *Core) bool {
	for _, disk := range world.voterDisks() {
		if slices.Contains(voterAddresses(disk), machine.InternalAddress) {
			return true
		}
	}
	return false
}

// refreshSeeds makes three current cores the seeds of all processes started from now on.
func (injector *replacementInjector) refreshSeeds() {
	injector.world.SetSeeds(injector.world.operatorSeeds()...)
}

// cutOff cuts a core's outgoing links, incoming links or both to the other cores, for 2 to 20 s.
func (injector *replacementInjector) cutOff(index int, outgoing, incoming bool) {
	world, machine := injector.world, injector.world.machine(index)
	hosts := []string{}
	for _, other := range world.allMachines() {
		if other != machine {
			hosts = append(hosts, other.Host)
		}
	}
	setCut := func(on bool) {
		for _, host := range hosts {
			if outgoing {
				world.Net.CutOneWay(machine.Host, host, on)
			}
			if incoming {
				world.Net.CutOneWay(host, machine.Host, on)
			}
		}
	}
	injector.duringLoss([]int{index}, nil, func() {
		setCut(true)
		world.Sleep(injector.randomDuration(2000, 20000))
		setCut(false)
	})
}

// roll restarts the cores one after the other.
func (injector *replacementInjector) roll() {
	for index := range injector.world.Cores {
		machine := injector.world.machine(index)
		injector.duringLoss([]int{index}, nil, func() {
			injector.world.terminate(machine)
			injector.world.Sleep(injector.randomDuration(50, 1500))
			injector.world.startMachine(machine)
		})
	}
}

// minReplacementSeeds is the least number of seeds, as one run covers only some pairs of faults.
const minReplacementSeeds = 20

// Core replacements and all other faults hit the control plane, never more at a time than a
// deployment tolerates: acknowledged orders last and come into force in time, also if an answer
// was lost and the order was resent through another core or member.
func TestControlPlaneUnderReplacement(test *testing.T) {
	count := max(*seedsPerTest, minReplacementSeeds)
	if raceEnabled {
		count = *seedsPerTest
	}
	forSeeds(test, count, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, []int{3, 5, 3, 5, 4}[seed%5])
		side := world.newControlChecker()
		side.resendsAcknowledged = true
		defer world.CloseRegional()
		world.startRegional(test, 6)
		world.Sleep(settleTime)
		side.start()
		losses := world.NewLossBudget(syncSpan)
		coreFaults, linkFaults := &replacementInjector{
			side.newInjector(0, replacementFaults, toleratedCoreFaults),
		}, side.newInjector(
			1,
			ControlLinkFaults,
			toleratedLinkFaults,
		)
		coreFaults.losses, linkFaults.losses = losses, losses
		linksDone := atomic.Bool{}
		world.goroutines.Start(func() {
			linkFaults.Run(2 * faultDuration())
			linksDone.Store(true)
		})
		coreFaults.Run(2 * faultDuration())
		world.Until(time.Minute, linksDone.Load)
		world.Sleep(settleTime + propagationLimit)
		if !side.stop(60 * time.Second) {
			test.Fatal("operators have no final answer after 60 s")
		}
		side.checkRequests(test)
		test.Logf(
			"%d cores, %d removed, faults %v, link faults %v",
			len(world.Cores),
			len(world.Removed),
			coreFaults.randomFaults.Injected,
			linkFaults.randomFaults.Injected,
		)
		world.reportFailures(test)
	})
}
