package replica_test

import (
	"testing"

	"orchidjunction/harness/simulation"
	"orchidjunction/message"
	"orchidjunction/replica"
	"orchidjunction/rpc"
	"orchidjunction/storage"
)

// formerRecord is a log entry, and formerState a snapshot, as the version before
// memberships could change wrote them: the roster by itself, and three registers.
type formerRecord struct {
	Opening  bool
	Roster   []message.Peer
	Founded  bool
	Promised *message.Term
	Register message.Register
	Accepted *message.AcceptedValue
	Texts    message.Chunks

	Committed *message.Version
}

type formerState struct {
	Opening  bool
	Roster   []message.Peer
	Founded  bool
	Promised message.Term
	Accepted [3]message.AcceptedValue
	Texts    message.Chunks

	Committed [3]message.Version
}

// fourRegisterState is a snapshot as the version before roll-outs wrote it.
type fourRegisterState struct {
	Opening  bool
	Roster   []message.Peer
	Founded  bool
	Promised message.Term
	Accepted [4]message.AcceptedValue
	Texts    message.Chunks

	Committed [4]message.Version
}

// A disk of the former version is read: its roster is the first membership.
func TestDiskOfFormerVersionIsRead(test *testing.T) {
	roster := []message.Peer{{ID: 1, Address: "10.0.0.1:41"}, {ID: 2, Address: "10.0.0.2:41"}, {ID: 3, Address: "10.0.0.3:41"}}
	term := message.Term{Number: 7, Core: 2}
	routing := message.AcceptedValue{Term: term, Value: message.Value{Serial: 5, Body: []byte("routing")}}
	snapshot := formerState{Roster: roster, Founded: true, Promised: term}
	snapshot.Accepted[message.RoutingRegister] = routing
	beforeRollouts := fourRegisterState{Roster: roster, Founded: true, Promised: term}
	beforeRollouts.Accepted[message.RoutingRegister] = routing
	for name, files := range map[string]map[string]any{
		"log":      {"segment-0000000000000000": &formerRecord{Roster: roster, Founded: true, Promised: &term, Register: message.RoutingRegister, Accepted: &routing}},
		"snapshot": {"snapshot-0000000000000001": &snapshot, "segment-0000000000000001": &formerRecord{Founded: true}},
		"snapshot of four registers": {
			"snapshot-0000000000000001": &beforeRollouts, "segment-0000000000000001": &formerRecord{Founded: true},
		},
	} {
		disk := simulation.NewDisk(1)
		for file, content := range files {
			body, err := rpc.Marshal(content)
			if err != nil {
				test.Fatal(err)
			}
			handle, err := disk.Create(file)
			if err != nil {
				test.Fatal(err)
			}
			if _, err := handle.Write(storage.NewFrame(body)); err != nil {
				test.Fatal(err)
			}
			if err := handle.Sync(); err != nil {
				test.Fatal(err)
			}
		}
		store, err := replica.OpenStore(disk)
		if err != nil {
			test.Errorf("%s: %v", name, err)
			continue
		}
		state := store.State()
		voters := state.Membership()
		if voters == nil || len(voters.Voters) != 3 || voters.LastID != 3 || voters.Version.Serial != 1 {
			test.Errorf("%s: voters %+v", name, voters)
		}
		if held := state.Accepted[message.RolloutsRegister]; held.Version() != (message.Version{}) || len(held.Value.Body) > 0 {
			test.Errorf("%s: roll-outs %+v", name, held)
		}
		if !state.Initialized || state.Promised != term || state.Accepted[message.RoutingRegister].Value.Serial != 5 {
			test.Errorf("%s: %+v", name, state)
		}
	}
}
