package message

// StatusRequest asks a core for its view of the deployment. Only the leader's is complete.
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

// Condition is a condition that a leadership requires, and whether it holds.
type Condition struct {
	Name   string `json:"name"`
	Holds  bool   `json:"holds"`
	Detail string `json:"detail"`
}

// CoreStatus is the state of a core as seen by the leader.
type CoreStatus struct {
	Core     int      `json:"core"`
	Address  string   `json:"address"`
	Voter    bool     `json:"voter"`
	Seen     bool     `json:"seen"`
	Versions Versions `json:"marks" msgpack:"Marks"`
}

// MemberStatus is the state of a daemon as seen by the leader. AgeMs is the time since its last
// session heartbeat, and Core the core that received it.
type MemberStatus struct {
	Member Member       `json:"member"`
	Serial uint64       `json:"serial"`
	Table  TableVersion `json:"table"`
	Parent string       `json:"parent"`
	AgeMs  int64        `json:"age_ms"`
	Core   int          `json:"core"`
	Probes []Probe      `json:"probes,omitempty"`
}

// VoterStatus is the state of a voter. Seen reports whether it responded to the leader within
// the suspicion time-out, SilentMs is the time since its last response, and Leaving reports
// whether it has announced its shutdown.
type VoterStatus struct {
	ID       int    `json:"id"`
	Address  string `json:"address"`
	Seen     bool   `json:"seen"`
	SilentMs int64  `json:"silent" msgpack:"Silent"`
	Leaving  bool   `json:"leaving,omitempty"`
}

// LearnerStatus is the state of a learner. Synced reports whether it holds nearly all decided
// values and may thus replace a voter.
type LearnerStatus struct {
	Address  string `json:"address"`
	Seen     bool   `json:"seen"`
	SilentMs int64  `json:"silent" msgpack:"Silent"`
	Synced   bool   `json:"synced"`
}

// MembershipStatus is the state of the membership. Next holds the next voters during a
// replacement. Only the leader knows the learners and which cores were seen.
type MembershipStatus struct {
	Version  uint64          `json:"version"`
	Term     Term            `json:"ballot" msgpack:"Ballot"`
	Voters   []VoterStatus   `json:"voters"`
	Next     []VoterStatus   `json:"next,omitempty"`
	Learners []LearnerStatus `json:"learners"`
}
