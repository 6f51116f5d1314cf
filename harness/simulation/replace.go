package simulation

import (
	"fmt"
	"slices"
	"time"
)

// seedCount is how many seeds a process is told.
const seedCount = 3

// AddCore starts a core more, on a new machine at a new address with an empty
// disk; its seeds are those that the operators' list holds now.
func (world *World) AddCore(region int) int {
	machine := world.newcomer(region, world.operatorSeeds())
	world.mutex.Lock()
	index := len(world.Cores)
	world.Cores = append(world.Cores, machine)
	world.mutex.Unlock()
	world.start(machine)
	return index
}

// newcomer lays out a machine that was not there at the founding.
func (world *World) newcomer(region int, seeds []string) *Core {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.laidOut++
	id := world.laidOut
	machine := newCore(id, fmt.Sprintf("10.%d.2.%d", 10*region, id), NewDisk(world.Seed+uint64(id)*31))
	machine.Seeds, machine.wiped = seeds, true
	return machine
}

// operatorSeeds are three machines of the operators' list as it was before
// anything of it ended: it lags, so that it may name dead machines, but not only such.
func (world *World) operatorSeeds() []string {
	machines := world.machines()
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.replacing.Shuffle(len(machines), func(left, right int) { machines[left], machines[right] = machines[right], machines[left] })
	seeds := machines[:min(seedCount, len(machines))]
	if !slices.ContainsFunc(seeds, func(machine *Core) bool { return !machine.gone }) {
		if alive := slices.IndexFunc(machines, func(machine *Core) bool { return !machine.gone }); alive >= 0 {
			seeds[0] = machines[alive]
		}
	}
	return wires(seeds)
}

func wires(machines []*Core) []string {
	addresses := []string{}
	for _, machine := range machines {
		addresses = append(addresses, machine.InternalAddress)
	}
	return addresses
}

// TurnSeeds names other seeds to all processes that start from now on.
func (world *World) TurnSeeds(seeds ...string) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.Seeds = append([]string{}, seeds...)
	for _, machine := range world.Cores {
		machine.Seeds = world.Seeds
	}
	for _, one := range world.Members {
		one.Seeds = world.Seeds
	}
}

// LoseCore ends a machine for good: its connections hang, and its disk is lost
// but for what ReturnRemoved gives back.
func (world *World) LoseCore(index int) *Core {
	machine := world.machine(index)
	world.vanish(machine)
	return machine
}

func (world *World) vanish(machine *Core) {
	vanish := func(host string) { world.Net.Vanish(host, true) }
	world.end(machine, true, vanish)
	vanish(machine.Host)
	world.mutex.Lock()
	machine.gone = true
	world.mutex.Unlock()
}

// ReplaceCore loses a machine for good; an empty one starts the gap later at
// another address and takes its index.
func (world *World) ReplaceCore(index int, gap time.Duration) *Core {
	seeds := world.operatorSeeds()
	world.LoseCore(index)
	world.Rest(gap)
	return world.Fill(index, seeds)
}

// Fill starts an empty machine at another address in the place of one that is
// gone or about to leave. No seeds given: those of the operators' list.
func (world *World) Fill(index int, seeds []string) *Core {
	former := world.machine(index)
	if seeds == nil {
		seeds = world.operatorSeeds()
	}
	machine := world.newcomer(former.region(), seeds)
	world.mutex.Lock()
	world.Removed = append(world.Removed, former)
	world.Cores[index] = machine
	world.mutex.Unlock()
	world.start(machine)
	return machine
}

// ReplaceCorePlanned starts the new machine first; the gap later the old one gets
// SIGTERM, and does not come back.
func (world *World) ReplaceCorePlanned(index int, gap time.Duration) (leaving, newcomer *Core) {
	leaving = world.machine(index)
	newcomer = world.Fill(index, nil)
	world.Rest(gap)
	world.Leave(leaving)
	return leaving, newcomer
}

// Leave ends a machine by SIGTERM, for good.
func (world *World) Leave(machine *Core) {
	world.term(machine)
	world.vanish(machine)
}

// ReturnRemoved starts a machine that was removed, with its old disk and seeds.
func (world *World) ReturnRemoved(index int) *Core {
	world.mutex.Lock()
	machine := world.Removed[index]
	machine.gone = false
	machine.returned = true
	world.mutex.Unlock()
	world.Net.Vanish(machine.Host, false)
	world.start(machine)
	return machine
}

// removed are the machines that were replaced, the first one first.
func (world *World) removed() []*Core {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return append([]*Core{}, world.Removed...)
}

// region is the number of the region that a far core stands in.
func (machine *Core) region() int {
	region := 0
	if _, err := fmt.Sscanf(machine.Host, "10.%d.", &region); err != nil {
		panic(fmt.Sprintf("%s is no far core's host: %v", machine.Host, err))
	}
	return region / 10
}
