package simulation

import (
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

// replacementFaults are the control plane's faults and core replacements. Kinds that occur
// more than once are drawn more often.
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

// toleratedCoreFaults and toleratedLinkFaults lose no more than a deployment tolerates.
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

// replacementInjector injects core replacements in addition to all other faults.
type replacer struct{ *Injector }

// Inject causes one fault and heals it.
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

// Run injects random faults for the span; two of three are followed by a pause.
func (side *replacer) Run(span time.Duration) {
	for until := time.Now().Add(span); time.Now().Before(until); {
		kind := side.kinds[side.random.IntN(len(side.kinds))]
		side.chaos.Done[kind]++
		side.Inject(kind)
		if side.random.IntN(3) > 0 {
			side.world.Rest(side.span(200, 6000))
		}
	}
}

// replace loses cores permanently and starts empty ones some time later.
func (side *replacer) replace(indexes []int) {
	side.lose(indexes, nil, func() {
		seeds := side.world.operatorSeeds()
		for _, index := range indexes {
			side.world.LoseCore(index)
		}
		side.world.Rest(side.span(300, 2500))
		for _, index := range indexes {
			side.world.Fill(index, seeds)
		}
	})
	side.turnSeeds()
}

// replacePlanned starts a new core, then stops the old one permanently.
func (side *replacer) replacePlanned(index int) {
	side.lose([]int{index}, nil, func() {
		leaving := side.world.machine(index)
		side.world.Fill(index, nil)
		side.world.Rest(side.span(50, 2000))
		side.world.Leave(leaving)
	})
	side.turnSeeds()
}

// allDownReplacing cuts the power of all cores while one is being replaced.
func (side *replacer) allDownReplacing(index int) {
	world := side.world
	side.lose(side.every(), nil, func() {
		seeds := world.operatorSeeds()
		world.LoseCore(index)
		world.Rest(side.span(300, 2500))
		world.Fill(index, seeds)
		world.Rest(side.span(10, 2000))
		world.killAll(true, side.random.IntN(2) == 0)
		world.Rest(side.span(10, 1000))
		world.startAll()
	})
	side.turnSeeds()
}

// returnRemoved starts a removed core that is no voter any more with its old disk, and ends it
// after 0.5 to 9 s.
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
	side.world.Rest(side.span(500, 9000))
	side.world.vanish(machine)
}

// isVoter reports whether any disk of the deployment lists a machine as a voter.
func (world *World) hasSeat(machine *Core) bool {
	for _, disk := range world.voterDisks() {
		if slices.Contains(seats(disk), machine.InternalAddress) {
			return true
		}
	}
	return false
}

// refreshSeeds makes three current cores the seeds of all processes started from now on.
func (side *replacer) turnSeeds() {
	side.world.TurnSeeds(side.world.operatorSeeds()...)
}

// cutOff cuts a core's outgoing links, incoming links or both to the other cores, for 2 to 20 s.
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
	side.lose([]int{index}, nil, func() {
		turn(true)
		world.Rest(side.span(2000, 20000))
		turn(false)
	})
}

// roll restarts the cores one after the other.
func (side *replacer) roll() {
	for index := range side.world.Cores {
		machine := side.world.machine(index)
		side.lose([]int{index}, nil, func() {
			side.world.term(machine)
			side.world.Rest(side.span(50, 1500))
			side.world.start(machine)
		})
	}
}

// minReplacementSeeds is the least number of seeds, as one run covers only some pairs of faults.
const replacementSeeds = 20

// Core replacements and all other faults hit the control plane, never more at a time than a
// deployment tolerates: acknowledged orders last and come into force in time, also if an answer
// was lost and the order was resent through another daemon.
func TestControlSideUnderReplacement(test *testing.T) {
	count := max(*seeds, replacementSeeds)
	if raced {
		count = *seeds
	}
	eachOf(test, count, func(test *testing.T, seed uint64) {
		world := NewFarWorld(seed, []int{3, 5, 3, 5, 4}[seed%5])
		side := world.Control()
		side.losesAnswers = true
		defer world.CloseFar()
		world.farUp(test, 6)
		world.Rest(contactSpan)
		side.begin()
		losses := world.Losses(syncSpan)
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
		world.Rest(contactSpan + inForceSpan)
		if !side.stop(60 * time.Second) {
			test.Fatal("operators have no final answer after 60 s")
		}
		side.judge(test)
		test.Logf(
			"%d cores, %d removed, faults %v, link faults %v",
			len(world.Cores),
			len(world.Removed),
			hard.chaos.Done,
			links.chaos.Done,
		)
		world.report(test)
	})
}
