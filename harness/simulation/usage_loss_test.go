package simulation

import (
	"testing"
	"time"
)

// maxUnreplicated is the longest time for which a count may exist on one machine only.
const maxUnreplicated = 600 * time.Millisecond

// usageLoss is a simultaneous loss of processes while usage is counted.
type usageLoss struct {
	name string
	// inject ends processes, given the leader's index; load generates requests.
	inject func(world *World, leader int, load func(time.Duration))
}

// usageLosses are the losses that every count older than maxUnreplicated must survive.
func usageLosses() []usageLoss {
	powerOff := func(world *World) {
		for _, machine := range world.machines() {
			world.stopProcess(machine, true, func(host string) { world.Net.Blackhole(host, true) })
			world.Net.Blackhole(machine.Host, true)
		}
		for _, member := range world.Members {
			world.PowerOffMember(member)
		}
	}
	return []usageLoss{
		{"leader and half of the daemons", func(world *World, leader int, _ func(time.Duration)) {
			world.KillCore(leader, true)
			for index, member := range world.Members {
				if index%2 == 0 {
					world.KillMember(member)
				}
			}
		}},
		{"half of the daemons, then the leader", func(world *World, leader int, _ func(time.Duration)) {
			for index, member := range world.Members {
				if index%2 == 1 {
					world.KillMember(member)
				}
			}
			world.Sleep(300 * time.Millisecond)
			world.KillCore(leader, false)
		}},
		{"the leader's power, then half of the daemons before the next election", func(world *World, leader int, load func(time.Duration)) {
			host := world.Cores[leader].Host
			world.stopProcess(world.Cores[leader], true, func(host string) { world.Net.Blackhole(host, true) })
			world.Net.Blackhole(host, true)
			load(300 * time.Millisecond)
			world.Sleep(maxUnreplicated)
			for index, member := range world.Members {
				if index%2 == 1 {
					world.KillMember(member)
				}
			}
		}},
		{"all daemons and all cores killed", func(world *World, _ int, _ func(time.Duration)) { world.killAll(false, true) }},
		{"power of all machines", func(world *World, _ int, _ func(time.Duration)) { powerOff(world) }},
		{"power of all machines, and the leader's disk", func(world *World, leader int, _ func(time.Duration)) {
			powerOff(world)
			world.WipeCore(leader)
		}},
		{"power of all machines, and the disks of a minority of cores", func(world *World, leader int, _ func(time.Duration)) {
			powerOff(world)
			for offset := 1; offset <= len(world.Cores)/2; offset++ {
				world.WipeCore((leader + offset) % len(world.Cores))
			}
		}},
	}
}

// startAllExcept starts everything except one core; -1 excepts none.
func (world *World) startAllExcept(away int) {
	for index, machine := range world.machines() {
		world.Net.Blackhole(machine.Host, false)
		if index != away {
			world.startMachine(machine)
		}
	}
	for _, member := range world.Members {
		if !member.Alive {
			world.StartMember(member)
		}
	}
}

// Processes with usage counts end together with the core that they report to, at a random
// moment of a window. Every window is reported with one correct result; only counts of the last
// maxUnreplicated before the loss may be missing.
func TestUsageSurvivesLossOfItsHolders(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for number, loss := range usageLosses() {
			world := NewRegionalWorld(seed, 3+2*int(seed%2))
			collector := newUsageCollector(world)
			collector.reliable = true
			world.startRegional(test, 6)
			load := func(span time.Duration) { collector.generateLoad(span, 10*time.Millisecond) }
			load(12 * time.Second)
			first := time.Now().UnixMilli()/collector.windowMs - 1
			load(time.Duration(seed*367%5000+uint64(number)*977%5000) * time.Millisecond)
			world.Sleep(maxUnreplicated)
			leader, down := world.waitStable(test), -1
			loss.inject(world, leader, load)
			if number == 0 {
				down = leader
			}
			world.Sleep(time.Duration(300+seed*53%900) * time.Millisecond)
			world.startAllExcept(down)
			load(15 * time.Second)
			world.startAllExcept(-1)
			load(15 * time.Second)
			before := len(world.Violations)
			collector.checkWindows(first, time.Now().UnixMilli()/collector.windowMs-4, 10_000, 0.05)
			for index := range world.Violations[before:] {
				world.Violations[before+index] = loss.name + ": " + world.Violations[before+index]
			}
			world.reportFailures(test)
			world.CloseRegional()
		}
	})
}
