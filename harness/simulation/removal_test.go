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

// voterIDs formats the IDs of the voters in a membership status.
func voterIDs(membership *message.MembershipStatus) string {
	ids := []int{}
	for _, voter := range membership.Voters {
		ids = append(ids, voter.ID)
	}
	return fmt.Sprint(ids)
}

// readMembership reads the membership status through the operator API, with retries.
func (world *World) readMembership(test *testing.T, client *operator.Client) *message.MembershipStatus {
	test.Helper()
	var response *message.MembershipStatus
	var err error
	if !world.Until(10*time.Second, func() bool { response, err = client.Cores(); return err == nil }) {
		test.Fatalf("cannot read the membership: %v", err)
	}
	return response
}

// removeCore orders the removal of a core, with up to 10 retries after server errors.
func (world *World) removeCore(client *operator.Client, id int) (*operator.Removal, error) {
	removed, err := client.RemoveCore(id)
	for try := 0; try < 10 && err != nil && rpc.CodeOf(err).Status() >= 500; try++ {
		world.Sleep(300 * time.Millisecond)
		removed, err = client.RemoveCore(id)
	}
	return removed, err
}

// reportWithSpares omits World's checks of leaderships, which only count the founding cores'
// disks.
func (world *World) reportWithSpares(test *testing.T) {
	test.Helper()
	for _, broken := range world.Violations {
		if !strings.Contains(broken, " leads under ") {
			test.Error(broken)
		}
	}
}

// An operator removes cores, the leader included: each order is refused while no learner is
// ready, acknowledged once decided, and acknowledged again when repeated.
func TestOperatorRemovesCores(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.startSystem(test, 2)
		client := world.Client(world.Daemons[1].OperatorAddress)
		leader := world.Leader()
		leaving, staying := world.Cores[(leader+1)%3], world.Cores[(leader+2)%3]
		if _, err := world.removeCore(client, leaving.ID); err == nil || rpc.CodeOf(err) != rpc.NoLearner {
			test.Errorf("removal without a learner: got %v, want no_learner", err)
		}
		if _, err := world.removeCore(client, 9); err == nil || rpc.CodeOf(err) != rpc.NotFound {
			test.Errorf("removal of an unknown core: got %v, want not_found", err)
		}
		if response := world.readMembership(
			test,
			client,
		); voterIDs(response) != "[1 2 3]" || response.Version != 1 || len(response.Learners) != 0 ||
			len(response.Next) != 0 {
			test.Errorf("initial membership %+v", response)
		}
		for number, order := range []struct {
			remove int
			left   []int
		}{{leaving.ID, []int{staying.ID, leader + 1, 4}}, {leader + 1, []int{staying.ID, 4, 5}}} {
			spare := world.StartSpare(number + 1)
			defer world.EndSpare(spare)
			ready := func() bool {
				response := world.readMembership(test, client)
				return slices.ContainsFunc(response.Learners, func(learner message.LearnerStatus) bool {
					return learner.Address == spare.InternalAddress && learner.Synced && learner.Seen
				})
			}
			if !world.Until(10*time.Second, ready) {
				test.Errorf("the learner is not ready: %+v", world.readMembership(test, client))
			}
			begin := time.Now()
			removed, err := world.removeCore(client, order.remove)
			if err != nil {
				test.Fatalf("core %d is not removed: %v", order.remove, err)
			}
			test.Logf("core %d removed after %v: version %d", order.remove, time.Since(begin), removed.Version)
			slices.Sort(order.left)
			if response := world.readMembership(
				test,
				client,
			); voterIDs(response) != fmt.Sprint(order.left) || response.Version != removed.Version ||
				len(response.Next) != 0 {
				test.Errorf("membership after order %d: %+v", number, response)
			}
			if again, err := world.removeCore(client, order.remove); err != nil || !again.Again {
				test.Errorf("repeated order: got %+v, error %v, want an acknowledged repeat", again, err)
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

// changeSettings changes the settings in force, with retries.
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

// Two operators concurrently remove two cores while there is one learner, and then the same
// core while there are two: only one learner is promoted for each core removed.
func TestConcurrentRemovals(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewWorld(seed, 3)
		defer world.Close()
		world.startSystem(test, 2)
		leader := world.Leader()
		followers := []int{(leader+1)%3 + 1, (leader+2)%3 + 1}
		clients := []*operator.Client{world.Client(world.Daemons[0].OperatorAddress), world.Client(world.Daemons[1].OperatorAddress)}
		haveLearners := func(count int) func() bool {
			return func() bool {
				response, synced := world.readMembership(test, clients[0]), 0
				for _, learner := range response.Learners {
					if learner.Synced {
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
					_, err := world.removeCore(clients[index], id)
					answers <- err
				})
			}
			for range ids {
				if err := <-answers; err == nil {
					removed++
				} else if rpc.CodeOf(err) != rpc.NoLearner {
					test.Errorf("removal refused: got %v, want no_learner", err)
				}
			}
			return removed
		}
		spare := world.StartSpare(1)
		defer world.EndSpare(spare)
		world.Until(10*time.Second, haveLearners(1))
		if removed := race(followers); removed != 1 {
			test.Errorf("%d of two removals acknowledged with one learner, want 1", removed)
		}
		response := world.readMembership(test, clients[0])
		if len(response.Voters) != 3 || response.Version != 3 {
			test.Errorf("membership after the first race %+v", response)
		}
		for number := range 2 {
			another := world.StartSpare(2 + number)
			defer world.EndSpare(another)
		}
		world.Until(10*time.Second, haveLearners(2))
		if removed := race([]int{4, 4}); removed != 2 {
			test.Errorf("%d of two removals of the same core acknowledged, want 2", removed)
		}
		if response := world.readMembership(test, clients[0]); len(response.Voters) != 3 || response.Version != 5 {
			test.Errorf("membership after the second race %+v", response)
		}
		world.reportWithSpares(test)
	})
}
