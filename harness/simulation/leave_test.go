package simulation

import (
	"testing"
	"time"

	"orchidjunction/message"
	"orchidjunction/replica"
	"orchidjunction/rpc"
)

// idOf is the ID under which a machine votes, by its disk.
func (one *trial) idOf(machine *Core) int {
	store, err := replica.OpenStore(machine.Disk.Copy())
	if err != nil {
		one.test.Fatal(err)
	}
	for _, voter := range store.State().Membership().Voters {
		if voter.Address == machine.InternalAddress {
			return voter.ID
		}
	}
	one.test.Fatalf("%s has no vote", machine.Host)
	return 0
}

// A core that kept the ID of a step which was never decided announces its end while a
// learner waits: the voter that has the ID keeps its place. The voter's own announcement,
// also in the form of a former release, gives it to the learner.
func TestLeaveNamesItsAddress(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		for _, isFormer := range []bool{false, true} {
			one := newTrial(test, seed, 3, 1, "leave")
			leader := one.leader()
			voter := one.machine(one.after(leader, 1))
			learner := one.AddCore(int(seed) % 3)
			one.Sleep(2 * time.Second)
			before := one.machines()[:3]
			id := one.idOf(voter)
			caller := rpc.NewClient(one.Net.Transport(voter.Host))
			leave := func(address string) (*message.LeaveResponse, error) {
				if isFormer && address == voter.InternalAddress {
					return rpc.Call(
						caller,
						one.machine(leader).InternalAddress,
						message.MethodLeave,
						time.Second,
						&message.LeaveRequest{Core: id},
					)
				}
				return rpc.Call(caller, one.machine(leader).InternalAddress, message.MethodLeaveVoter, time.Second,
					&message.LeaveVoterRequest{Core: id, Address: address})
			}
			if response, err := leave("10.0.9.9:41"); err != nil || response.Wait {
				one.reportViolation("another core's end: %+v, %v", response, err)
			}
			one.Sleep(3 * time.Second)
			one.votes("another core's end", before)
			if response, err := leave(voter.InternalAddress); err != nil || !response.Wait {
				one.reportViolation("its own end: %+v, %v", response, err)
			}
			one.Sleep(3 * time.Second)
			after := []*Core{one.machine(learner)}
			for _, machine := range before {
				if machine != voter {
					after = append(after, machine)
				}
			}
			one.votes("its own end", after)
			caller.Close()
			one.end()
		}
	})
}

// A call that a former release does not know is told apart from one that fails, so that
// the caller can fall back to the former call.
func TestUnknownCallHasItsCode(test *testing.T) {
	each(test, func(test *testing.T, seed uint64) {
		world := NewRegionalWorld(seed, 3)
		defer world.CloseRegional()
		world.farUp(test, 0)
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
