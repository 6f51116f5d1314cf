package agent

import (
	"testing"

	"orchidjunction/message"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// A new leader that cannot read the platform's list names no backends. A routing that is
// newer comes into force all the same, with the backends that were known before.
func TestRoutingComesIntoForceWithoutAList(test *testing.T) {
	newTable := func(term uint64, isComplete bool, names ...string) *message.Table {
		table := &message.Table{Version: message.TableVersion{Term: message.Term{Number: term, Core: 1}, Number: 1}, Complete: isComplete}
		for _, name := range names {
			table.Backends = append(table.Backends, message.Backend{Name: name})
		}
		return table
	}
	newResponse := func(serial uint64, table *message.Table) *message.FetchResponse {
		body, err := rpc.Marshal(&routing.State{Config: routing.Config{Version: serial}})
		if err != nil {
			test.Fatal(err)
		}
		return &message.FetchResponse{Routing: serial, RoutingBody: body, Table: table}
	}
	version := &Version{Table: &message.Table{}}
	for _, step := range []struct {
		name     string
		response *message.FetchResponse
		servable bool
		routing  uint64
		backends int
	}{
		{"nothing known of backends", newResponse(1, newTable(1, false)), false, 1, 0},
		{"a list", newResponse(2, newTable(2, true, "a", "b")), true, 2, 2},
		{"the next leader has none", newResponse(3, newTable(3, false)), true, 3, 2},
		{"nor the one after", newResponse(4, newTable(4, false)), true, 4, 2},
		{"which reads one", newResponse(5, newTable(5, true, "c")), true, 5, 1},
	} {
		next, err := version.withUpdate(step.response, message.Chunks{})
		if err != nil {
			test.Fatal(step.name, err)
		}
		if next.Servable() != step.servable || next.Routing.Config.Version != step.routing {
			test.Errorf("%s: servable %v, routing %d", step.name, next.Servable(), next.Routing.Config.Version)
		}
		if step.servable && len(next.ServingTable().Backends) != step.backends {
			test.Errorf("%s: serves by %d backends, want %d", step.name, len(next.ServingTable().Backends), step.backends)
		}
		if next.Table != step.response.Table {
			test.Errorf("%s: the newest table is not kept", step.name)
		}
		version = next
	}
}

// A table that lists backends of an ordered version comes into force only with the roll-outs
// under which it was built: a daemon that missed these would send them a full share.
func TestTableWaitsForItsRollouts(test *testing.T) {
	newTable := func(number, rollouts uint64) *message.Table {
		return &message.Table{Version: message.TableVersion{Number: number}, Complete: true, Rollouts: rollouts}
	}
	list := []message.Rollout{{Service: "desk", Target: "v2", ID: 1}}
	version := &Version{Table: &message.Table{}}
	for _, step := range []struct {
		name     string
		response *message.FetchResponse
		table    uint64
		rollouts uint64
	}{
		{"before any roll-out", &message.FetchResponse{Table: newTable(1, 0)}, 1, 0},
		{"a table whose roll-outs are missing", &message.FetchResponse{Table: newTable(2, 1)}, 1, 0},
		{"a delta whose roll-outs are missing", &message.FetchResponse{
			Delta: &message.TableDelta{Base: message.TableVersion{Number: 1}, Version: message.TableVersion{Number: 3}, Rollouts: 1},
		}, 1, 0},
		{"roll-outs alone", &message.FetchResponse{Rollouts: 1, RolloutList: list}, 1, 1},
		{"the table once more", &message.FetchResponse{Table: newTable(2, 1)}, 2, 1},
		{"older roll-outs", &message.FetchResponse{Rollouts: 0, Table: newTable(4, 1)}, 4, 1},
		{"both at once", &message.FetchResponse{Rollouts: 5, RolloutList: list, Table: newTable(6, 5)}, 6, 5},
	} {
		next, err := version.withUpdate(step.response, message.Chunks{})
		if err != nil {
			test.Fatal(step.name, err)
		}
		if next.Table.Version.Number != step.table || next.RolloutSerial != step.rollouts {
			test.Errorf("%s: table %d, roll-outs %d", step.name, next.Table.Version.Number, next.RolloutSerial)
		}
		if step.rollouts > 0 && len(next.Rollouts) != 1 {
			test.Errorf("%s: %d roll-outs", step.name, len(next.Rollouts))
		}
		version = next
	}
}
