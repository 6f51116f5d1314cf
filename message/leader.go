package message

// Leader is the leader known to the sender.
type Leader struct {
	Term    Term   `json:"ballot" msgpack:"Ballot"`
	Core    int    `json:"core"`
	Address string `json:"address"`
}

// Known reports whether the sender knows a leader.
func (leader Leader) Known() bool { return leader.Address != "" }

// LeaderRequest asks any process for the leader.
type LeaderRequest struct{}

// LeaderResponse contains the leader and the core addresses known to the sender, and the
// versions that it holds.
type LeaderResponse struct {
	Leader   Leader
	Lameduck bool `msgpack:"Duck"`
	Cores    []string
	Serial   uint64

	Routing    uint64
	Table      TableVersion
	Membership Version `msgpack:"Members"`
}

// ReadIndexRequest asks the leader for the newest versions. The leader responds once a quorum
// has accepted a heartbeat sent after the request arrived.
type ReadIndexRequest struct{}

// ReadIndexResponse contains the leader's confirmed versions.
type ReadIndexResponse struct {
	Serial uint64
	Table  TableVersion

	Routing  uint64
	Rollouts uint64
}
