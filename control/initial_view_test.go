package control

import (
	"testing"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// As long as no core was ever replaced the flags say where the cores are; afterwards
// the disk does, whatever the flags still name.
func TestFlagAddressesApplyUntilFirstReplacement(test *testing.T) {
	config := &Config{
		ID:              1,
		InternalAddress: "10.0.0.1:1",
		Peers:           []message.Peer{{ID: 2, Address: "10.0.0.2:1"}, {ID: 3, Address: "10.0.0.33:1"}},
	}
	former := consensus.InitialMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	former.Version.Term = message.Term{Number: 4, Core: 2}
	step := former.WithReplacement(3, "10.0.0.4:1")
	for number, try := range []struct {
		accepted *consensus.Membership
		want     []message.Peer
		mark     message.Version
	}{
		{nil, []message.Peer{{ID: 1, Address: "10.0.0.1:1"}, {ID: 2, Address: "10.0.0.2:1"}, {ID: 3, Address: "10.0.0.33:1"}}, message.Version{Serial: 1}},
		{former, []message.Peer{{ID: 1, Address: "10.0.0.1:1"}, {ID: 2, Address: "10.0.0.2:1"}, {ID: 3, Address: "10.0.0.33:1"}}, former.Version},
		{step, former.Voters, step.Version},
		{step.WithoutFormer(), step.Next, step.WithoutFormer().Version},
	} {
		view := config.view(try.accepted)
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
	removed := *config
	removed.ID, removed.InternalAddress, removed.Peers = 3, "10.0.0.3:1", []message.Peer{
		{ID: 1, Address: "10.0.0.1:1"},
		{ID: 2, Address: "10.0.0.2:1"},
	}
	if view := removed.view(step.WithoutFormer()); view.ID != 0 || view.Votes() {
		test.Errorf("a removed core takes its ID from its flags: %d", view.ID)
	}
}
