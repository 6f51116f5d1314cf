package simulation

import (
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/replica"
)

// A core's disk refuses all for twenty seconds. The core stays up and does not vote;
// a leader hands the lead on; orders are acknowledged throughout; with room again the
// core votes and holds what was ordered meanwhile, without a restart.
func TestCoreWithARefusingDiskStaysUp(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.farUp(test, 3)
		version := uint64(1)
		for _, kind := range []string{"leader refuses", "follower refuses", "leader is full", "restarted"} {
			index := world.calm(test)
			if kind == "follower refuses" || kind == "restarted" {
				index = (index + 1) % 3
			}
			machine := world.Cores[index]
			trouble := func() {
				if kind == "leader is full" {
					machine.Disk.SetCapacity(machine.Disk.Used())
				} else {
					machine.Disk.Fail(true)
				}
			}
			trouble()
			if kind == "restarted" {
				world.KillCore(index, true)
				trouble()
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
				world.reportViolation("%s: an order took %v", kind, slowest)
			}
			if machine.goroutines.Stopping() {
				world.reportViolation("%s: the core ended", kind)
				break
			}
			if machine.Core.CanVote() || world.Leader() == index {
				world.reportViolation("%s: votes %v, leads %v", kind, machine.Core.CanVote(), world.Leader() == index)
			}
			machine.Disk.Fail(false)
			machine.Disk.SetCapacity(0)
			if !world.Until(2*time.Second, func() bool { return machine.Core.CanVote() }) {
				world.reportViolation("%s: does not vote again", kind)
			}
			world.Sleep(time.Second)
			if held := world.lasts(index); held < world.lasts((index+1)%3) {
				world.reportViolation("%s: holds serial %d on its disk, another %d", kind, held, world.lasts((index+1)%3))
			}
		}
		world.report(test)
	})
}

// A follower's disk does not answer for ten seconds while orders go on: the leader
// does not send it the same values at each beat, and it catches up afterwards.
func TestStalledDiskIsNotSentValuesAgainAndAgain(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.farUp(test, 3)
		leader := world.calm(test)
		index := (leader + 1) % 3
		before := world.counted("copies_mended")
		world.Cores[index].Disk.Stall(true)
		for version := uint64(1); version < 9; version++ {
			if err := world.PutRouting(version+1, version); err != nil {
				world.reportViolation("%d: %v", version+1, err)
			}
			world.Sleep(time.Second)
		}
		world.Sleep(2 * time.Second)
		if sent := world.counted("copies_mended") - before; sent > 10 {
			world.reportViolation("values sent %d times to a disk that does not answer", sent)
		}
		if world.Leader() != leader {
			world.reportViolation("the lead moved from %d to %d", leader, world.Leader())
		}
		world.Cores[index].Disk.Stall(false)
		world.Sleep(2 * time.Second)
		if world.lasts(index) != world.lasts(leader) {
			world.reportViolation("holds serial %d, the leader %d", world.lasts(index), world.lasts(leader))
		}
		world.report(test)
	})
}

// The leader's disk does not answer for some seconds while orders go on, and then no
// more are made: it goes on leading and soon holds itself what the others took.
func TestLeaderHoldsWhatItsStalledDiskMissed(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.farUp(test, 3)
		leader := world.calm(test)
		world.Cores[leader].Disk.Stall(true)
		for version := uint64(1); version < 5; version++ {
			if err := world.PutRouting(version+1, version); err != nil {
				world.reportViolation("%d: %v", version+1, err)
			}
			world.Sleep(time.Second)
		}
		world.Cores[leader].Disk.Stall(false)
		world.Sleep(time.Second)
		if now := world.Leader(); now != leader || world.lasts(leader) != world.lasts((leader+1)%3) {
			world.reportViolation(
				"core %d led and %d leads; holds serial %d, another %d",
				leader,
				now,
				world.lasts(leader),
				world.lasts((leader+1)%3),
			)
		}
		world.report(test)
	})
}

// lasts is the routing's serial that a core's disk would keep through a power loss.
func (world *World) lasts(index int) uint64 {
	store, err := replica.OpenStore(world.Cores[index].Disk.Copy())
	if err != nil {
		return 0
	}
	return store.State().Accepted[message.RoutingRegister].Value.Serial
}
