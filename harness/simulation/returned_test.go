package simulation

import (
	"slices"
	"testing"
	"time"

	"orchidjunction/message"
)

// replaceCore kills a core for good and lets a spare one take its place.
func (world *World) replaceCore(test *testing.T, index, number int) *Spare {
	test.Helper()
	world.KillCore(index, true)
	spare := world.StartSpare(number)
	if !world.Until(10*time.Second, spare.Core.Core.CanVote) {
		test.Fatal("the spare core does not vote")
	}
	world.Sleep(time.Second)
	return spare
}

// Cores that restart with flags which still name a replaced one count by their disks.
// The replaced one, back with its old disk and flags, makes no majority with another
// one, and votes again only under a new ID, in the place of one that is gone.
func TestReplacedCoreReturns(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.up(test, 2)
		leader := world.Leader()
		old, one, two := (leader+1)%3, leader, (leader+2)%3
		spare := world.replaceCore(test, old, 1)
		defer world.EndSpare(spare)
		client := world.Client(world.Daemons[1].OperatorAddress)
		if err := world.changeSettings(client, 1); err != nil {
			test.Fatalf("after the replacement: %v", err)
		}
		for _, index := range []int{one, two} {
			world.KillCore(index, true)
		}
		world.Net.Freeze(spare.Host, true)
		world.StartCore(one)
		world.StartCore(old)
		world.Sleep(8 * time.Second)
		if world.Leader() >= 0 || world.Cores[old].Core.CanVote() {
			test.Errorf("a replaced core makes a majority: leader %d, it votes: %v", world.Leader(), world.Cores[old].Core.CanVote())
		}
		world.Net.Freeze(spare.Host, false)
		if err := world.changeSettings(client, 2); err != nil {
			test.Errorf("with one founding core and the spare one: %v", err)
		}
		again := func() bool {
			response := world.membership(test, client)
			return len(response.Next) == 0 && slices.ContainsFunc(response.Voters, func(voter message.VoterStatus) bool {
				return voter.Address == world.Cores[old].InternalAddress && voter.ID == 5
			})
		}
		if !world.Until(10*time.Second, again) {
			test.Errorf("back, it does not take the place of the one that is gone: %+v", world.membership(test, client))
		}
		world.StartCore(two)
		world.Sleep(2 * time.Second)
		if world.Cores[two].Core.CanVote() {
			test.Error("the next replaced core votes when it is back")
		}
		if err := world.changeSettings(client, 3); err != nil {
			test.Errorf("at the end: %v", err)
		}
		world.reportWithSpares(test)
	})
}

// All cores stop, one gets another address, and all get flags that say so: nobody was
// ever replaced, so the flags count.
func TestCoreMovesWhileNoneWasReplaced(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.up(test, 2)
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
			test.Errorf("with the moved core and one other: %v", err)
		}
		response := world.membership(test, client)
		if response.Version != 1 || voters(response) != "[1 2 3]" || response.Voters[moved.ID-1].Address != moved.InternalAddress {
			test.Errorf("%+v", response)
		}
		world.report(test)
	})
}
