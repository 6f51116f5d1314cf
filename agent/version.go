package agent

import (
	"orchidjunction/config"
	"orchidjunction/message"
	"orchidjunction/routing"
)

// Version is what is in force in a daemon: settings, routing, roll-outs and table, with the
// serials of the first three. It is immutable and replaced as a whole.
type Version struct {
	Serial        uint64
	Tree          *config.Tree
	Settings      *config.Settings
	Table         *message.Table
	RoutingSerial uint64
	Routing       *routing.State
	RolloutSerial uint64
	Rollouts      []message.Rollout

	completeTable *message.Table // the newest that was complete, nil if none was yet
}

// ServingTable returns the newest table that was made of a whole list of backends, nil if
// there was none. A new leader that cannot read the platform's list makes tables without
// backends; a proxy goes on with those that it knew.
func (version *Version) ServingTable() *message.Table { return version.completeTable }

// Servable reports whether a proxy that serves by the routing can serve by this version.
func (version *Version) Servable() bool {
	return version.Routing != nil && version.RoutingSerial > 0 && version.completeTable != nil
}

// Body returns the whole text of the settings.
func (version *Version) Body() []byte { return version.Tree.Body() }

// isBehind reports whether any of the given versions is newer.
func (version *Version) isBehind(serial, routing, rollouts uint64, table message.TableVersion) bool {
	return serial > version.Serial || routing > version.RoutingSerial || rollouts > version.RolloutSerial ||
		version.Table.Version.Less(table)
}

// with returns the version with the newer parts of a response. A table that lists a new
// version of a service is taken only together with the roll-outs that it was built under.
func (version *Version) withUpdate(response *message.FetchResponse, chunks message.Chunks) (*Version, error) {
	next := *version
	if response.Serial > version.Serial {
		tree, err := config.Assemble(version.Tree, response.Chunks, chunks)
		if err != nil {
			return nil, err
		}
		next.Serial, next.Tree, next.Settings = response.Serial, tree, tree.Settings
	}
	if response.Routing > version.RoutingSerial {
		routing, err := decodeRouting(response)
		if err != nil {
			return nil, err
		}
		next.RoutingSerial, next.Routing = response.Routing, routing
	}
	if response.Rollouts > version.RolloutSerial {
		next.RolloutSerial, next.Rollouts = response.Rollouts, response.RolloutList
	}
	next.Table = newerTable(version.Table, response)
	if next.Table.Rollouts > next.RolloutSerial {
		next.Table = version.Table
	}
	if next.Table.Complete {
		next.completeTable = next.Table
	}
	return &next, nil
}

func decodeRouting(response *message.FetchResponse) (*routing.State, error) {
	body, err := response.DecompressRouting()
	if err != nil {
		return nil, err
	}
	return routing.DecodeState(body)
}

// newerTable returns the table of a response, or the present one if that is newer.
func newerTable(table *message.Table, response *message.FetchResponse) *message.Table {
	switch {
	case response.Table != nil && table.Version.Less(response.Table.Version):
		return response.Table
	case response.Delta != nil && table.Version.Less(response.Delta.Version):
		next, _ := table.Apply(response.Delta) // the table itself if the delta has another base
		return next
	}
	return table
}
