package agent

import (
	"testing"

	"orchidjunction/message"
	"orchidjunction/routing"
	"orchidjunction/rpc"
)

// A new leader that cannot read the platform's list publishes no backends. A newer routing is
// applied all the same, with the backends known before.
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
		{"no complete table yet", newResponse(1, newTable(1, false)), false, 1, 0},
		{"first complete table", newResponse(2, newTable(2, true, "a", "b")), true, 2, 2},
		{"incomplete table of the next leader", newResponse(3, newTable(3, false)), true, 3, 2},
		{"incomplete table of a third leader", newResponse(4, newTable(4, false)), true, 4, 2},
		{"complete table again", newResponse(5, newTable(5, true, "c")), true, 5, 1},
	} {
		next, err := version.withUpdate(step.response, message.Chunks{})
		if err != nil {
			test.Fatal(step.name, err)
		}
		if next.Servable() != step.servable || next.Routing.Config.Version != step.routing {
			test.Errorf("%s: servable %v, routing %d", step.name, next.Servable(), next.Routing.Config.Version)
		}
		if step.servable && len(next.ServingTable().Backends) != step.backends {
			test.Errorf("%s: serving table has %d backends, want %d", step.name, len(next.ServingTable().Backends), step.backends)
		}
		if next.Table != step.response.Table {
			test.Errorf("%s: the newest table was not stored", step.name)
		}
		version = next
	}
}

// A table that lists backends of a version being rolled out is applied only with the rollouts
// under which it was built: without them the daemon would send these backends a full share.
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
		{"the table again", &message.FetchResponse{Table: newTable(2, 1)}, 2, 1},
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
