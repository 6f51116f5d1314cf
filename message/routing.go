package message

import "orchidjunction/rpc"

// maxZoneName is the maximum length of a zone name in bytes.
const maxZoneName = 200

// RoutingChangeRequest asks the leader for a change of the routing. Body is the encoded change.
type RoutingChangeRequest struct {
	Body []byte
}

// RoutingChangeResponse contains the serial of the routing register with the change. Duplicate
// is true if the change had already been made.
type RoutingChangeResponse struct {
	Serial    uint64
	Duplicate bool `msgpack:"Again"`
}

// RoutingReadRequest asks the leader for the confirmed routing.
type RoutingReadRequest struct{}

// RoutingReadResponse contains the confirmed routing in encoded form.
type RoutingReadResponse struct {
	Serial uint64
	Body   []byte
}

// EvacuateRequest starts (Begin) or ends the evacuation of a zone, whose backends receive no
// requests during it. ExpectedChanges is the zone's change count from an earlier response: the
// leader rejects a delayed order if the zone has changed since. With QueryOnly nothing changes
// and only the count is returned.
type EvacuateRequest struct {
	Zone            string
	Begin           bool
	QueryOnly       bool   `msgpack:"Ask"`
	ExpectedChanges uint64 `msgpack:"Upon"`
}

// EvacuateResponse contains the serial of the routing register, and how often the zone has been
// evacuated and restored.
type EvacuateResponse struct {
	Serial  uint64
	Changes uint64
}

// Check rejects an empty or overlong zone name.
func (request *EvacuateRequest) Check() error {
	if request.Zone == "" || len(request.Zone) > maxZoneName {
		return rpc.Errorf(rpc.BadMessage, "evacuate: zone name of %d bytes", len(request.Zone))
	}
	return nil
}

// WindowCount contains the number of requests per tenant that one process sent to backends
// within one usage window. The counts of a window never decrease.
type WindowCount struct {
	Window  int64
	Tenants map[string]uint64
}
