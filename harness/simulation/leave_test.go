package simulation

import (
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/replica"
	"orchidjunction/rpc"
)

// idOf is the ID under which a machine votes, by its disk.
func (scenario *replacementScenario) idOf(machine *Core) int {
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

// A core that kept the ID of a step which was never decided announces its end while a
// learner waits: the voter that has the ID keeps its place. The voter's own announcement,
// also in the form of a former release, gives it to the learner.
func TestLeaveNamesItsAddress(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, isFormer := range []bool{false, true} {
			scenario := newScenario(test, seed, 3, 1, "leave")
			leader := scenario.leader()
			voter := scenario.machine(scenario.indexAfter(leader, 1))
			learner := scenario.AddCore(int(seed) % 3)
			scenario.Rest(2 * time.Second)
			before := scenario.machines()[:3]
			id := scenario.idOf(voter)
			caller := rpc.NewClient(scenario.Net.Transport(voter.Host))
			leave := func(address string) (*message.LeaveResponse, error) {
				if isFormer && address == voter.InternalAddress {
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
				scenario.reportViolation("another core's end: %+v, %v", response, err)
			}
			scenario.Rest(3 * time.Second)
			scenario.checkVoters("another core's end", before)
			if response, err := leave(voter.InternalAddress); err != nil || !response.Wait {
				scenario.reportViolation("its own end: %+v, %v", response, err)
			}
			scenario.Rest(3 * time.Second)
			after := []*Core{scenario.machine(learner)}
			for _, machine := range before {
				if machine != voter {
					after = append(after, machine)
				}
			}
			scenario.checkVoters("its own end", after)
			caller.Close()
			scenario.end()
		}
	})
}

// A call that a former release does not know is told apart from one that fails, so that
// the caller can fall back to the former call.
func TestUnknownCallHasItsCode(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.startFar(test, 0)
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
