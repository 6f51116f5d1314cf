package message

import "orchidjunction/rpc"

// maxZoneName is the longest name of a zone, in bytes.
const maxZoneName = 200

// RoutingChangeRequest brings an operator's change of the routing, encoded, to the leader.
type RoutingChangeRequest struct {
	Body []byte
}

// RoutingChangeResponse is the serial of the routing register that holds the change.
// Duplicate is true if the change had been made before.
type RoutingChangeResponse struct {
	Serial    uint64
	Duplicate bool `msgpack:"Again"`
}

// RoutingReadRequest asks the leader for the confirmed routing.
type RoutingReadRequest struct{}

// RoutingReadResponse brings the confirmed routing, encoded.
type RoutingReadResponse struct {
	Serial uint64
	Body   []byte
}

// EvacuateRequest asks that nothing be sent to the backends of a zone (Begin), or takes
// that back. ExpectedChanges is how often the zone was evacuated and restored so far, as
// an earlier response said: the leader does not carry out an order that was under way
// for so long that the zone has changed since. With QueryOnly nothing changes and only
// that number is returned.
type EvacuateRequest struct {
	Zone            string
	Begin           bool
	QueryOnly       bool   `msgpack:"Ask"`
	ExpectedChanges uint64 `msgpack:"Upon"`
}

// EvacuateResponse is the serial of the routing register, and how often the zone was
// evacuated and restored.
type EvacuateResponse struct {
	Serial  uint64
	Changes uint64
}

// Check refuses a zone's name of the wrong length.
func (request *EvacuateRequest) Check() error {
	if request.Zone == "" || len(request.Zone) > maxZoneName {
		return rpc.Errorf(rpc.BadMessage, "evacuate: zone of %d letters", len(request.Zone))
	}
	return nil
}

// WindowCount is how many requests of each tenant one process began at backends within
// one usage window. The counts of a window only rise.
type WindowCount struct {
	Window  int64
	Tenants map[string]uint64
}
