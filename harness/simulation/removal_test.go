package simulation

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/operator"
	"orchidjunction/rpc"
)

// voters are the IDs of those that vote, as an operators' door tells.
func voters(membership *message.MembershipStatus) string {
	ids := []int{}
	for _, voter := range membership.Voters {
		ids = append(ids, voter.ID)
	}
	return fmt.Sprint(ids)
}

// membership asks an operators' door until it answers.
func (world *World) membership(test *testing.T, client *operator.Client) *message.MembershipStatus {
	test.Helper()
	var response *message.MembershipStatus
	var err error
	if !world.Until(10*time.Second, func() bool { response, err = client.Cores(); return err == nil }) {
		test.Fatalf("who votes: %v", err)
	}
	return response
}

// remove sends the order until its answer is clear.
func (world *World) remove(client *operator.Client, id int) (*operator.Removal, error) {
	removed, err := client.RemoveCore(id)
	for try := 0; try < 10 && err != nil && rpc.CodeOf(err).Status() >= 500; try++ {
		world.Sleep(300 * time.Millisecond)
		removed, err = client.RemoveCore(id)
	}
	return removed, err
}

// reportWithSpares leaves out what World judges of leaderships: it counts the disks of
// the founding cores alone.
func (world *World) reportWithSpares(test *testing.T) {
	test.Helper()
	for _, broken := range world.Violations {
		if !strings.Contains(broken, " leads under ") {
			test.Error(broken)
		}
	}
}

// An operator removes cores by hand, the leader too: each order is refused while no
// learner is ready, acknowledged once decided, and acknowledged again.
func TestOperatorRemovesCores(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.up(test, 2)
		client := world.Client(world.Daemons[1].OperatorAddress)
		leader := world.Leader()
		goes, stays := world.Cores[(leader+1)%3], world.Cores[(leader+2)%3]
		if _, err := world.remove(client, goes.ID); err == nil || rpc.CodeOf(err) != rpc.NoLearner {
			test.Errorf("removed without a learner: %v", err)
		}
		if _, err := world.remove(client, 9); err == nil || rpc.CodeOf(err) != rpc.NotFound {
			test.Errorf("removed one that never was: %v", err)
		}
		if response := world.membership(
			test,
			client,
		); voters(response) != "[1 2 3]" || response.Version != 1 || len(response.Learners) != 0 ||
			len(response.Next) != 0 {
			test.Errorf("at first %+v", response)
		}
		for number, order := range []struct {
			remove int
			left   []int
		}{{goes.ID, []int{stays.ID, leader + 1, 4}}, {leader + 1, []int{stays.ID, 4, 5}}} {
			spare := world.StartSpare(number + 1)
			defer world.EndSpare(spare)
			ready := func() bool {
				response := world.membership(test, client)
				return slices.ContainsFunc(response.Learners, func(one message.LearnerStatus) bool {
					return one.Address == spare.InternalAddress && one.Synced && one.Seen
				})
			}
			if !world.Until(10*time.Second, ready) {
				test.Errorf("the learner isn't ready: %+v", world.membership(test, client))
			}
			begin := time.Now()
			removed, err := world.remove(client, order.remove)
			if err != nil {
				test.Fatalf("core %d is not removed: %v", order.remove, err)
			}
			test.Logf("core %d removed after %v: version %d", order.remove, time.Since(begin), removed.Version)
			slices.Sort(order.left)
			if response := world.membership(
				test,
				client,
			); voters(response) != fmt.Sprint(order.left) || response.Version != removed.Version ||
				len(response.Next) != 0 {
				test.Errorf("order %d: %+v", number, response)
			}
			if again, err := world.remove(client, order.remove); err != nil || !again.Again {
				test.Errorf("the same order again: %+v %v", again, err)
			}
			if err := world.changeSettings(client, uint64(number)); err != nil {
				test.Errorf("a change after order %d: %v", number, err)
			}
			for index, core := range world.Cores {
				if core.ID == order.remove {
					world.KillCore(index, true)
				}
			}
		}
		world.reportWithSpares(test)
	})
}

// changeSettings makes a change of the settings in force.
func (world *World) changeSettings(client *operator.Client, number uint64) error {
	var err error
	world.Until(10*time.Second, func() bool {
		var held *operator.Settings
		if held, err = client.Read(false); err != nil {
			return false
		}
		_, err = client.Put(
			operator.Change{Base: held.Serial, Change: fmt.Sprint("change-", number), Settings: Settings(900 + int(number))},
		)
		return err == nil
	})
	return err
}

// Two operators remove two cores at once while one learner waits, and then one core
// while two wait: one place is given at a time, and one for each core removed.
func TestRemovalsRace(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.up(test, 2)
		leader := world.Leader()
		others := []int{(leader+1)%3 + 1, (leader+2)%3 + 1}
		clients := []*operator.Client{world.Client(world.Daemons[0].OperatorAddress), world.Client(world.Daemons[1].OperatorAddress)}
		learners := func(count int) func() bool {
			return func() bool {
				response, synced := world.membership(test, clients[0]), 0
				for _, one := range response.Learners {
					if one.Synced {
						synced++
					}
				}
				return synced >= count
			}
		}
		race := func(ids []int) (removed int) {
			answers := make(chan error, len(ids))
			for index, id := range ids {
				world.goroutines.Start(func() {
					_, err := world.remove(clients[index], id)
					answers <- err
				})
			}
			for range ids {
				if err := <-answers; err == nil {
					removed++
				} else if rpc.CodeOf(err) != rpc.NoLearner {
					test.Errorf("refused: %v", err)
				}
			}
			return removed
		}
		spare := world.StartSpare(1)
		defer world.EndSpare(spare)
		world.Until(10*time.Second, learners(1))
		if removed := race(others); removed != 1 {
			test.Errorf("%d of two cores removed for one learner", removed)
		}
		response := world.membership(test, clients[0])
		if len(response.Voters) != 3 || response.Version != 3 {
			test.Errorf("after the first race %+v", response)
		}
		for number := range 2 {
			more := world.StartSpare(2 + number)
			defer world.EndSpare(more)
		}
		world.Until(10*time.Second, learners(2))
		if removed := race([]int{4, 4}); removed != 2 {
			test.Errorf("%d of two orders for one core acknowledged", removed)
		}
		if response := world.membership(test, clients[0]); len(response.Voters) != 3 || response.Version != 5 {
			test.Errorf("after the second race %+v", response)
		}
		world.reportWithSpares(test)
	})
}
