package simulation

import (
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/replica"
)

// A core's disk fails all writes, or is full, for 20 s. The core stays up but does not vote, a
// leader hands over leadership, and orders are acknowledged throughout. Once the disk works
// again the core votes and catches up without a restart.
func TestCoreWithFailingDiskStaysUp(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.startRegional(test, 3)
		version := uint64(1)
		for _, kind := range []string{"leader's disk fails", "follower's disk fails", "leader's disk is full", "follower restarts with a failing disk"} {
			index := world.waitStable(test)
			if kind == "follower's disk fails" || kind == "follower restarts with a failing disk" {
				index = (index + 1) % 3
			}
			machine := world.Cores[index]
			breakDisk := func() {
				if kind == "leader's disk is full" {
					machine.Disk.SetCapacity(machine.Disk.Used())
				} else {
					machine.Disk.Fail(true)
				}
			}
			breakDisk()
			if kind == "follower restarts with a failing disk" {
				world.KillCore(index, true)
				breakDisk()
				world.StartCore(index)
			}
			slowest := time.Duration(0)
			for until := time.Now().Add(20 * time.Second); time.Now().Before(until); {
				begin := time.Now()
				if err := world.PutRouting(version+1, version); err != nil {
					world.reportViolation("%s: %v", kind, err)
					break
				}
				version++
				slowest = max(slowest, time.Since(begin))
				world.Sleep(time.Second)
			}
			if slowest > 2*time.Second {
				world.reportViolation("%s: an order took %v, want at most 2 s", kind, slowest)
			}
			if machine.goroutines.Stopping() {
				world.reportViolation("%s: the core terminated", kind)
				break
			}
			if machine.Core.CanVote() || world.Leader() == index {
				world.reportViolation("%s: votes %v, leads %v, want neither", kind, machine.Core.CanVote(), world.Leader() == index)
			}
			machine.Disk.Fail(false)
			machine.Disk.SetCapacity(0)
			if !world.Until(2*time.Second, func() bool { return machine.Core.CanVote() }) {
				world.reportViolation("%s: does not vote within 2 s of the disk's recovery", kind)
			}
			world.Sleep(time.Second)
			if serial := world.durableSerial(index); serial < world.durableSerial((index+1)%3) {
				world.reportViolation("%s: has serial %d on disk, another core has %d", kind, serial, world.durableSerial((index+1)%3))
			}
		}
		world.reportFailures(test)
	})
}

// A follower's disk stalls for ten seconds during orders: the leader does not resend the same
// values with each heartbeat, and the follower catches up afterwards.
func TestValuesAreNotResentToStalledDisk(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.startRegional(test, 3)
		leader := world.waitStable(test)
		index := (leader + 1) % 3
		before := world.sumCounter("copies_mended")
		world.Cores[index].Disk.Stall(true)
		for version := uint64(1); version < 9; version++ {
			if err := world.PutRouting(version+1, version); err != nil {
				world.reportViolation("version %d: %v", version+1, err)
			}
			world.Sleep(time.Second)
		}
		world.Sleep(2 * time.Second)
		if sent := world.sumCounter("copies_mended") - before; sent > 10 {
			world.reportViolation("values sent %d times to a core with a stalled disk, want at most 10", sent)
		}
		if world.Leader() != leader {
			world.reportViolation("leadership moved from core %d to %d", leader, world.Leader())
		}
		world.Cores[index].Disk.Stall(false)
		world.Sleep(2 * time.Second)
		if world.durableSerial(index) != world.durableSerial(leader) {
			world.reportViolation("follower has serial %d on disk, the leader %d", world.durableSerial(index), world.durableSerial(leader))
		}
		world.reportFailures(test)
	})
}

// The leader's disk stalls for some seconds during orders, and no order follows: it keeps
// leading, and its own disk soon holds what the followers accepted.
func TestLeaderCatchesUpAfterDiskStall(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.startRegional(test, 3)
		leader := world.waitStable(test)
		world.Cores[leader].Disk.Stall(true)
		for version := uint64(1); version < 5; version++ {
			if err := world.PutRouting(version+1, version); err != nil {
				world.reportViolation("version %d: %v", version+1, err)
			}
			world.Sleep(time.Second)
		}
		world.Cores[leader].Disk.Stall(false)
		world.Sleep(time.Second)
		if now := world.Leader(); now != leader || world.durableSerial(leader) != world.durableSerial((leader+1)%3) {
			world.reportViolation(
				"core %d led, core %d leads; the former has serial %d on disk, a follower %d",
				leader,
				now,
				world.durableSerial(leader),
				world.durableSerial((leader+1)%3),
			)
		}
		world.reportFailures(test)
	})
}

// durableSerial returns the routing serial that a core's disk would keep in a power loss.
func (world *World) durableSerial(index int) uint64 {
	store, err := replica.OpenStore(world.Cores[index].Disk.Copy())
	if err != nil {
		return 0
	}
	return store.State().Accepted[message.RoutingRegister].Value.Serial
}
