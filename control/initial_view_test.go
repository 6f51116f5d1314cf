package control

import (
	"testing"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// Until the first replacement of a core, addresses come from the flags. Afterwards the stored
// membership applies, whatever the flags still name.
func TestFlagAddressesApplyUntilFirstReplacement(test *testing.T) {
	config := &Config{
		ID:              1,
		InternalAddress: "10.0.0.1:1",
		Peers:           []message.Peer{{ID: 2, Address: "10.0.0.2:1"}, {ID: 3, Address: "10.0.0.33:1"}},
	}
	former := consensus.InitialMembership([]string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"})
	former.Version.Term = message.Term{Number: 4, Core: 2}
	step := former.WithReplacement(3, "10.0.0.4:1")
	for number, testCase := range []struct {
		accepted *consensus.Membership
		want     []message.Peer
		version  message.Version
	}{
		{nil, []message.Peer{{ID: 1, Address: "10.0.0.1:1"}, {ID: 2, Address: "10.0.0.2:1"}, {ID: 3, Address: "10.0.0.33:1"}}, message.Version{Serial: 1}},
		{former, []message.Peer{{ID: 1, Address: "10.0.0.1:1"}, {ID: 2, Address: "10.0.0.2:1"}, {ID: 3, Address: "10.0.0.33:1"}}, former.Version},
		{step, former.Voters, step.Version},
		{step.AfterJoint(), step.Next, step.AfterJoint().Version},
	} {
		view := config.initialView(testCase.accepted)
		if len(view.Voters) != len(testCase.want) || view.Version != testCase.version {
			test.Errorf("case %d: membership %+v", number, view.Membership)
			continue
		}
		for index, peer := range testCase.want {
			if view.Voters[index] != peer {
				test.Errorf("case %d: voter %+v, want %+v", number, view.Voters[index], peer)
			}
		}
		if view.ID != 1 {
			test.Errorf("case %d: core ID %d, want 1", number, view.ID)
		}
	}
	removed := *config
	removed.ID, removed.InternalAddress, removed.Peers = 3, "10.0.0.3:1", []message.Peer{
		{ID: 1, Address: "10.0.0.1:1"},
		{ID: 2, Address: "10.0.0.2:1"},
	}
	if view := removed.initialView(step.AfterJoint()); view.ID != 0 || view.IsVoter() {
		test.Errorf("a removed core still has ID %d", view.ID)
	}
}
