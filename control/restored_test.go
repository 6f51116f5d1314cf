package control_test

import (
	"testing"

	"orchidjunction/control"
	"orchidjunction/sim"
	"orchidjunction/wire"
)

// A blank disk that took over what others hold has accepted it under its own
// ballot only: counted under theirs, copies of one vote would look like a majority.
func TestTakenOverIsNoVoteOfTheFormerBallot(test *testing.T) {
	store, err := control.OpenStore(sim.NewDisk(1))
	if err != nil {
		test.Fatal(err)
	}
	voter := control.NewVoter(store, func(err error) { test.Error(err) }, func(wire.Term) {})
	accepted := [wire.Registers]wire.AcceptedValue{}
	accepted[wire.RoutingRegister] = wire.AcceptedValue{Term: wire.Term{Number: 3, Core: 2}, Value: wire.Value{Serial: 7, Body: []byte("routing")}}
	own := wire.Term{Number: 5, Core: 1}
	if err := voter.Found(own, accepted, nil); err != nil {
		test.Fatal(err)
	}
	state := voter.State()
	if want := (wire.Version{Term: own, Serial: 7}); state.Marks()[wire.RoutingRegister] != want || state.Promised != own {
		test.Errorf("promised %v, routing %v", state.Promised, state.Marks()[wire.RoutingRegister])
	}
	if never := state.Marks()[wire.ReportsRegister]; never != (wire.Version{}) {
		test.Errorf("reports, never written, %v", never)
	}
}
