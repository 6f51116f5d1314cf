package wire

// ChangeRequest is an operator's new settings, whole or partial.
type ChangeRequest struct {
	ID       string
	Base     uint64
	Kind     string
	Body     []byte
	Operator string
}

// Check refuses an ID of the wrong length and an unknown kind.
func (change *ChangeRequest) Check() error {
	if change.ID == "" || len(change.ID) > 128 {
		return Errorf(BadMessage, "change id has %d letters, allowed 1 to 128", len(change.ID))
	}
	if change.Kind != "whole" && change.Kind != "partial" {
		return Errorf(BadMessage, "change kind %q", change.Kind)
	}
	return nil
}

// ChangeResponse is the serial that holds the change; Again tells that an earlier send of it was taken.
type ChangeResponse struct {
	Serial    uint64
	Duplicate bool `msgpack:"Again"`
}

// ReadRequest asks the leader for the confirmed settings; an asker that holds their
// serial gets no body.
type ReadRequest struct {
	HeldSerial uint64 `msgpack:"Held"`
	History    bool   `msgpack:"Trail"`
}

// ReadResponse brings the confirmed settings, and their trail where it was asked for.
type ReadResponse struct {
	Serial  uint64
	Body    []byte
	History []HistoryEntry `msgpack:"Trail"`
}

// StatusRequest asks the leader for the fleet as it sees it.
type StatusRequest struct{}

// Condition is one named thing a leadership needs.
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

// MemberStatus is one daemon as the leader sees it.
type MemberStatus struct {
	Member Member       `json:"member"`
	Serial uint64       `json:"serial"`
	Table  TableVersion `json:"table"`
	Parent string       `json:"parent"`
	AgeMs  int64        `json:"age_ms"`
	Core   int          `json:"core"`
	Probes []Probe      `json:"probes,omitempty"`
}

// VoterStatus is a core that votes. Seen is whether it answered the leader within the
// suspicion span, Silent how many milliseconds ago it did, and Leaving whether it
// announced its end.
type VoterStatus struct {
	ID       int    `json:"id"`
	Address  string `json:"address"`
	Seen     bool   `json:"seen"`
	SilentMs int64  `json:"silent" msgpack:"Silent"`
	Leaving  bool   `json:"leaving,omitempty"`
}

// LearnerStatus is a core that waits for a voter's place. Synced is whether it holds
// all that was decided, or nearly so, and may take one.
type LearnerStatus struct {
	Address  string `json:"address"`
	Seen     bool   `json:"seen"`
	SilentMs int64  `json:"silent" msgpack:"Silent"`
	Synced   bool   `json:"synced"`
}

// MembershipStatus is who votes. Next is there during a replacement: the voters to
// come. Only the leader knows who was seen, and the learners.
type MembershipStatus struct {
	Version  uint64          `json:"version"`
	Term     Term            `json:"ballot" msgpack:"Ballot"`
	Voters   []VoterStatus   `json:"voters"`
	Next     []VoterStatus   `json:"next,omitempty"`
	Learners []LearnerStatus `json:"learners"`
}

// StatusResponse is the fleet as the leader sees it.
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
