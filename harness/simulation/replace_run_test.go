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
}, ControlFaults...)

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
		side.randomFaults.Done[kind]++
		side.Inject(kind)
		if side.random.IntN(3) > 0 {
			side.world.Rest(side.randomDuration(200, 6000))
		}
	}
}

// replace loses cores for good; empty ones come a while later.
func (side *replacer) replace(indexes []int) {
	side.duringLoss(indexes, nil, func() {
		seeds := side.world.operatorSeeds()
		for _, index := range indexes {
			side.world.LoseCore(index)
		}
		side.world.Rest(side.randomDuration(300, 2500))
		for _, index := range indexes {
			side.world.Fill(index, seeds)
		}
	})
	side.turnSeeds()
}

// replacePlanned starts a new core, then stops the old one for good.
func (side *replacer) replacePlanned(index int) {
	side.duringLoss([]int{index}, nil, func() {
		leaving := side.world.machine(index)
		side.world.Fill(index, nil)
		side.world.Rest(side.randomDuration(50, 2000))
		side.world.Leave(leaving)
	})
	side.turnSeeds()
}

// allDownReplacing takes the power from all cores while one is replaced.
func (side *replacer) allDownReplacing(index int) {
	world := side.world
	side.duringLoss(side.allCores(), nil, func() {
		seeds := world.operatorSeeds()
		world.LoseCore(index)
		world.Rest(side.randomDuration(300, 2500))
		world.Fill(index, seeds)
		world.Rest(side.randomDuration(10, 2000))
		world.killAll(true, side.random.IntN(2) == 0)
		world.Rest(side.randomDuration(10, 1000))
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
	side.world.Rest(side.randomDuration(500, 9000))
	side.world.vanish(machine)
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
	side.world.TurnSeeds(side.world.operatorSeeds()...)
}

// cutOff cuts a core from all others and from the members, for 20 s at most.
func (side *replacer) cutOff(index int, from, to bool) {
	world, machine := side.world, side.world.machine(index)
	hosts := []string{}
	for _, other := range world.everyMachine() {
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
	side.duringLoss([]int{index}, nil, func() {
		turn(true)
		world.Rest(side.randomDuration(2000, 20000))
		turn(false)
	})
}

// roll stops and starts each core in turn.
func (side *replacer) roll() {
	for index := range side.world.Cores {
		machine := side.world.machine(index)
		side.duringLoss([]int{index}, nil, func() {
			side.world.term(machine)
			side.world.Rest(side.randomDuration(50, 1500))
			side.world.start(machine)
		})
	}
}

// replacementSeeds are played at least: one run draws but some of the pairs of faults.
const replacementSeeds = 20

// The control side with core replacement beside all other faults, as many lost at a
// time as a deployment survives: what operators were told lasts and is in force in
// time, also where an answer was lost and the order came again by another door.
func TestControlSideUnderReplacement(test *testing.T) {
	count := max(*seedsPerTest, replacementSeeds)
	if raced {
		count = *seedsPerTest
	}
	forSeeds(test, count, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, []int{3, 5, 3, 5, 4}[seed%5])
		side := world.newControlChecker()
		side.resendsAcknowledged = true
		defer world.CloseFar()
		world.farUp(test, 6)
		world.Rest(settleTime)
		side.start()
		losses := world.Losses(syncSpan)
		hard, links := &replacer{
			side.newInjector(0, ReplacementFaults, SurvivedCoreFaults),
		}, side.newInjector(
			1,
			ControlLinkFaults,
			SurvivedLinkFaults,
		)
		hard.losses, links.losses = losses, losses
		ended := atomic.Bool{}
		world.goroutines.Start(func() {
			links.Run(2 * faultDuration())
			ended.Store(true)
		})
		hard.Run(2 * faultDuration())
		world.Until(time.Minute, ended.Load)
		world.Rest(settleTime + propagationLimit)
		if !side.stop(60 * time.Second) {
			test.Fatal("operators have no answer")
		}
		side.checkRequests(test)
		test.Logf(
			"%d cores, %d removed, faults %v, beside them %v",
			len(world.Cores),
			len(world.Removed),
			hard.randomFaults.Done,
			links.randomFaults.Done,
		)
		world.reportFailures(test)
	})
}
