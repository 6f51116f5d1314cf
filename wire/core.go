package wire

// What cores say to each other.

// PreVoteRequest asks whether a candidacy would find support, before any ballot is pushed.
// Members is the newest membership that the candidate knows.
type PreVoteRequest struct {
	Core       int
	Versions   Versions `msgpack:"Marks"`
	Membership Version  `msgpack:"Members"`
}

// PreVoteResponse is whether a core would support the candidate, and what it knows
// itself: whether it hears a leader, its marks, its highest round, a newer membership.
type PreVoteResponse struct {
	Granted     bool `msgpack:"Willing"`
	LeaderAlive bool `msgpack:"Heard"`
	Voter       bool
	Versions    Versions      `msgpack:"Marks"`
	Reachable   int           `msgpack:"Reach"`
	TermNumber  uint64        `msgpack:"Round"`
	Membership  AcceptedValue `msgpack:"Members"`
}

// PrepareRequest asks a replica to take nothing under older ballots. It names the
// membership by which the asker counts: a replica that knows a newer one with other
// voters refuses.
type PrepareRequest struct {
	Term       Term          `msgpack:"Ballot"`
	Membership AcceptedValue `msgpack:"Members"`
}

// PrepareResponse holds all that was accepted where the promise was granted, and the
// newer membership where it was refused for that.
type PrepareResponse struct {
	Granted    bool
	Promised   Term
	Accepted   [Registers]AcceptedValue
	Membership AcceptedValue `msgpack:"Members"`
}

// AcceptRequest brings the branches that its sender thinks are new; the teller names
// those that it lacks all the same.
type AcceptRequest struct {
	Term     Term `msgpack:"Ballot"`
	Register Register
	Value    Value
	Chunks   Chunks `msgpack:"Texts"`
}

// AcceptResponse is whether the value was taken; Lacks are digests of branches that are missing.
type AcceptResponse struct {
	Accepted bool `msgpack:"Taken"`
	Promised Term
	Missing  []string `msgpack:"Lacks"`
}

// HeartbeatRequest is a leader's heartbeat. It tells what is committed and, while Duck is set, who
// is to lead next.
type HeartbeatRequest struct {
	Term      Term `msgpack:"Ballot"`
	Leader    Leader
	Committed Versions
	Lameduck  bool `msgpack:"Duck"`
	Successor Leader
	Table     TableVersion
	NowMs     int64
}

// HeartbeatResponse is a core's answer to a beat. One whose disk refuses writes or does not
// answer takes the beat, as its promise stands, and can accept nothing.
type HeartbeatResponse struct {
	Accepted      bool `msgpack:"Taken"`
	Voter         bool
	RefusesWrites bool `msgpack:"Refuses"`
	Promised      Term
	Versions      Versions `msgpack:"Marks"`
	Reachable     int      `msgpack:"Reach"`
	AnchorMs      int64
	NowMs         int64
}

// TransferLeadershipRequest asks a core to take over the lead. It names the addresses of the learners,
// so that one of them can take the place of a leader that ends.
type TransferLeadershipRequest struct {
	Term     Term `msgpack:"Ballot"`
	From     int
	Versions Versions `msgpack:"Marks"`
	Learners []string
}

// TransferLeadershipResponse is whether the core takes over.
type TransferLeadershipResponse struct {
	Accepted bool `msgpack:"Taken"`
}

// ReplicaStateRequest asks a core what it holds, for one whose disk is blank.
type ReplicaStateRequest struct {
	Core       int
	Membership Version `msgpack:"Members"`
}

// ReplicaStateResponse is what a replica holds, and the membership where it knows a newer one.
type ReplicaStateResponse struct {
	Voter       bool
	Initialized bool `msgpack:"Founded"`
	Promised    Term
	Versions    Versions      `msgpack:"Marks"`
	Membership  AcceptedValue `msgpack:"Members"`
}

// ShareSessionsRequest carries the sessions one core keeps to the others.
type ShareSessionsRequest struct {
	Core     int
	Sessions []Session
}

// ShareSessionsResponse confirms a Tell.
type ShareSessionsResponse struct{}

// Check refuses a ballot without a round or of a core out of range.
func (message *PrepareRequest) Check() error { return message.Term.check() }

// Check refuses an unknown register, a damaged branch and a bad ballot.
func (message *AcceptRequest) Check() error {
	if message.Register < 0 || message.Register >= Registers {
		return Errorf(BadMessage, "no register %d", message.Register)
	}
	if err := message.Chunks.check(); err != nil {
		return err
	}
	return message.Term.check()
}

// Check refuses a ballot without a round or of a core out of range.
func (message *HeartbeatRequest) Check() error { return message.Term.check() }

// Check refuses a learner's address that is none, and a bad ballot.
func (message *TransferLeadershipRequest) Check() error {
	for _, address := range message.Learners {
		if err := (Peer{ID: 1, Address: address}).check(); err != nil {
			return err
		}
	}
	return message.Term.check()
}

// Check refuses a core out of range.
func (message *PreVoteRequest) Check() error { return checkCore(message.Core) }

// Check refuses a core out of range.
func (message *ReplicaStateRequest) Check() error { return checkCore(message.Core) }

// Check refuses a session that is refused by itself, and a core out of range.
func (message *ShareSessionsRequest) Check() error {
	for index := range message.Sessions {
		if err := message.Sessions[index].Check(); err != nil {
			return err
		}
	}
	return checkCore(message.Core)
}

func (ballot Term) check() error {
	if ballot.Number == 0 {
		return Errorf(BadMessage, "ballot without a round")
	}
	return checkCore(ballot.Core)
}

func checkCore(core int) error {
	if core < 1 || core > MaxPeerID {
		return Errorf(BadMessage, "core id %d is not in 1 to %d", core, MaxPeerID)
	}
	return nil
}
