package message

// StatusRequest asks a core for its view of the deployment. The leader's is complete.
type StatusRequest struct{}

// StatusResponse is a core's view of the deployment.
type StatusResponse struct {
	Membership MembershipStatus `json:"membership"`

	Leader     Leader            `json:"leader"`
	State      string            `json:"state"`
	Revocation string            `json:"revocation"`
	Conditions []Condition       `json:"conditions"`
	Serial     uint64            `json:"serial"`
	Table      TableVersion      `json:"table"`
	Cores      []CoreStatus      `json:"cores"`
	Members    []MemberStatus    `json:"members"`
	Backends   []Backend         `json:"backends"`
	Counts     map[string]uint64 `json:"counts"`
}

// Condition is one thing that must hold for a leadership, and whether it does.
type Condition struct {
	Name   string `json:"name"`
	Holds  bool   `json:"holds"`
	Detail string `json:"detail"`
}

// CoreStatus is one core as the leader sees it.
type CoreStatus struct {
	Core     int      `json:"core"`
	Address  string   `json:"address"`
	Voter    bool     `json:"voter"`
	Seen     bool     `json:"seen"`
	Versions Versions `json:"marks" msgpack:"Marks"`
}

// MemberStatus is one daemon as the leader sees it. AgeMs is how long ago its session
// was renewed, and Core the core that it spoke to.
type MemberStatus struct {
	Member Member       `json:"member"`
	Serial uint64       `json:"serial"`
	Table  TableVersion `json:"table"`
	Parent string       `json:"parent"`
	AgeMs  int64        `json:"age_ms"`
	Core   int          `json:"core"`
	Probes []Probe      `json:"probes,omitempty"`
}

// VoterStatus is a core that votes. Seen says whether it answered the leader within the
// suspicion time-out, SilentMs how long ago it did, and Leaving whether it announced its
// end.
type VoterStatus struct {
	ID       int    `json:"id"`
	Address  string `json:"address"`
	Seen     bool   `json:"seen"`
	SilentMs int64  `json:"silent" msgpack:"Silent"`
	Leaving  bool   `json:"leaving,omitempty"`
}

// LearnerStatus is a core that waits for a voter's place. Synced says whether it holds
// all that was decided, or nearly so, and may take one.
type LearnerStatus struct {
	Address  string `json:"address"`
	Seen     bool   `json:"seen"`
	SilentMs int64  `json:"silent" msgpack:"Silent"`
	Synced   bool   `json:"synced"`
}

// MembershipStatus is which cores vote. Next is set during a replacement: the voters to
// come. Only the leader knows who was seen, and the learners.
type MembershipStatus struct {
	Version  uint64          `json:"version"`
	Term     Term            `json:"ballot" msgpack:"Ballot"`
	Voters   []VoterStatus   `json:"voters"`
	Next     []VoterStatus   `json:"next,omitempty"`
	Learners []LearnerStatus `json:"learners"`
}
