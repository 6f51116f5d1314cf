package simulation

import (
	"fmt"
	"slices"
	"time"
)

// seedCount is the number of seeds in a process's settings.
const seedCount = 3

// AddCore starts an additional core on a new machine with a new address and an empty disk.
// Its seeds come from the operators' current list.
func (world *World) AddCore(region int) int {
	machine := world.newMachine(region, world.operatorSeeds())
	world.mutex.Lock()
	index := len(world.Cores)
	world.Cores = append(world.Cores, machine)
	world.mutex.Unlock()
	world.startMachine(machine)
	return index
}

// newMachine returns a machine that was not part of the initial deployment.
func (world *World) newMachine(region int, seeds []string) *Core {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.machinesCreated++
	id := world.machinesCreated
	machine := newCore(id, fmt.Sprintf("10.%d.2.%d", 10*region, id), NewDisk(world.Seed+uint64(id)*31))
	machine.Seeds, machine.emptyDisk = seeds, true
	return machine
}

// operatorSeeds returns three random machines of the operators' list. The list is outdated:
// it may name removed machines, but not only those.
func (world *World) operatorSeeds() []string {
	machines := world.machines()
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.operatorRandom.Shuffle(len(machines), func(left, right int) { machines[left], machines[right] = machines[right], machines[left] })
	seeds := machines[:min(seedCount, len(machines))]
	if !slices.ContainsFunc(seeds, func(machine *Core) bool { return !machine.removedForGood }) {
		if alive := slices.IndexFunc(machines, func(machine *Core) bool { return !machine.removedForGood }); alive >= 0 {
			seeds[0] = machines[alive]
		}
	}
	return internalAddresses(seeds)
}

func internalAddresses(machines []*Core) []string {
	addresses := []string{}
	for _, machine := range machines {
		addresses = append(addresses, machine.InternalAddress)
	}
	return addresses
}

// SetSeeds replaces the seeds in the settings of all processes that start from now on.
func (world *World) SetSeeds(seeds ...string) {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	world.Seeds = append([]string{}, seeds...)
	for _, machine := range world.Cores {
		machine.Seeds = world.Seeds
	}
	for _, member := range world.Members {
		member.Seeds = world.Seeds
	}
}

// LoseCore permanently removes a machine: its connections hang, and its disk is lost unless
// ReturnRemoved brings it back.
func (world *World) LoseCore(index int) *Core {
	machine := world.machine(index)
	world.removeForGood(machine)
	return machine
}

func (world *World) removeForGood(machine *Core) {
	blackhole := func(host string) { world.Net.Blackhole(host, true) }
	world.stopProcess(machine, true, blackhole)
	blackhole(machine.Host)
	world.mutex.Lock()
	machine.removedForGood = true
	world.mutex.Unlock()
}

// ReplaceCore permanently removes a machine. An empty one at another address takes its index
// and starts after the delay.
func (world *World) ReplaceCore(index int, delay time.Duration) *Core {
	seeds := world.operatorSeeds()
	world.LoseCore(index)
	world.Sleep(delay)
	return world.StartReplacement(index, seeds)
}

// StartReplacement starts an empty machine at another address in place of one that is removed
// or about to leave. Without seeds it uses those of the operators' list.
func (world *World) StartReplacement(index int, seeds []string) *Core {
	former := world.machine(index)
	if seeds == nil {
		seeds = world.operatorSeeds()
	}
	machine := world.newMachine(former.region(), seeds)
	world.mutex.Lock()
	world.Removed = append(world.Removed, former)
	world.Cores[index] = machine
	world.mutex.Unlock()
	world.startMachine(machine)
	return machine
}

// ReplaceCorePlanned starts the new machine first. The old one gets SIGTERM after the
// delay and does not return.
func (world *World) ReplaceCorePlanned(index int, delay time.Duration) (leaving, replacement *Core) {
	leaving = world.machine(index)
	replacement = world.StartReplacement(index, nil)
	world.Sleep(delay)
	world.Leave(leaving)
	return leaving, replacement
}

// Leave terminates a machine by SIGTERM and permanently removes it.
func (world *World) Leave(machine *Core) {
	world.terminate(machine)
	world.removeForGood(machine)
}

// ReturnRemoved restarts a replaced machine with its old disk and seeds.
func (world *World) ReturnRemoved(index int) *Core {
	world.mutex.Lock()
	machine := world.Removed[index]
	machine.removedForGood = false
	machine.returned = true
	world.mutex.Unlock()
	world.Net.Blackhole(machine.Host, false)
	world.startMachine(machine)
	return machine
}

// removed returns the replaced machines, oldest first.
func (world *World) removed() []*Core {
	world.mutex.Lock()
	defer world.mutex.Unlock()
	return append([]*Core{}, world.Removed...)
}

func (machine *Core) region() int {
	region := 0
	if _, err := fmt.Sscanf(machine.Host, "10.%d.", &region); err != nil {
		panic(fmt.Sprintf("%s is not the host of a regional core: %v", machine.Host, err))
	}
	return region / 10
}
