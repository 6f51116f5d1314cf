package control_test

import (
	"testing"

	"orchidjunction/control"
	"orchidjunction/sim"
	"orchidjunction/wire"
)

// formerRecord is a log entry, and formerState a snapshot, as the version before
// memberships could change wrote them: the roster by itself, and three registers.
type formerRecord struct {
	Opening  bool
	Roster   []control.Peer
	Founded  bool
	Promised *wire.Ballot
	Register wire.Register
	Accepted *wire.Accepted
	Texts    wire.Texts

	Committed *wire.Mark
}

type formerState struct {
	Opening  bool
	Roster   []control.Peer
	Founded  bool
	Promised wire.Ballot
	Accepted [3]wire.Accepted
	Texts    wire.Texts

	Committed [3]wire.Mark
}

// A disk of the former version is read: its roster is the first membership.
func TestDiskOfFormerVersionIsRead(test *testing.T) {
	roster := []control.Peer{{ID: 1, Address: "10.0.0.1:41"}, {ID: 2, Address: "10.0.0.2:41"}, {ID: 3, Address: "10.0.0.3:41"}}
	ballot := wire.Ballot{Round: 7, Core: 2}
	routing := wire.Accepted{Ballot: ballot, Value: wire.Value{Serial: 5, Body: []byte("routing")}}
	snapshot := formerState{Roster: roster, Founded: true, Promised: ballot}
	snapshot.Accepted[wire.RoutingRegister] = routing
	for name, files := range map[string]map[string]any{
		"log":      {"segment-0000000000000000": &formerRecord{Roster: roster, Founded: true, Promised: &ballot, Register: wire.RoutingRegister, Accepted: &routing}},
		"snapshot": {"snapshot-0000000000000001": &snapshot, "segment-0000000000000001": &formerRecord{Founded: true}},
	} {
		disk := sim.NewDisk(1)
		for file, content := range files {
			body, err := wire.Pack(content)
			if err != nil {
				test.Fatal(err)
			}
			handle, err := disk.Create(file)
			if err != nil {
				test.Fatal(err)
			}
			if _, err := handle.Write(control.PackedFrame(body)); err != nil {
				test.Fatal(err)
			}
			if err := handle.Sync(); err != nil {
				test.Fatal(err)
			}
		}
		store, mishap := control.OpenStore(disk)
		if mishap != nil {
			test.Errorf("%s: %v", name, mishap)
			continue
		}
		state := store.State()
		voters := state.Voters()
		if voters == nil || len(voters.Voters) != 3 || voters.LastID != 3 || voters.Mark.Serial != 1 {
			test.Errorf("%s: voters %+v", name, voters)
		}
		if !state.Founded || state.Promised != ballot || state.Accepted[wire.RoutingRegister].Value.Serial != 5 {
			test.Errorf("%s: %+v", name, state)
		}
	}
}
