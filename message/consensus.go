package message

import "orchidjunction/rpc"

// PreVoteRequest asks whether a candidate would win, before it raises its term.
// Membership is the version of the newest membership that the candidate knows.
type PreVoteRequest struct {
	Core       int
	Versions   Versions `msgpack:"Marks"`
	Membership Version  `msgpack:"Members"`
}

// PreVoteResponse says whether a core would support the candidate, and what the core
// itself knows: whether a leader is alive, how new its registers are, how many cores it
// reaches, the highest term number it has seen, and a newer membership.
type PreVoteResponse struct {
	Granted     bool `msgpack:"Willing"`
	LeaderAlive bool `msgpack:"Heard"`
	Voter       bool
	Versions    Versions      `msgpack:"Marks"`
	Reachable   int           `msgpack:"Reach"`
	TermNumber  uint64        `msgpack:"Round"`
	Membership  AcceptedValue `msgpack:"Members"`
}

// PrepareRequest asks a replica to promise that it accepts nothing under older terms
// (Paxos phase 1). It names the membership by which the candidate counts its quorum: a
// replica that knows a newer one with other voters refuses. Held are the versions that the
// candidate has accepted itself: of those, and of older ones, it needs no copy.
type PrepareRequest struct {
	Term       Term          `msgpack:"Ballot"`
	Membership AcceptedValue `msgpack:"Members"`
	Held       Versions
}

// PrepareResponse brings all that was accepted if the promise was granted, and the newer
// membership if it was refused for that. A value that is not newer than what the candidate
// holds has only its version.
type PrepareResponse struct {
	Granted    bool
	Promised   Term
	Accepted   [Registers]AcceptedValue
	Membership AcceptedValue `msgpack:"Members"`
}

// AcceptRequest asks a replica to accept a value (Paxos phase 2). It brings the chunks
// that its sender takes for new; the replica names those it lacks all the same. If Inherited
// is set, Value has only its serial: it is the value that replicas have accepted under that
// version, the term of an earlier leader.
type AcceptRequest struct {
	Term      Term `msgpack:"Ballot"`
	Register  Register
	Value     Value
	Chunks    Chunks `msgpack:"Texts"`
	Inherited Version
}

// ByReference returns the request without what a replica has that accepted the value under
// an earlier version.
func (request *AcceptRequest) ByReference(inherited Version) *AcceptRequest {
	return &AcceptRequest{
		Term:      request.Term,
		Register:  request.Register,
		Value:     Value{Serial: request.Value.Serial},
		Inherited: inherited,
	}
}

// AcceptResponse says whether the value was accepted. Missing are the digests of chunks
// that the replica lacks; LacksValue says that it did not accept the inherited version.
type AcceptResponse struct {
	Accepted   bool `msgpack:"Taken"`
	Promised   Term
	Missing    []string `msgpack:"Lacks"`
	LacksValue bool
}

// RenewCandidacyRequest tells a replica that the candidate which it promised a term to is
// still about to establish its leadership.
type RenewCandidacyRequest struct {
	Term Term `msgpack:"Ballot"`
}

// RenewCandidacyResponse says whether the replica's promise still stands.
type RenewCandidacyResponse struct {
	Accepted bool `msgpack:"Taken"`
}

// HeartbeatRequest is a leader's heartbeat. It says what is committed and, while the
// leader is in lameduck, who is to lead next. NowMs is the cluster's time in
// milliseconds since the Unix epoch, 0 if unknown.
type HeartbeatRequest struct {
	Term      Term `msgpack:"Ballot"`
	Leader    Leader
	Committed Versions
	Lameduck  bool `msgpack:"Duck"`
	Successor Leader
	Table     TableVersion
	NowMs     int64
}

// HeartbeatResponse answers a heartbeat. A core whose disk refuses writes or does not
// respond accepts it, as its promise holds, but can accept no values. AnchorMs is the
// core's own clock and NowMs the cluster's time as it knows it, 0 if it does not.
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

// TransferLeadershipRequest asks a core to take over from a leader that steps down. It
// names the learners' addresses, so that one of them can take the old leader's place.
type TransferLeadershipRequest struct {
	Term     Term `msgpack:"Ballot"`
	From     int
	Versions Versions `msgpack:"Marks"`
	Learners []string
}

// TransferLeadershipResponse says whether the core takes over.
type TransferLeadershipResponse struct {
	Accepted bool `msgpack:"Taken"`
}

// ReplicaStateRequest asks a core what it holds, for a core that lost its disk or
// restarted.
type ReplicaStateRequest struct {
	Core       int
	Membership Version `msgpack:"Members"`
}

// ReplicaStateResponse is what a replica holds, and the membership if it knows a newer one.
type ReplicaStateResponse struct {
	Voter       bool
	Initialized bool `msgpack:"Founded"`
	Promised    Term
	Versions    Versions      `msgpack:"Marks"`
	Membership  AcceptedValue `msgpack:"Members"`
	// Bytes is the size of the values.
	Bytes int
}

// ShareSessionsRequest brings the sessions that daemons have with one core to another.
type ShareSessionsRequest struct {
	Core     int
	Sessions []Session
}

// ShareSessionsResponse confirms a ShareSessionsRequest.
type ShareSessionsResponse struct{}

// Check refuses a core out of range.
func (request *PreVoteRequest) Check() error { return checkCoreID(request.Core) }

// Check refuses a term without a number or of a core out of range.
func (request *PrepareRequest) Check() error { return request.Term.check() }

// Check refuses a term without a number or of a core out of range.
func (request *RenewCandidacyRequest) Check() error { return request.Term.check() }

// Check refuses an unknown register, a corrupt chunk, a value beside a reference and an
// invalid term.
func (request *AcceptRequest) Check() error {
	if request.Register < 0 || request.Register >= Registers {
		return rpc.Errorf(rpc.BadMessage, "no register %d", request.Register)
	}
	if err := request.Chunks.check(); err != nil {
		return err
	}
	if isReference := request.Inherited != (Version{}); isReference && len(request.Value.Body)+len(request.Value.Chunks) > 0 {
		return rpc.Errorf(rpc.BadMessage, "register %d has a value beside a reference", request.Register)
	}
	return request.Term.check()
}

// Check refuses a term without a number or of a core out of range.
func (request *HeartbeatRequest) Check() error { return request.Term.check() }

// Check refuses a learner's address that is not IP:port, and an invalid term.
func (request *TransferLeadershipRequest) Check() error {
	for _, address := range request.Learners {
		if err := checkAddress(address); err != nil {
			return err
		}
	}
	return request.Term.check()
}

// Check refuses a core out of range.
func (request *ReplicaStateRequest) Check() error { return checkCoreID(request.Core) }

// Check refuses an invalid session and a core out of range.
func (request *ShareSessionsRequest) Check() error {
	if err := checkAll(request.Sessions, (*Session).Check); err != nil {
		return err
	}
	return checkCoreID(request.Core)
}
