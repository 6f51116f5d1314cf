package agent

import (
	"orchidjunction/config"
	"orchidjunction/message"
	"orchidjunction/routing"
)

// Version is the state in force in a daemon: settings, routing and rollouts with their
// serials, and the table. It is immutable and replaced as a whole.
type Version struct {
	Serial        uint64
	Tree          *config.Tree
	Settings      *config.Settings
	Table         *message.Table
	RoutingSerial uint64
	Routing       *routing.State
	RolloutSerial uint64
	Rollouts      []message.Rollout

	completeTable *message.Table // the newest complete table, nil before the first
}

// ServingTable returns the newest table built from a complete list of backends, nil if there
// was none. A new leader that cannot read the platform's list builds tables without backends;
// proxies then continue with the backends they already know.
func (version *Version) ServingTable() *message.Table { return version.completeTable }

// Servable reports whether a proxy configured by the routing can serve with this version.
func (version *Version) Servable() bool {
	return version.Routing != nil && version.RoutingSerial > 0 && version.completeTable != nil
}

// Body returns the complete settings text.
func (version *Version) Body() []byte { return version.Tree.Body() }

// isBehind reports whether any of the given versions is newer.
func (version *Version) isBehind(serial, routing, rollouts uint64, table message.TableVersion) bool {
	return serial > version.Serial || routing > version.RoutingSerial || rollouts > version.RolloutSerial ||
		version.Table.Version.Less(table)
}

// withUpdate returns the version updated with the newer parts of a response. A table is applied
// only together with, or after, the rollouts under which it was built.
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

// newerTable returns the table of a response, or the current one if the response has no newer.
func newerTable(table *message.Table, response *message.FetchResponse) *message.Table {
	switch {
	case response.Table != nil && table.Version.Less(response.Table.Version):
		return response.Table
	case response.Delta != nil && table.Version.Less(response.Delta.Version):
		next, _ := table.Apply(response.Delta) // unchanged if the delta has a different base
		return next
	}
	return table
}
