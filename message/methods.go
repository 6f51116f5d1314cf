package message

import "orchidjunction/rpc"

// The methods of the calls between processes, each with its request and its response. The
// values are on the wire and stay as they are, also where the name of the constant says
// more.
const (
	// MethodAccept asks a replica to accept values under a term.
	MethodAccept rpc.Method[AcceptRequest, AcceptResponse] = "accept"
	// MethodChange changes the product's settings.
	MethodChange rpc.Method[ChangeRequest, ChangeResponse] = "change"
	// MethodClaim asks a key replica to grant an idempotency key.
	MethodClaim rpc.Method[ClaimRequest, ClaimResponse] = "claim"
	// MethodCompleteClaim tells a key replica how the request of a key ended.
	MethodCompleteClaim rpc.Method[CompleteClaimRequest, CompleteClaimResponse] = "settle"
	// MethodCopyCounts gives a core a copy of the counts of windows.
	MethodCopyCounts rpc.Method[CopyCountsRequest, CopyCountsResponse] = "copycounts"
	// MethodEvacuate begins or ends the evacuation of a zone.
	MethodEvacuate rpc.Method[EvacuateRequest, EvacuateResponse] = "evacuate"
	// MethodFetch fetches the version and table in force.
	MethodFetch rpc.Method[FetchRequest, FetchResponse] = "fetch"
	// MethodFetchChunks fetches chunks by digest.
	MethodFetchChunks rpc.Method[FetchChunksRequest, FetchChunksResponse] = "parts"
	// MethodFetchClaims fetches the idempotency keys that a core or a replica holds.
	MethodFetchClaims rpc.Method[FetchClaimsRequest, FetchClaimsResponse] = "pull"
	// MethodFetchCounts fetches the counts of windows that a core holds.
	MethodFetchCounts rpc.Method[FetchCountsRequest, FetchCountsResponse] = "fetchcounts"
	// MethodHeartbeat is the leader's heartbeat to a core.
	MethodHeartbeat rpc.Method[HeartbeatRequest, HeartbeatResponse] = "beat"
	// MethodJoin asks the leader to take a core in as a learner.
	MethodJoin rpc.Method[JoinRequest, JoinResponse] = "enlist"
	// MethodLeader asks which core leads.
	MethodLeader rpc.Method[LeaderRequest, LeaderResponse] = "who"
	// MethodLeave tells the leader that a core is about to end.
	MethodLeave rpc.Method[LeaveRequest, LeaveResponse] = "leave"
	// MethodLeaveVoter tells the leader that the voter at an address is about to end.
	MethodLeaveVoter rpc.Method[LeaveVoterRequest, LeaveResponse] = "leavevoter"
	// MethodMergeClaims gives a key replica keys that it lacks.
	MethodMergeClaims rpc.Method[MergeClaimsRequest, MergeClaimsResponse] = "retell"
	// MethodPreVote asks whether a candidacy has a chance.
	MethodPreVote rpc.Method[PreVoteRequest, PreVoteResponse] = "precheck"
	// MethodPrepare asks a replica to promise a term.
	MethodPrepare rpc.Method[PrepareRequest, PrepareResponse] = "promise"
	// MethodQueryHolder asks whether a proxy still runs the request of a key.
	MethodQueryHolder rpc.Method[QueryHolderRequest, QueryHolderResponse] = "holds"
	// MethodRead reads the product's settings from the leader.
	MethodRead rpc.Method[ReadRequest, ReadResponse] = "read"
	// MethodReadIndex asks the leader to prove that it still leads.
	MethodReadIndex rpc.Method[ReadIndexRequest, ReadIndexResponse] = "confirm"
	// MethodRecordClaims has a core record idempotency keys.
	MethodRecordClaims rpc.Method[RecordClaimsRequest, RecordClaimsResponse] = "keep"
	// MethodRemoveVoter has a voter replaced.
	MethodRemoveVoter rpc.Method[RemoveVoterRequest, RemoveVoterResponse] = "removal"
	// MethodRenewCandidacy says that a candidate is still establishing its leadership.
	MethodRenewCandidacy rpc.Method[RenewCandidacyRequest, RenewCandidacyResponse] = "renew-candidacy"
	// MethodReplicaState asks a replica for its state.
	MethodReplicaState rpc.Method[ReplicaStateRequest, ReplicaStateResponse] = "restore"
	// MethodRolloutOrder begins the roll-out of a version, or ends one.
	MethodRolloutOrder rpc.Method[RolloutOrder, RolloutOrderResponse] = "rollout"
	// MethodRolloutRead reads the newest roll-out of a service from the leader.
	MethodRolloutRead rpc.Method[RolloutReadRequest, RolloutReadResponse] = "rolloutread"
	// MethodRoutingChange changes the routing.
	MethodRoutingChange rpc.Method[RoutingChangeRequest, RoutingChangeResponse] = "routechange"
	// MethodRoutingRead reads the routing from the leader.
	MethodRoutingRead rpc.Method[RoutingReadRequest, RoutingReadResponse] = "routeread"
	// MethodSession is a daemon's heartbeat of its session.
	MethodSession rpc.Method[Session, SessionResponse] = "session"
	// MethodShareSessions passes sessions that a core got on to the leader.
	MethodShareSessions rpc.Method[ShareSessionsRequest, ShareSessionsResponse] = "tell"
	// MethodStatus reads the state of the control plane.
	MethodStatus rpc.Method[StatusRequest, StatusResponse] = "status"
	// MethodTransferLeadership asks a core to take the lead over.
	MethodTransferLeadership rpc.Method[TransferLeadershipRequest, TransferLeadershipResponse] = "stepdown"
	// MethodUsageCount reports usage to the leader.
	MethodUsageCount rpc.Method[UsageCountRequest, UsageCountResponse] = "count"
	// MethodWindowCounts reports the counts of windows to the leader.
	MethodWindowCounts rpc.Method[WindowCountsRequest, WindowCountsResponse] = "windowcounts"
	// MethodWatch waits for a newer version or table.
	MethodWatch rpc.Method[WatchRequest, WatchResponse] = "watch"
)
