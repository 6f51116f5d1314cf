package simulation

import (
	"math/rand/v2"
	"time"
)

// RandomFaults injects faults into cores for a while, one draw after another, and heals each.
type RandomFaults struct {
	world  *World
	random *rand.Rand
	Done   map[string]int
}

// RandomFaults returns an injector of the faults of cores, drawn by the world's seed.
func (world *World) RandomFaults() *RandomFaults {
	return &RandomFaults{world: world, random: rand.New(rand.NewPCG(world.Seed, 23)), Done: map[string]int{}}
}

// CoreFaults are the kinds of faults there are.
var CoreFaults = []string{
	"kill",
	"power",
	"term",
	"freeze",
	"cut",
	"one-way",
	"stall",
	"wipe",
	"all",
	"faults",
	"kill-leader",
	"alone",
	"stale-leader-lost",
	"stale-disk-lost",
	"refuse",
	"full",
	"refuse-restart",
}

func (faults *RandomFaults) span(least, most time.Duration) time.Duration {
	return least + time.Duration(faults.random.Int64N(int64(most-least)))
}

// Run draws faults for the span; every one is healed before the next but one.
func (faults *RandomFaults) Run(span time.Duration) {
	world := faults.world
	for until := time.Now().Add(span); time.Now().Before(until); {
		faults.Inject(CoreFaults[faults.random.IntN(len(CoreFaults))], faults.random.IntN(len(world.machines())))
		world.Rest(faults.span(100*time.Millisecond, 1500*time.Millisecond))
	}
}

// Inject brings one fault about and heals it.
func (faults *RandomFaults) Inject(kind string, index int) {
	world := faults.world
	machines := world.machines()
	machine := machines[index]
	other := machines[(index+1+faults.random.IntN(len(machines)-1))%len(machines)]
	faults.Done[kind]++
	switch kind {
	case "kill", "power":
		faults.restart(machine, kind == "power", 1200*time.Millisecond)
	case "kill-leader":
		if leader := world.Leader(); leader >= 0 {
			faults.restart(machines[leader], true, 900*time.Millisecond)
		}
	case "term":
		world.term(machine)
		world.Rest(faults.span(10*time.Millisecond, 500*time.Millisecond))
		world.start(machine)
	case "freeze":
		faults.during(func(on bool) { world.Net.Freeze(machine.Host, on) })
	case "cut":
		faults.during(func(on bool) { world.Net.Cut(machine.Host, other.Host, on) })
	case "one-way":
		faults.during(func(on bool) { world.Net.CutOneWay(machine.Host, other.Host, on) })
	case "reset":
		world.Net.Reset(machine.Host, other.Host)
	case "stall":
		machine.Disk.Stall(true)
		world.Rest(faults.span(50*time.Millisecond, 1200*time.Millisecond))
		machine.Disk.Stall(false)
	case "refuse", "full", "refuse-restart":
		if leader := world.Leader(); leader >= 0 && faults.random.IntN(2) == 0 {
			machine = machines[leader%len(machines)]
		}
		faults.refuse(kind, machine)
	case "wipe":
		world.wipe(machine)
		world.Rest(faults.span(10*time.Millisecond, 800*time.Millisecond))
		world.start(machine)
		world.Until(10*time.Second, func() bool { return machine.Core.CanVote() })
	case "all":
		for _, each := range machines {
			world.kill(each, true)
		}
		world.Rest(faults.span(10*time.Millisecond, 500*time.Millisecond))
		for _, each := range machines {
			world.start(each)
		}
	case "alone":
		if leader := world.Leader(); leader >= 0 {
			machine = machines[leader]
		}
		faults.during(func(on bool) { world.isolateMachine(machine, on) })
	case "stale-leader-lost", "stale-disk-lost":
		faults.staleMember(kind == "stale-disk-lost")
	case "faults":
		world.Net.Faults(Faults{LoseAsked: 60, LoseTold: 60, Twice: 100, SlowMs: 30})
		world.Rest(faults.span(500*time.Millisecond, 2*time.Second))
		world.Net.Faults(Faults{})
	}
}

// during turns a fault of the network on, and off again.
func (faults *RandomFaults) during(turn func(on bool)) {
	turn(true)
	faults.world.Rest(faults.span(50*time.Millisecond, 1500*time.Millisecond))
	turn(false)
}

func (faults *RandomFaults) restart(machine *Core, power bool, most time.Duration) {
	faults.world.kill(machine, power)
	faults.world.Rest(faults.span(10*time.Millisecond, most))
	faults.world.start(machine)
}

// staleMember kills the leader, and empties another's disk if wanted, while a third
// one has missed what they acknowledged.
func (faults *RandomFaults) staleMember(wiped bool) {
	world, leader := faults.world, faults.world.Leader()
	if leader < 0 {
		return
	}
	count := len(world.Cores)
	stale := (leader + 1) % count
	world.isolate(stale, true)
	world.Rest(faults.span(400*time.Millisecond, 1200*time.Millisecond))
	lost := (leader + 2) % count
	world.KillCore(leader, true)
	if wiped {
		world.WipeCore(lost)
		world.StartCore(lost)
	}
	world.isolate(stale, false)
	world.Until(4*time.Second, func() bool { return world.Leader() >= 0 })
	world.Rest(faults.span(10*time.Millisecond, 500*time.Millisecond))
	world.StartCore(leader)
	world.Until(10*time.Second, func() bool { return world.Cores[lost].Core.CanVote() })
}

// refuse makes a core's disk refuse what it is asked to keep for a while, at times
// over a restart; the core goes on by itself.
func (faults *RandomFaults) refuse(kind string, machine *Core) {
	world := faults.world
	trouble := func() {
		if kind == "full" {
			machine.Disk.Room(max(1, machine.Disk.Used()))
		} else {
			machine.Disk.Refuse(
				[]Refusal{{Writes: true}, {Syncs: true}, {Names: true}, {Writes: true, Syncs: true, Names: true}}[faults.random.IntN(4)],
			)
		}
	}
	trouble()
	world.Rest(faults.span(50*time.Millisecond, 2*time.Second))
	if kind == "refuse-restart" {
		world.kill(machine, faults.random.IntN(2) == 0)
		trouble()
		world.start(machine)
		world.Rest(faults.span(50*time.Millisecond, 2*time.Second))
	}
	machine.Disk.Refuse(Refusal{})
	machine.Disk.Room(0)
	if !world.Until(10*time.Second, func() bool { return machine.Core.CanVote() }) {
		world.broke("core %d does not vote again, its disk takes writes", machine.ID)
	}
}

// isolate cuts a core off from the other cores, not from the daemons.
func (world *World) isolate(index int, cut bool) { world.isolateMachine(world.machine(index), cut) }

// isolateMachine cuts also those off that were removed: they may return.
func (world *World) isolateMachine(machine *Core, cut bool) {
	for _, other := range world.everyMachine() {
		if other != machine {
			world.Net.Cut(machine.Host, other.Host, cut)
		}
	}
}

// everyMachine is all that ever was a core machine.
func (world *World) everyMachine() []*Core {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return append(append([]*Core{}, world.Cores...), world.Removed...)
}
