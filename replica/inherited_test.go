package replica_test

import (
	"testing"

	"orchidjunction/consensus"
	"orchidjunction/harness/simulation"
	"orchidjunction/message"
	"orchidjunction/replica"
)

// A value that is accepted by reference under a new term stays the same, is durable
// before the response, and is not written to disk again. References to other versions are
// rejected.
func TestInheritedValueIsAcceptedByReference(test *testing.T) {
	const large = 2 << 20
	first, second := message.Term{Number: 1, Core: 1}, message.Term{Number: 2, Core: 2}
	disk := simulation.NewDisk(1)
	voter := newInitializedReplica(test, disk)
	request := &message.AcceptRequest{
		Term:     first,
		Register: message.RoutingRegister,
		Value:    message.Value{Serial: 7, Body: make([]byte, large)},
	}
	if response, err := voter.Accept(request); err != nil || !response.Accepted {
		test.Fatal(response, err)
	}
	renewal := *request
	renewal.Term = second
	for name, inherited := range map[string]message.Version{
		"another term":   {Term: message.Term{Number: 1, Core: 2}, Serial: 7},
		"another serial": {Term: first, Serial: 8},
	} {
		response, err := voter.Accept(renewal.ByReference(inherited))
		if err != nil || response.Accepted || !response.LacksValue {
			test.Errorf("reference to %s: response %+v, error %v", name, response, err)
		}
	}
	reference := renewal.ByReference(message.Version{Term: first, Serial: 7})
	before := disk.PeakUsed()
	if response, err := voter.Accept(reference); err != nil || !response.Accepted {
		test.Fatal(response, err)
	}
	if added := disk.PeakUsed() - before; added > large/2 {
		test.Errorf("accepting by reference used %d bytes of disk", added)
	}
	store, err := replica.OpenStore(disk.Detach(true))
	if err != nil {
		test.Fatal(err)
	}
	accepted, promised := store.State().Accepted[message.RoutingRegister], store.State().Promised
	if accepted.Term != second || accepted.Value.Serial != 7 || len(accepted.Value.Body) != large || promised != second {
		test.Errorf("after a power loss: term %s, serial %d, %d bytes, promised %s",
			accepted.Term, accepted.Value.Serial, len(accepted.Value.Body), promised)
	}
}

// A promise contains only values that are newer than the candidate's. Those of the same
// version are filled in from its own copy, so that all inherited values are complete.
func TestPromiseOmitsValuesThatCandidateHolds(test *testing.T) {
	term := func(number uint64) message.Term { return message.Term{Number: number, Core: 1} }
	accepted := func(number, serial uint64, body string) message.AcceptedValue {
		return message.AcceptedValue{Term: term(number), Value: message.Value{Serial: serial, Body: []byte(body)}}
	}
	candidate := [message.Registers]message.AcceptedValue{
		accepted(3, 5, "same"),
		accepted(3, 5, "newer here"),
		accepted(2, 4, "older here"),
	}
	state := &consensus.State{Accepted: candidate}
	state.Accepted[1], state.Accepted[2] = accepted(2, 4, "older there"), accepted(3, 5, "newer there")
	promise, _ := state.Prepare(&message.PrepareRequest{Term: term(9), Held: consensus.VersionsOf(candidate)})
	for register, want := range []string{"", "", "newer there"} {
		if got := string(promise.Accepted[register].Value.Body); got != want {
			test.Errorf("register %d: promise contains wrong body %q", register, got)
		}
	}
	consensus.CompletePromise(promise, candidate)
	promises := map[int]*message.PrepareResponse{1: {Granted: true, Accepted: candidate}, 2: promise}
	inherited, _ := consensus.InheritedValues(consensus.NewView("", &consensus.Membership{}), promises)
	for register, want := range []string{"same", "newer here", "newer there"} {
		if got := string(inherited[register].Value.Body); got != want {
			test.Errorf("register %d: inherited wrong body %q", register, got)
		}
	}
}
