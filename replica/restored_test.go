package replica_test

import (
	"testing"

	"orchidjunction/harness/simulation"
	"orchidjunction/message"
	"orchidjunction/replica"
)

// A blank disk that took over what others hold has accepted it under its own
// ballot only: counted under theirs, copies of one vote would look like a majority.
func TestInheritedValueIsNoVoteOfTheFormerTerm(test *testing.T) {
	store, err := replica.OpenStore(simulation.NewDisk(1))
	if err != nil {
		test.Fatal(err)
	}
	voter := replica.New(store, failing(test))
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
		test.Errorf("promised %v, routing %v", state.Promised, state.Versions()[message.RoutingRegister])
	}
	if never := state.Versions()[message.ReportsRegister]; never != (message.Version{}) {
		test.Errorf("reports, never written, %v", never)
	}
}
