package message

// The methods of the calls between processes. The values are on the wire and stay as they
// are, also where the name of the constant says more.
const (
	// MethodAccept asks a replica to accept values under a term.
	MethodAccept = "accept"
	// MethodChange changes the product's settings.
	MethodChange = "change"
	// MethodClaim asks a key replica to grant an idempotency key.
	MethodClaim = "claim"
	// MethodEvacuate begins or ends the evacuation of a zone.
	MethodEvacuate = "evacuate"
	// MethodFetch fetches the version and table in force.
	MethodFetch = "fetch"
	// MethodFetchChunks fetches chunks by digest.
	MethodFetchChunks = "parts"
	// MethodFetchClaims fetches the idempotency keys that a core or a replica holds.
	MethodFetchClaims = "pull"
	// MethodCompleteClaim tells a key replica how the request of a key ended.
	MethodCompleteClaim = "settle"
	// MethodHeartbeat is the leader's heartbeat to a core.
	MethodHeartbeat = "beat"
	// MethodJoin asks the leader to take a core in as a learner.
	MethodJoin = "enlist"
	// MethodLeader asks which core leads.
	MethodLeader = "who"
	// MethodLeave tells the leader that a core is about to end.
	MethodLeave = "leave"
	// MethodMergeClaims gives a key replica keys that it lacks.
	MethodMergeClaims = "retell"
	// MethodPreVote asks whether a candidacy has a chance.
	MethodPreVote = "precheck"
	// MethodPrepare asks a replica to promise a term.
	MethodPrepare = "promise"
	// MethodQueryHolder asks whether a proxy still runs the request of a key.
	MethodQueryHolder = "holds"
	// MethodRead reads the product's settings from the leader.
	MethodRead = "read"
	// MethodReadIndex asks the leader to prove that it still leads.
	MethodReadIndex = "confirm"
	// MethodRecordClaims has a core record idempotency keys.
	MethodRecordClaims = "keep"
	// MethodRemoveVoter has a voter replaced.
	MethodRemoveVoter = "removal"
	// MethodReplicaState asks a replica for its state.
	MethodReplicaState = "restore"
	// MethodRoutingChange changes the routing.
	MethodRoutingChange = "routechange"
	// MethodRoutingRead reads the routing from the leader.
	MethodRoutingRead = "routeread"
	// MethodSession is a daemon's heartbeat of its session.
	MethodSession = "session"
	// MethodShareSessions passes sessions that a core got on to the leader.
	MethodShareSessions = "tell"
	// MethodStatus reads the state of the control plane.
	MethodStatus = "status"
	// MethodTransferLeadership asks a core to take the lead over.
	MethodTransferLeadership = "stepdown"
	// MethodUsageCount reports usage to the leader.
	MethodUsageCount = "count"
	// MethodWatch waits for a newer version or table.
	MethodWatch = "watch"
)
