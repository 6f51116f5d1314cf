package simulation

import (
	"testing"
	"time"
)

// unflushed is the longest time for which a count may be known to one machine alone.
const unflushed = 600 * time.Millisecond

// usageLoss is what ends all at once while usage is counted.
type usageLoss struct {
	name string
	// strike ends processes, with the leader at an index. Load has requests begin.
	strike func(world *World, leader int, load func(time.Duration))
}

// usageLosses are the losses that no count may be lost by, once it is older than unflushed.
func usageLosses() []usageLoss {
	powerOff := func(world *World) {
		for _, machine := range world.machines() {
			world.stopProcess(machine, true, func(host string) { world.Net.Blackhole(host, true) })
			world.Net.Blackhole(machine.Host, true)
		}
		for _, one := range world.Members {
			world.PowerOffMember(one)
		}
	}
	return []usageLoss{
		{"leader and half of those that reported to it", func(world *World, leader int, _ func(time.Duration)) {
			world.KillCore(leader, true)
			for index, one := range world.Members {
				if index%2 == 0 {
					world.KillMember(one)
				}
			}
		}},
		{"half of the daemons, then the leader", func(world *World, leader int, _ func(time.Duration)) {
			for index, one := range world.Members {
				if index%2 == 1 {
					world.KillMember(one)
				}
			}
			world.Sleep(300 * time.Millisecond)
			world.KillCore(leader, false)
		}},
		{"the leader's power, then half of the daemons before there is another", func(world *World, leader int, load func(time.Duration)) {
			host := world.Cores[leader].Host
			world.stopProcess(world.Cores[leader], true, func(host string) { world.Net.Blackhole(host, true) })
			world.Net.Blackhole(host, true)
			load(300 * time.Millisecond)
			world.Sleep(unflushed)
			for index, one := range world.Members {
				if index%2 == 1 {
					world.KillMember(one)
				}
			}
		}},
		{"all daemons and all cores killed", func(world *World, _ int, _ func(time.Duration)) { world.killAll(false, true) }},
		{"all power", func(world *World, _ int, _ func(time.Duration)) { powerOff(world) }},
		{"all power, and the leader's disk", func(world *World, leader int, _ func(time.Duration)) {
			powerOff(world)
			world.WipeCore(leader)
		}},
		{"all power, and the disks of as many others as may be lost", func(world *World, leader int, _ func(time.Duration)) {
			powerOff(world)
			for offset := 1; offset <= len(world.Cores)/2; offset++ {
				world.WipeCore((leader + offset) % len(world.Cores))
			}
		}},
	}
}

// returnFrom starts everything but a core that stays away.
func (world *World) returnFrom(away int) {
	for index, machine := range world.machines() {
		world.Net.Blackhole(machine.Host, false)
		if index != away {
			world.startMachine(machine)
		}
	}
	for _, one := range world.Members {
		if !one.Alive {
			world.StartMember(one)
		}
	}
}

// Processes that counted end together with the core that they reported to, at any moment
// of a window. Every window is reported once and right; only what was counted within
// unflushed before the loss may lack.
func TestUsageOutlivesThoseThatKnewIt(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for number, loss := range usageLosses() {
			world := NewRegionalWorld(seed, 3+2*int(seed%2))
			meters := newMeters(world)
			meters.sure = true
			world.farUp(test, 6)
			load := func(span time.Duration) { meters.load(span, 10*time.Millisecond) }
			load(12 * time.Second)
			first := time.Now().UnixMilli()/meters.span - 1
			load(time.Duration(seed*367%5000+uint64(number)*977%5000) * time.Millisecond)
			world.Sleep(unflushed)
			leader, away := world.calm(test), -1
			loss.strike(world, leader, load)
			if number == 0 {
				away = leader
			}
			world.Sleep(time.Duration(300+seed*53%900) * time.Millisecond)
			world.returnFrom(away)
			load(15 * time.Second)
			world.returnFrom(-1)
			load(15 * time.Second)
			before := len(world.Violations)
			meters.judge(first, time.Now().UnixMilli()/meters.span-4, 10_000, 0.05)
			for index := range world.Violations[before:] {
				world.Violations[before+index] = loss.name + ": " + world.Violations[before+index]
			}
			world.report(test)
			world.CloseRegional()
		}
	})
}
