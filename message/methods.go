package message

import "orchidjunction/rpc"

// The methods of the calls between processes, with the types of their requests and responses.
// The values are sent on the wire and must not change, even where they differ from the names.
const (
	// MethodAccept asks a replica to accept a value in a term.
	MethodAccept rpc.Method[AcceptRequest, AcceptResponse] = "accept"
	// MethodChange changes the settings.
	MethodChange rpc.Method[ChangeRequest, ChangeResponse] = "change"
	// MethodClaim asks a key replica to record a claim on an idempotency key.
	MethodClaim rpc.Method[ClaimRequest, ClaimResponse] = "claim"
	// MethodCompleteClaim reports the outcome of a claimed request to a key replica.
	MethodCompleteClaim rpc.Method[CompleteClaimRequest, CompleteClaimResponse] = "settle"
	// MethodCopyCounts sends a copy of window counts to a core.
	MethodCopyCounts rpc.Method[CopyCountsRequest, CopyCountsResponse] = "copycounts"
	// MethodEvacuate starts or ends the evacuation of a zone.
	MethodEvacuate rpc.Method[EvacuateRequest, EvacuateResponse] = "evacuate"
	// MethodFetch fetches the parts of the version in force that are newer than the caller's.
	MethodFetch rpc.Method[FetchRequest, FetchResponse] = "fetch"
	// MethodFetchChunks fetches chunks by digest.
	MethodFetchChunks rpc.Method[FetchChunksRequest, FetchChunksResponse] = "parts"
	// MethodFetchClaims fetches the claims held by a core or key replica.
	MethodFetchClaims rpc.Method[FetchClaimsRequest, FetchClaimsResponse] = "pull"
	// MethodFetchCounts fetches the window counts held by a core.
	MethodFetchCounts rpc.Method[FetchCountsRequest, FetchCountsResponse] = "fetchcounts"
	// MethodFound asks a seed for its vote on the first membership.
	MethodFound rpc.Method[FoundRequest, FoundResponse] = "found"
	// MethodHeartbeat sends the leader's heartbeat to a core.
	MethodHeartbeat rpc.Method[HeartbeatRequest, HeartbeatResponse] = "beat"
	// MethodJoin asks for the membership, and the leader to add a core as a learner.
	MethodJoin rpc.Method[JoinRequest, JoinResponse] = "enlist"
	// MethodLeader asks for the leader.
	MethodLeader rpc.Method[LeaderRequest, LeaderResponse] = "who"
	// MethodLeave announces that a voter is about to shut down.
	MethodLeave rpc.Method[LeaveRequest, LeaveResponse] = "leave"
	// MethodLeaveVoter announces that the voter at an address is about to shut down.
	MethodLeaveVoter rpc.Method[LeaveVoterRequest, LeaveResponse] = "leavevoter"
	// MethodMergeClaims sends claims to a key replica that may lack them.
	MethodMergeClaims rpc.Method[MergeClaimsRequest, MergeClaimsResponse] = "retell"
	// MethodPreVote asks whether a candidate would win an election.
	MethodPreVote rpc.Method[PreVoteRequest, PreVoteResponse] = "precheck"
	// MethodPrepare asks a replica to promise a term.
	MethodPrepare rpc.Method[PrepareRequest, PrepareResponse] = "promise"
	// MethodQueryHolder asks a proxy for the state of a claim that it holds.
	MethodQueryHolder rpc.Method[QueryHolderRequest, QueryHolderResponse] = "holds"
	// MethodRead reads the settings from the leader.
	MethodRead rpc.Method[ReadRequest, ReadResponse] = "read"
	// MethodReadIndex asks the leader to confirm its leadership and the newest versions.
	MethodReadIndex rpc.Method[ReadIndexRequest, ReadIndexResponse] = "confirm"
	// MethodRecordClaims asks a core to record claims durably.
	MethodRecordClaims rpc.Method[RecordClaimsRequest, RecordClaimsResponse] = "keep"
	// MethodRemoveVoter replaces a voter by a learner.
	MethodRemoveVoter rpc.Method[RemoveVoterRequest, RemoveVoterResponse] = "removal"
	// MethodRenewCandidacy announces that a candidate is still establishing its leadership.
	MethodRenewCandidacy rpc.Method[RenewCandidacyRequest, RenewCandidacyResponse] = "renew-candidacy"
	// MethodReplicaState asks a replica for its state.
	MethodReplicaState rpc.Method[ReplicaStateRequest, ReplicaStateResponse] = "restore"
	// MethodRolloutOrder starts or aborts the rollout of a version.
	MethodRolloutOrder rpc.Method[RolloutOrder, RolloutOrderResponse] = "rollout"
	// MethodRolloutRead reads a service's newest rollout from the leader.
	MethodRolloutRead rpc.Method[RolloutReadRequest, RolloutReadResponse] = "rolloutread"
	// MethodRoutingChange changes the routing.
	MethodRoutingChange rpc.Method[RoutingChangeRequest, RoutingChangeResponse] = "routechange"
	// MethodRoutingRead reads the routing from the leader.
	MethodRoutingRead rpc.Method[RoutingReadRequest, RoutingReadResponse] = "routeread"
	// MethodSession sends a daemon's session heartbeat to a core.
	MethodSession rpc.Method[Session, SessionResponse] = "session"
	// MethodShareSessions forwards the sessions held with one core to another.
	MethodShareSessions rpc.Method[ShareSessionsRequest, ShareSessionsResponse] = "tell"
	// MethodStatus reads a core's view of the deployment.
	MethodStatus rpc.Method[StatusRequest, StatusResponse] = "status"
	// MethodTransferLeadership asks a core to take over the leadership.
	MethodTransferLeadership rpc.Method[TransferLeadershipRequest, TransferLeadershipResponse] = "stepdown"
	// MethodUsageCount reports usage to the leader between session heartbeats.
	MethodUsageCount rpc.Method[UsageCountRequest, UsageCountResponse] = "count"
	// MethodWindowCounts reports window counts between session heartbeats.
	MethodWindowCounts rpc.Method[WindowCountsRequest, WindowCountsResponse] = "windowcounts"
	// MethodWatch waits for versions newer than the caller's.
	MethodWatch rpc.Method[WatchRequest, WatchResponse] = "watch"
)
