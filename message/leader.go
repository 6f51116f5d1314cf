package message

// Leader is the core that leads, as far as the sender knows.
type Leader struct {
	Term    Term   `json:"ballot" msgpack:"Ballot"`
	Core    int    `json:"core"`
	Address string `json:"address"`
}

// Known reports whether the sender knows who leads.
func (leader Leader) Known() bool { return leader.Address != "" }

// LeaderRequest asks any process for the leader.
type LeaderRequest struct{}

// LeaderResponse is the leader and the addresses of the cores, as far as the sender
// knows, and the versions that it holds.
type LeaderResponse struct {
	Leader   Leader
	Lameduck bool `msgpack:"Duck"`
	Cores    []string
	Serial   uint64

	Routing    uint64
	Table      TableVersion
	Membership Version `msgpack:"Members"`
}

// ReadIndexRequest asks the leader for the newest versions. The leader answers after a
// quorum has accepted a heartbeat that was sent after the request came.
type ReadIndexRequest struct{}

// ReadIndexResponse is the leader's confirmed versions.
type ReadIndexResponse struct {
	Serial uint64
	Table  TableVersion

	Routing  uint64
	Rollouts uint64
}
