package wire

// RoutingChangeRequest brings an operator's routing order, packed, to the leader.
type RoutingChangeRequest struct {
	Body []byte
}

// RoutingChangeResponse is the register's serial that holds the change.
type RoutingChangeResponse struct {
	Serial    uint64
	Duplicate bool `msgpack:"Again"`
}

// RoutingReadRequest asks the leader for the confirmed routing.
type RoutingReadRequest struct{}

// RoutingReadResponse brings the confirmed routing, packed.
type RoutingReadResponse struct {
	Serial uint64
	Body   []byte
}

// EvacuateRequest asks that nothing be sent to the backends of a zone, or takes it back.
// Upon is how often the zone was evacuated and taken back so far, as an earlier
// answer told, without which the order is not carried out: it may have been on its
// way for long. With Ask nothing changes and only that number is told.
type EvacuateRequest struct {
	Zone            string
	Begin           bool
	QueryOnly       bool   `msgpack:"Ask"`
	ExpectedChanges uint64 `msgpack:"Upon"`
}

// EvacuateResponse is the register's serial, and how often the zone was evacuated and taken back.
type EvacuateResponse struct {
	Serial  uint64
	Changes uint64
}

// Check refuses a zone's name of the wrong length.
func (message *EvacuateRequest) Check() error {
	if message.Zone == "" || len(message.Zone) > 200 {
		return Errorf(BadMessage, "evacuate: zone of %d letters", len(message.Zone))
	}
	return nil
}

// WindowCount is how many requests of each tenant began at backends within one
// window of usage, as far as one process sent them; it only rises.
type WindowCount struct {
	Window  int64
	Tenants map[string]uint64
}
