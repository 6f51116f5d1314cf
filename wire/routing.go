package wire

// RouteChange brings an operator's routing order, packed, to the leader.
type RouteChange struct {
	Body []byte
}

// RouteChangeTold is the register's serial that holds the change.
type RouteChangeTold struct {
	Serial uint64
	Again  bool
}

// RouteRead asks the leader for the confirmed routing.
type RouteRead struct{}

// RouteReadTold brings the confirmed routing, packed.
type RouteReadTold struct {
	Serial uint64
	Body   []byte
}

// Evacuate asks that nothing be sent to the backends of a zone, or takes it back.
// Upon is how often the zone was evacuated and taken back so far, as an earlier
// answer told, without which the order is not carried out: it may have been on its
// way for long. With Ask nothing changes and only that number is told.
type Evacuate struct {
	Zone  string
	Begin bool
	Ask   bool
	Upon  uint64
}

// EvacuateTold is the register's serial, and how often the zone was evacuated and taken back.
type EvacuateTold struct {
	Serial  uint64
	Changes uint64
}

// Check refuses a zone's name of the wrong length.
func (message *Evacuate) Check() error {
	if message.Zone == "" || len(message.Zone) > 200 {
		return New(BadMessage, "evacuate: zone of %d letters", len(message.Zone))
	}
	return nil
}

// WindowCount is how many requests of each tenant began at backends within one
// window of usage, as far as one process sent them; it only rises.
type WindowCount struct {
	Window  int64
	Tenants map[string]uint64
}
