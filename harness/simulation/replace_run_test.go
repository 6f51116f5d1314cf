package simulation

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// ReplacementFaults are those of the control side with core replacement among them.
// Each kind may come more than once.
var ReplacementFaults = append([]string{
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
}, SideFaults...)

// SurvivedCoreFaults are the cores' own that lose no more than a deployment survives.
var (
	SurvivedCoreFaults = []string{
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
	SurvivedLinkFaults = []string{"freeze", "cut", "one-way", "reset", "faults"}
)

// replacer injects replacement beside all other faults.
type replacer struct{ *Injector }

// Inject brings one fault about and heals it.
func (side *replacer) Inject(kind string) {
	random := side.random
	index := random.IntN(len(side.world.Cores))
	leader := max(side.world.Leader(), 0)
	switch kind {
	case "replace":
		side.replace([]int{index})
	case "replace-leader":
		side.replace([]int{leader})
	case "replace-many":
		side.replace(random.Perm(len(side.world.Cores))[:(len(side.world.Cores)-1)/2])
	case "replace-planned":
		side.replacePlanned(index)
	case "replace-planned-leader":
		side.replacePlanned(leader)
	case "replace-in-turn":
		for index := range side.world.Cores {
			side.replacePlanned(index)
		}
	case "all-down-replacing":
		side.allDownReplacing(index)
	case "return-removed":
		side.returnRemoved()
	case "turn-seeds":
		side.turnSeeds()
	case "cut-off":
		side.cutOff(index, true, true)
	case "mute":
		side.cutOff(index, true, false)
	case "deaf":
		side.cutOff(index, false, true)
	case "roll":
		side.roll()
	default:
		side.Injector.Inject(kind)
	}
}

// Run draws faults until the span is over; some follow each other at once.
func (side *replacer) Run(span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); {
		kind := side.kinds[side.random.IntN(len(side.kinds))]
		side.chaos.Injected[kind]++
		side.Inject(kind)
		if side.random.IntN(3) > 0 {
			side.world.Sleep(side.span(200, 6000))
		}
	}
}

// replace loses cores for good; empty ones come a while later.
func (side *replacer) replace(indexes []int) {
	side.lose(indexes, nil, func() {
		seeds := side.world.operatorSeeds()
		for _, index := range indexes {
			side.world.LoseCore(index)
		}
		side.world.Sleep(side.span(300, 2500))
		for _, index := range indexes {
			side.world.StartReplacement(index, seeds)
		}
	})
	side.turnSeeds()
}

// replacePlanned starts a new core, then stops the old one for good.
func (side *replacer) replacePlanned(index int) {
	side.lose([]int{index}, nil, func() {
		leaving := side.world.machine(index)
		side.world.StartReplacement(index, nil)
		side.world.Sleep(side.span(50, 2000))
		side.world.Leave(leaving)
	})
	side.turnSeeds()
}

// allDownReplacing takes the power from all cores while one is replaced.
func (side *replacer) allDownReplacing(index int) {
	world := side.world
	side.lose(side.every(), nil, func() {
		seeds := world.operatorSeeds()
		world.LoseCore(index)
		world.Sleep(side.span(300, 2500))
		world.StartReplacement(index, seeds)
		world.Sleep(side.span(10, 2000))
		world.killAll(true, side.random.IntN(2) == 0)
		world.Sleep(side.span(10, 1000))
		world.startAll()
	})
	side.turnSeeds()
}

// returnRemoved starts one whose seat another has, with its old disk, for a while.
func (side *replacer) returnRemoved() {
	removed := []int{}
	for index, machine := range side.world.removed() {
		if !side.world.hasSeat(machine) {
			removed = append(removed, index)
		}
	}
	if len(removed) == 0 {
		return
	}
	machine := side.world.ReturnRemoved(removed[side.random.IntN(len(removed))])
	side.world.Sleep(side.span(500, 9000))
	side.world.removeForGood(machine)
}

// hasSeat is whether a disk of the deployment still counts a machine's vote.
func (world *World) hasSeat(machine *Core) bool {
	for _, disk := range world.voterDisks() {
		if slices.Contains(seats(disk), machine.InternalAddress) {
			return true
		}
	}
	return false
}

// turnSeeds names three of the cores there are to all that start from now on.
func (side *replacer) turnSeeds() {
	side.world.SetSeeds(side.world.operatorSeeds()...)
}

// cutOff cuts a core from all others and from the members, for 20 s at most.
func (side *replacer) cutOff(index int, from, to bool) {
	world, machine := side.world, side.world.machine(index)
	hosts := []string{}
	for _, other := range world.allMachines() {
		if other != machine {
			hosts = append(hosts, other.Host)
		}
	}
	turn := func(on bool) {
		for _, host := range hosts {
			if from {
				world.Net.CutOneWay(machine.Host, host, on)
			}
			if to {
				world.Net.CutOneWay(host, machine.Host, on)
			}
		}
	}
	side.lose([]int{index}, nil, func() {
		turn(true)
		world.Sleep(side.span(2000, 20000))
		turn(false)
	})
}

// roll stops and starts each core in turn.
func (side *replacer) roll() {
	for index := range side.world.Cores {
		machine := side.world.machine(index)
		side.lose([]int{index}, nil, func() {
			side.world.terminate(machine)
			side.world.Sleep(side.span(50, 1500))
			side.world.startMachine(machine)
		})
	}
}

// replacementSeeds are played at least: one run draws but some of the pairs of faults.
const replacementSeeds = 20

// The control side with core replacement beside all other faults, as many lost at a
// time as a deployment survives: what operators were told lasts and is in force in
// time, also where an answer was lost and the order came again by another door.
func TestControlSideUnderReplacement(test *testing.T) {
	count := max(*seeds, replacementSeeds)
	if raced {
		count = *seeds
	}
	eachOf(test, count, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, []int{3, 5, 3, 5, 4}[seed%5])
		side := world.Control()
		side.losesAnswers = true
		defer world.CloseRegional()
		world.farUp(test, 6)
		world.Sleep(contactSpan)
		side.begin()
		losses := world.NewLossBudget(syncSpan)
		hard, links := &replacer{
			side.injector(0, ReplacementFaults, SurvivedCoreFaults),
		}, side.injector(
			1,
			SideLinkFaults,
			SurvivedLinkFaults,
		)
		hard.losses, links.losses = losses, losses
		ended := atomic.Bool{}
		world.goroutines.Start(func() {
			links.Run(2 * chaosSpan())
			ended.Store(true)
		})
		hard.Run(2 * chaosSpan())
		world.Until(time.Minute, ended.Load)
		world.Sleep(contactSpan + inForceSpan)
		if !side.stop(60 * time.Second) {
			test.Fatal("operators have no answer")
		}
		side.judge(test)
		test.Logf(
			"%d cores, %d removed, faults %v, beside them %v",
			len(world.Cores),
			len(world.Removed),
			hard.chaos.Injected,
			links.chaos.Injected,
		)
		world.report(test)
	})
}
