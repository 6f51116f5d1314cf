package replica_test

import (
	"testing"

	"orchidjunction/harness/simulation"
	"orchidjunction/message"
	"orchidjunction/replica"
)

// A restored replica accepts the values that it copied from others under its own term only.
// If they counted under their former terms, copies of one vote would look like a majority.
func TestRestoredValueIsNoVoteForFormerTerm(test *testing.T) {
	store, err := replica.OpenStore(simulation.NewDisk(1))
	if err != nil {
		test.Fatal(err)
	}
	voter := replica.New(store, failOnDiskError(test))
	accepted := [message.Registers]message.AcceptedValue{}
	accepted[message.RoutingRegister] = message.AcceptedValue{
		Term:  message.Term{Number: 3, Core: 2},
		Value: message.Value{Serial: 7, Body: []byte("routing")},
	}
	own := message.Term{Number: 5, Core: 1}
	if err := voter.Initialize(own, accepted, nil); err != nil {
		test.Fatal(err)
	}
	state := voter.State()
	if want := (message.Version{Term: own, Serial: 7}); state.Versions()[message.RoutingRegister] != want || state.Promised != own {
		test.Errorf("promised %v, routing register has version %v", state.Promised, state.Versions()[message.RoutingRegister])
	}
	if version := state.Versions()[message.ReportsRegister]; version != (message.Version{}) {
		test.Errorf("reports register was never written, but has version %v", version)
	}
}
