package message

import "orchidjunction/rpc"

// PreVoteRequest asks whether a candidate would win before it increases its term. Membership is
// the version of the newest membership known to the candidate.
type PreVoteRequest struct {
	Core       int
	Versions   Versions `msgpack:"Marks"`
	Membership Version  `msgpack:"Members"`
}

// PreVoteResponse reports whether a core would support the candidate, and the core's own state:
// whether it has a live leader, its register versions, the number of cores it can reach, the
// highest term number seen, and the membership if it is newer.
type PreVoteResponse struct {
	Granted     bool `msgpack:"Willing"`
	LeaderAlive bool `msgpack:"Heard"`
	Voter       bool
	Versions    Versions      `msgpack:"Marks"`
	Reachable   int           `msgpack:"Reach"`
	TermNumber  uint64        `msgpack:"Round"`
	Membership  AcceptedValue `msgpack:"Members"`
}

// PrepareRequest asks a replica to promise not to accept values in older terms (Paxos phase 1).
// Membership is the one by which the candidate counts its quorum: a replica that knows a newer
// one with other voters refuses. Held are the versions that the candidate itself has accepted;
// it needs no values of these or older versions.
type PrepareRequest struct {
	Term       Term          `msgpack:"Ballot"`
	Membership AcceptedValue `msgpack:"Members"`
	Held       Versions
}

// PrepareResponse contains all accepted values if the promise was granted, and the newer
// membership if it was refused because of that. Values that are not newer than the candidate's
// are reduced to their versions.
type PrepareResponse struct {
	Granted    bool
	Promised   Term
	Accepted   [Registers]AcceptedValue
	Membership AcceptedValue `msgpack:"Members"`
}

// AcceptRequest asks a replica to accept a value (Paxos phase 2). It contains the chunks that the
// sender expects to be new; the replica reports any others that it lacks. If Inherited is set,
// Value has only its serial and refers to the value that replicas have accepted under version
// Inherited, in the term of an earlier leader.
type AcceptRequest struct {
	Term      Term `msgpack:"Ballot"`
	Register  Register
	Value     Value
	Chunks    Chunks `msgpack:"Texts"`
	Inherited Version
}

// ByReference returns the request without the content, for replicas that have accepted the value
// under version inherited.
func (request *AcceptRequest) ByReference(inherited Version) *AcceptRequest {
	return &AcceptRequest{
		Term:      request.Term,
		Register:  request.Register,
		Value:     Value{Serial: request.Value.Serial},
		Inherited: inherited,
	}
}

// AcceptResponse reports whether the value was accepted. Missing are the digests of the chunks
// that the replica lacks. LacksValue says that it has not accepted the inherited version.
type AcceptResponse struct {
	Accepted   bool `msgpack:"Taken"`
	Promised   Term
	Missing    []string `msgpack:"Lacks"`
	LacksValue bool
}

// RenewCandidacyRequest tells a replica that the candidate to which it promised a term is still
// establishing its leadership.
type RenewCandidacyRequest struct {
	Term Term `msgpack:"Ballot"`
}

// RenewCandidacyResponse reports whether the replica's promise is still valid.
type RenewCandidacyResponse struct {
	Accepted bool `msgpack:"Taken"`
}

// HeartbeatRequest is a leader's heartbeat. Committed are the committed versions and Successor,
// while the leader is in lameduck mode, the intended next leader. NowMs is the cluster time in
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

// HeartbeatResponse answers a heartbeat. A core whose disk fails or hangs still accepts
// heartbeats, since its promise holds, but sets RefusesWrites: it cannot accept values. AnchorMs
// is the core's own clock and NowMs its view of the cluster time, 0 if unknown.
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

// TransferLeadershipRequest asks a core to take over from a leader that steps down. Learners are
// the learners' addresses, so that one of them can replace the former leader as a voter.
type TransferLeadershipRequest struct {
	Term     Term `msgpack:"Ballot"`
	From     int
	Versions Versions `msgpack:"Marks"`
	Learners []string
}

// TransferLeadershipResponse reports whether the core takes over.
type TransferLeadershipResponse struct {
	Accepted bool `msgpack:"Taken"`
}

// ReplicaStateRequest asks a core for its state, on behalf of a core that has lost its disk or
// restarted.
type ReplicaStateRequest struct {
	Core       int
	Membership Version `msgpack:"Members"`
}

// ReplicaStateResponse is a replica's state, and the membership if it knows a newer one.
type ReplicaStateResponse struct {
	Voter       bool
	Initialized bool `msgpack:"Founded"`
	Promised    Term
	Versions    Versions      `msgpack:"Marks"`
	Membership  AcceptedValue `msgpack:"Members"`
	// Bytes is the size of the values.
	Bytes int
}

// ShareSessionsRequest forwards the sessions that daemons hold with one core to another.
type ShareSessionsRequest struct {
	Core     int
	Sessions []Session
}

// ShareSessionsResponse confirms a ShareSessionsRequest.
type ShareSessionsResponse struct{}

// Check rejects a core out of range.
func (request *PreVoteRequest) Check() error { return checkCoreID(request.Core) }

// Check rejects a term with number 0 or with a core out of range.
func (request *PrepareRequest) Check() error { return request.Term.check() }

// Check rejects a term with number 0 or with a core out of range.
func (request *RenewCandidacyRequest) Check() error { return request.Term.check() }

// Check rejects an unknown register, a corrupt chunk, a reference combined with a value, and an
// invalid term.
func (request *AcceptRequest) Check() error {
	if request.Register < 0 || request.Register >= Registers {
		return rpc.Errorf(rpc.BadMessage, "unknown register %d", request.Register)
	}
	if err := request.Chunks.check(); err != nil {
		return err
	}
	if isReference := request.Inherited != (Version{}); isReference && len(request.Value.Body)+len(request.Value.Chunks) > 0 {
		return rpc.Errorf(rpc.BadMessage, "register %d: inherited version combined with a value", request.Register)
	}
	return request.Term.check()
}

// Check rejects a term with number 0 or with a core out of range.
func (request *HeartbeatRequest) Check() error { return request.Term.check() }

// Check rejects a learner address that is not IP:port, and an invalid term.
func (request *TransferLeadershipRequest) Check() error {
	for _, address := range request.Learners {
		if err := checkAddress(address); err != nil {
			return err
		}
	}
	return request.Term.check()
}

// Check rejects a core out of range.
func (request *ReplicaStateRequest) Check() error { return checkCoreID(request.Core) }

// Check rejects an invalid session and a core out of range.
func (request *ShareSessionsRequest) Check() error {
	if err := checkAll(request.Sessions, (*Session).Check); err != nil {
		return err
	}
	return checkCoreID(request.Core)
}
