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
	store, mishap := control.OpenStore(sim.NewDisk(1))
	if mishap != nil {
		test.Fatal(mishap)
	}
	voter := control.NewVoter(store, func(mishap error) { test.Error(mishap) }, func(wire.Ballot) {})
	accepted := [wire.Registers]wire.Accepted{}
	accepted[wire.RoutingRegister] = wire.Accepted{Ballot: wire.Ballot{Round: 3, Core: 2}, Value: wire.Value{Serial: 7, Body: []byte("routing")}}
	own := wire.Ballot{Round: 5, Core: 1}
	if mishap := voter.Found(own, accepted, nil); mishap != nil {
		test.Fatal(mishap)
	}
	state := voter.State()
	if want := (wire.Mark{Ballot: own, Serial: 7}); state.Marks()[wire.RoutingRegister] != want || state.Promised != own {
		test.Errorf("promised %v, routing %v", state.Promised, state.Marks()[wire.RoutingRegister])
	}
	if never := state.Marks()[wire.ReportsRegister]; never != (wire.Mark{}) {
		test.Errorf("reports, never written, %v", never)
	}
}
