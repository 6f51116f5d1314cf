package simulation

import (
	"slices"
	"testing"
	"time"

	"orchidjunction/message"
)

// replaceWithSpare kills a core and waits until a spare one has taken its place.
func (world *World) replaceWithSpare(test *testing.T, index, number int) *Spare {
	test.Helper()
	world.KillCore(index, true)
	spare := world.StartSpare(number)
	if !world.Until(10*time.Second, spare.Core.Core.CanVote) {
		test.Fatal("the spare core does not vote")
	}
	world.Sleep(time.Second)
	return spare
}

// Cores that restart with flags that still name a replaced core use the membership on their
// disks. The replaced core, restarted with its old disk and flags, forms no majority with
// another one, and votes again only under a new ID, in the place of a lost core.
func TestReplacedCoreReturns(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.startSystem(test, 2)
		leader := world.Leader()
		replaced, first, second := (leader+1)%3, leader, (leader+2)%3
		spare := world.replaceWithSpare(test, replaced, 1)
		defer world.EndSpare(spare)
		client := world.Client(world.Daemons[1].OperatorAddress)
		if err := world.changeSettings(client, 1); err != nil {
			test.Fatalf("change after the replacement: %v", err)
		}
		for _, index := range []int{first, second} {
			world.KillCore(index, true)
		}
		world.Net.Freeze(spare.Host, true)
		world.StartCore(first)
		world.StartCore(replaced)
		world.Sleep(8 * time.Second)
		if world.Leader() >= 0 || world.Cores[replaced].Core.CanVote() {
			test.Errorf(
				"a replaced core counts for a majority: leader %d, replaced core votes %v",
				world.Leader(),
				world.Cores[replaced].Core.CanVote(),
			)
		}
		world.Net.Freeze(spare.Host, false)
		if err := world.changeSettings(client, 2); err != nil {
			test.Errorf("change with one founding core and the spare: %v", err)
		}
		oldTookPlace := func() bool {
			response := world.readMembership(test, client)
			return len(response.Next) == 0 && slices.ContainsFunc(response.Voters, func(voter message.VoterStatus) bool {
				return voter.Address == world.Cores[replaced].InternalAddress && voter.ID == 5
			})
		}
		if !world.Until(10*time.Second, oldTookPlace) {
			test.Errorf("the returned core does not take the lost core's place: %+v", world.readMembership(test, client))
		}
		world.StartCore(second)
		world.Sleep(2 * time.Second)
		if world.Cores[second].Core.CanVote() {
			test.Error("the second replaced core votes after its restart")
		}
		if err := world.changeSettings(client, 3); err != nil {
			test.Errorf("change at the end: %v", err)
		}
		world.reportWithSpares(test)
	})
}

// All cores stop, one gets another address, and all restart with flags that name it: as no core
// was ever replaced, the flags apply.
func TestCoreAddressChangesWithoutReplacement(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.startSystem(test, 2)
		client := world.Client(world.Cores[0].OperatorAddress)
		if err := world.changeSettings(client, 1); err != nil {
			test.Fatal(err)
		}
		for index := range world.Cores {
			world.KillCore(index, true)
		}
		moved := world.Cores[int(seed)%3]
		moved.Host = "10.0.0.77"
		moved.InternalAddress, moved.OperatorAddress = moved.Host+":41", moved.Host+":42"
		for index := range world.Cores {
			world.StartCore(index)
		}
		world.Sleep(3 * time.Second)
		for index := range world.Cores {
			if !world.Cores[index].Core.CanVote() {
				test.Errorf("core %d does not vote", index+1)
			}
		}
		client = world.Client(world.Cores[0].OperatorAddress)
		if err := world.changeSettings(client, 2); err != nil {
			test.Error(err)
		}
		world.KillCore((int(seed)+1)%3, true)
		client = world.Client(moved.OperatorAddress)
		if err := world.changeSettings(client, 3); err != nil {
			test.Errorf("change with the moved core and one other: %v", err)
		}
		response := world.readMembership(test, client)
		if response.Version != 1 || voterIDs(response) != "[1 2 3]" || response.Voters[moved.ID-1].Address != moved.InternalAddress {
			test.Errorf("membership %+v", response)
		}
		world.reportFailures(test)
	})
}
