package simulation

import (
	"math/rand/v2"
	"time"
)

// RandomFaults injects randomly chosen faults into cores and heals each.
type RandomFaults struct {
	world    *World
	random   *rand.Rand
	Injected map[string]int
}

// NewRandomFaults returns an injector of core faults that follows the world's seed.
func (world *World) NewRandomFaults() *RandomFaults {
	return &RandomFaults{world: world, random: rand.New(rand.NewPCG(world.Seed, 23)), Injected: map[string]int{}}
}

// CoreFaults are the kinds of faults that RandomFaults.Run chooses from.
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

func (faults *RandomFaults) randomSpan(minimum, maximum time.Duration) time.Duration {
	return minimum + time.Duration(faults.random.Int64N(int64(maximum-minimum)))
}

// Run injects random faults, one after another, until the span is over.
func (faults *RandomFaults) Run(span time.Duration) {
	world := faults.world
	for until := time.Now().Add(span); time.Now().Before(until); {
		faults.Inject(CoreFaults[faults.random.IntN(len(CoreFaults))], faults.random.IntN(len(world.machines())))
		world.Sleep(faults.randomSpan(100*time.Millisecond, 1500*time.Millisecond))
	}
}

// Inject injects one fault and heals it.
func (faults *RandomFaults) Inject(kind string, index int) {
	world := faults.world
	machines := world.machines()
	machine := machines[index]
	other := machines[(index+1+faults.random.IntN(len(machines)-1))%len(machines)]
	faults.Injected[kind]++
	switch kind {
	case "kill", "power":
		faults.restart(machine, kind == "power", 1200*time.Millisecond)
	case "kill-leader":
		if leader := world.Leader(); leader >= 0 {
			faults.restart(machines[leader], true, 900*time.Millisecond)
		}
	case "term":
		world.terminate(machine)
		world.Sleep(faults.randomSpan(10*time.Millisecond, 500*time.Millisecond))
		world.startMachine(machine)
	case "freeze":
		faults.whileOn(func(on bool) { world.Net.Freeze(machine.Host, on) })
	case "cut":
		faults.whileOn(func(on bool) { world.Net.Cut(machine.Host, other.Host, on) })
	case "one-way":
		faults.whileOn(func(on bool) { world.Net.CutOneWay(machine.Host, other.Host, on) })
	case "reset":
		world.Net.Reset(machine.Host, other.Host)
	case "stall":
		machine.Disk.Stall(true)
		world.Sleep(faults.randomSpan(50*time.Millisecond, 1200*time.Millisecond))
		machine.Disk.Stall(false)
	case "refuse", "full", "refuse-restart":
		if leader := world.Leader(); leader >= 0 && faults.random.IntN(2) == 0 {
			machine = machines[leader%len(machines)]
		}
		faults.refuseDiskCalls(kind, machine)
	case "wipe":
		world.wipeMachine(machine)
		world.Sleep(faults.randomSpan(10*time.Millisecond, 800*time.Millisecond))
		world.startMachine(machine)
		world.Until(10*time.Second, func() bool { return machine.Core.CanVote() })
	case "all":
		for _, each := range machines {
			world.killMachine(each, true)
		}
		world.Sleep(faults.randomSpan(10*time.Millisecond, 500*time.Millisecond))
		for _, each := range machines {
			world.startMachine(each)
		}
	case "alone":
		if leader := world.Leader(); leader >= 0 {
			machine = machines[leader]
		}
		faults.whileOn(func(on bool) { world.isolateMachine(machine, on) })
	case "stale-leader-lost", "stale-disk-lost":
		faults.loseLeaderWithStaleMember(kind == "stale-disk-lost")
	case "faults":
		world.Net.SetMessageFaults(MessageFaults{RequestLoss: 60, ResponseLoss: 60, Duplicate: 100, MaxDelayMs: 30})
		world.Sleep(faults.randomSpan(500*time.Millisecond, 2*time.Second))
		world.Net.SetMessageFaults(MessageFaults{})
	}
}

// whileOn turns a fault on for a random time.
func (faults *RandomFaults) whileOn(set func(on bool)) {
	set(true)
	faults.world.Sleep(faults.randomSpan(50*time.Millisecond, 1500*time.Millisecond))
	set(false)
}

func (faults *RandomFaults) restart(machine *Core, powerLoss bool, maximum time.Duration) {
	faults.world.killMachine(machine, powerLoss)
	faults.world.Sleep(faults.randomSpan(10*time.Millisecond, maximum))
	faults.world.startMachine(machine)
}

// loseLeaderWithStaleMember kills the leader, and optionally wipes another core's disk, while
// a third core has missed what they acknowledged.
func (faults *RandomFaults) loseLeaderWithStaleMember(wiped bool) {
	world, leader := faults.world, faults.world.Leader()
	if leader < 0 {
		return
	}
	count := len(world.Cores)
	stale := (leader + 1) % count
	world.isolateCore(stale, true)
	world.Sleep(faults.randomSpan(400*time.Millisecond, 1200*time.Millisecond))
	lost := (leader + 2) % count
	world.KillCore(leader, true)
	if wiped {
		world.WipeCore(lost)
		world.StartCore(lost)
	}
	world.isolateCore(stale, false)
	world.Until(4*time.Second, func() bool { return world.Leader() >= 0 })
	world.Sleep(faults.randomSpan(10*time.Millisecond, 500*time.Millisecond))
	world.StartCore(leader)
	world.Until(10*time.Second, func() bool { return world.Cores[lost].Core.CanVote() })
}

// refuseDiskCalls makes a core's disk fail for a while, with "refuse-restart" also across a
// restart. The core must then recover without another restart.
func (faults *RandomFaults) refuseDiskCalls(kind string, machine *Core) {
	world := faults.world
	impair := func() {
		if kind == "full" {
			machine.Disk.SetCapacity(max(1, machine.Disk.Used()))
		} else {
			machine.Disk.SetFaults(
				[]DiskFaults{{Writes: true}, {Syncs: true}, {Names: true}, {Writes: true, Syncs: true, Names: true}}[faults.random.IntN(4)],
			)
		}
	}
	impair()
	world.Sleep(faults.randomSpan(50*time.Millisecond, 2*time.Second))
	if kind == "refuse-restart" {
		world.killMachine(machine, faults.random.IntN(2) == 0)
		impair()
		world.startMachine(machine)
		world.Sleep(faults.randomSpan(50*time.Millisecond, 2*time.Second))
	}
	machine.Disk.SetFaults(DiskFaults{})
	machine.Disk.SetCapacity(0)
	if !world.Until(10*time.Second, func() bool { return machine.Core.CanVote() }) {
		world.reportViolation("core %d cannot vote 10 s after its disk recovered", machine.ID)
	}
}

// isolateCore cuts a core off from the other cores, not from the daemons.
func (world *World) isolateCore(index int, cut bool) { world.isolateMachine(world.machine(index), cut) }

// isolateMachine also cuts the links to removed machines, since they may return.
func (world *World) isolateMachine(machine *Core, cut bool) {
	for _, other := range world.allMachines() {
		if other != machine {
			world.Net.Cut(machine.Host, other.Host, cut)
		}
	}
}

// allMachines returns the current and the replaced core machines.
func (world *World) allMachines() []*Core {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return append(append([]*Core{}, world.Cores...), world.Removed...)
}
