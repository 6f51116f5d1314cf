package replica_test

import (
	"testing"

	"orchidjunction/harness/simulation"
	"orchidjunction/message"
	"orchidjunction/replica"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

// recordBeforeMemberships is a journal record, and stateBeforeMemberships a snapshot, of
// releases that could not replace a voter: with a separate list of voters and three
// registers.
type recordBeforeMemberships struct {
	Opening  bool
	Roster   []message.Peer
	Founded  bool
	Promised *message.Term
	Register message.Register
	Accepted *message.AcceptedValue
	Texts    message.Chunks

	Committed *message.Version
}

type stateBeforeMemberships struct {
	Opening  bool
	Roster   []message.Peer
	Founded  bool
	Promised message.Term
	Accepted [3]message.AcceptedValue
	Texts    message.Chunks

	Committed [3]message.Version
}

// stateBeforeRollouts is a snapshot of releases without rollouts, with four registers.
type stateBeforeRollouts struct {
	Opening  bool
	Roster   []message.Peer
	Founded  bool
	Promised message.Term
	Accepted [4]message.AcceptedValue
	Texts    message.Chunks

	Committed [4]message.Version
}

// Data of former releases can be read. Their list of voters becomes the first membership.
func TestDataOfFormerReleasesIsRead(test *testing.T) {
	voters := []message.Peer{{ID: 1, Address: "10.0.0.1:41"}, {ID: 2, Address: "10.0.0.2:41"}, {ID: 3, Address: "10.0.0.3:41"}}
	term := message.Term{Number: 7, Core: 2}
	routing := message.AcceptedValue{Term: term, Value: message.Value{Serial: 5, Body: []byte("routing")}}
	snapshot := stateBeforeMemberships{Roster: voters, Founded: true, Promised: term}
	snapshot.Accepted[message.RoutingRegister] = routing
	beforeRollouts := stateBeforeRollouts{Roster: voters, Founded: true, Promised: term}
	beforeRollouts.Accepted[message.RoutingRegister] = routing
	for name, files := range map[string]map[string]any{
		"log": {"segment-0000000000000000": &recordBeforeMemberships{
			Roster: voters, Founded: true, Promised: &term, Register: message.RoutingRegister, Accepted: &routing,
		}},
		"snapshot": {"snapshot-0000000000000001": &snapshot, "segment-0000000000000001": &recordBeforeMemberships{Founded: true}},
		"snapshot before rollouts": {
			"snapshot-0000000000000001": &beforeRollouts, "segment-0000000000000001": &recordBeforeMemberships{Founded: true},
		},
	} {
		disk := simulation.NewDisk(1)
		for fileName, content := range files {
			body, err := rpc.Marshal(content)
			if err != nil {
				test.Fatal(err)
			}
			file, err := disk.Create(fileName)
			if err != nil {
				test.Fatal(err)
			}
			if _, err := file.Write(storage.NewFrame(body)); err != nil {
				test.Fatal(err)
			}
			if err := file.Sync(); err != nil {
				test.Fatal(err)
			}
		}
		store, err := replica.OpenStore(disk)
		if err != nil {
			test.Errorf("%s: open store: %v", name, err)
			continue
		}
		state := store.State()
		membership := state.Membership()
		if membership == nil || len(membership.Voters) != 3 || membership.LastID != 3 || membership.Version.Serial != 1 {
			test.Errorf("%s: membership %+v", name, membership)
		}
		if rollouts := state.Accepted[message.RolloutsRegister]; rollouts.Version() != (message.Version{}) || len(rollouts.Value.Body) > 0 {
			test.Errorf("%s: rollouts %+v, want none", name, rollouts)
		}
		if !state.Initialized || state.Promised != term || state.Accepted[message.RoutingRegister].Value.Serial != 5 {
			test.Errorf("%s: state %+v", name, state)
		}
	}
}
