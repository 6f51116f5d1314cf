package simulation

import (
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/replica"
	"orchidjunction/rpc"
)

// voterID returns the ID under which a machine votes, as its disk has it.
func (scenario *replacementScenario) voterID(machine *Core) int {
	store, err := replica.OpenStore(machine.Disk.Copy())
	if err != nil {
		scenario.test.Fatal(err)
	}
	for _, voter := range store.State().Membership().Voters {
		if voter.Address == machine.InternalAddress {
			return voter.ID
		}
	}
	scenario.test.Fatalf("%s has no vote", machine.Host)
	return 0
}

// A core with the ID of a membership change that was never committed announces its shutdown
// while a learner waits: the voter that has the ID stays a voter. The voter's own
// announcement, also in the form of an earlier release, gives its place to the learner.
func TestLeaveNamesItsAddress(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		for _, isOldForm := range []bool{false, true} {
			scenario := newScenario(test, seed, 3, 1, "leave")
			leader := scenario.leader()
			voter := scenario.machine(scenario.indexAfter(leader, 1))
			learner := scenario.AddCore(int(seed) % 3)
			scenario.Sleep(2 * time.Second)
			before := scenario.machines()[:3]
			id := scenario.voterID(voter)
			caller := rpc.NewClient(scenario.Net.Transport(voter.Host))
			leave := func(address string) (*message.LeaveResponse, error) {
				if isOldForm && address == voter.InternalAddress {
					return rpc.Call(
						caller,
						scenario.machine(leader).InternalAddress,
						message.MethodLeave,
						time.Second,
						&message.LeaveRequest{Core: id},
					)
				}
				return rpc.Call(caller, scenario.machine(leader).InternalAddress, message.MethodLeaveVoter, time.Second,
					&message.LeaveVoterRequest{Core: id, Address: address})
			}
			if response, err := leave("10.0.9.9:41"); err != nil || response.Wait {
				scenario.reportViolation("leave with another core's address: %+v, %v", response, err)
			}
			scenario.Sleep(3 * time.Second)
			scenario.checkVoters("leave with another core's address", before)
			if response, err := leave(voter.InternalAddress); err != nil || !response.Wait {
				scenario.reportViolation("leave with its own address: %+v, %v", response, err)
			}
			scenario.Sleep(3 * time.Second)
			after := []*Core{scenario.machine(learner)}
			for _, machine := range before {
				if machine != voter {
					after = append(after, machine)
				}
			}
			scenario.checkVoters("leave with its own address", after)
			caller.Close()
			scenario.end()
		}
	})
}

// A call of a method that an earlier release does not know returns a code of its own, so that
// the caller can fall back to the earlier method.
func TestUnknownMethodHasItsOwnCode(test *testing.T) {
	forEachSeed(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.startRegional(test, 0)
		caller := rpc.NewClient(world.Net.Transport("10.8.0.1"))
		defer caller.Close()
		const unknown rpc.Method[message.LeaveRequest, message.LeaveResponse] = "not-there"
		if _, err := rpc.Call(
			caller,
			world.Cores[0].InternalAddress,
			unknown,
			time.Second,
			&message.LeaveRequest{Core: 1},
		); rpc.CodeOf(
			err,
		) != rpc.UnknownMessage {
			test.Errorf("%v has the code %s", err, rpc.CodeOf(err))
		}
	})
}
