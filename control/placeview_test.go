package control

import (
	"orchidjunction/message"
	"testing"
)

// As long as no core was ever replaced the flags say where the cores are; afterwards
// the disk does, whatever the flags still name.
func TestFlagsCountUntilACoreIsReplaced(test *testing.T) {
	place := &Config{ID: 1, InternalAddress: "10.0.0.1:1", Peers: []Peer{{ID: 2, Address: "10.0.0.2:1"}, {ID: 3, Address: "10.0.0.33:1"}}}
	former := firstMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	former.Version.Term = message.Term{Number: 4, Core: 2}
	step := former.withReplacement(3, "10.0.0.4:1")
	for number, try := range []struct {
		accepted *Membership
		want     []Peer
		mark     message.Version
	}{
		{nil, []Peer{{ID: 1, Address: "10.0.0.1:1"}, {ID: 2, Address: "10.0.0.2:1"}, {ID: 3, Address: "10.0.0.33:1"}}, message.Version{Serial: 1}},
		{former, []Peer{{ID: 1, Address: "10.0.0.1:1"}, {ID: 2, Address: "10.0.0.2:1"}, {ID: 3, Address: "10.0.0.33:1"}}, former.Version},
		{step, former.Voters, step.Version},
		{step.withoutFormer(), step.Next, step.withoutFormer().Version},
	} {
		view := place.view(try.accepted)
		if len(view.Voters) != len(try.want) || view.Version != try.mark {
			test.Errorf("try %d: %+v", number, view.Membership)
			continue
		}
		for index, peer := range try.want {
			if view.Voters[index] != peer {
				test.Errorf("try %d: voter %+v, want %+v", number, view.Voters[index], peer)
			}
		}
		if view.ID != 1 {
			test.Errorf("try %d: is core %d", number, view.ID)
		}
	}
	removed := *place
	removed.ID, removed.InternalAddress, removed.Peers = 3, "10.0.0.3:1", []Peer{{ID: 1, Address: "10.0.0.1:1"}, {ID: 2, Address: "10.0.0.2:1"}}
	if view := removed.view(step.withoutFormer()); view.ID != 0 || view.votes() {
		test.Errorf("a removed core takes its ID from its flags: %d", view.ID)
	}
}
