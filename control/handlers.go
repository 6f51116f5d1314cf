package control

import (
	"context"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// maxFetches limits concurrent fetches, since a response may hold a table of thousands of
// backends.
const maxFetches = 48

// Register registers the handlers of this core's calls. Their names must not change, since
// cores of former releases run side by side with this one.
func (core *Core) Register(server *rpc.Server) {
	core.registerAgreement(server)
	core.registerChanges(server)
	core.registerDaemons(server)
}

// registerAgreement registers the calls between cores.
func (core *Core) registerAgreement(server *rpc.Server) {
	rpc.Handle(server, message.MethodPreVote, handler(core.onPreVote))
	rpc.Handle(server, message.MethodPrepare, handler(core.onPrepare))
	rpc.Handle(server, message.MethodAccept, handler(core.onAccept))
	rpc.Handle(server, message.MethodHeartbeat, handler(core.onHeartbeat))
	rpc.Handle(server, message.MethodTransferLeadership, handler(core.onTransferLeadership))
	rpc.Handle(server, message.MethodRenewCandidacy, handler(core.onRenewCandidacy))
	rpc.Handle(server, message.MethodReplicaState, handler(core.onReplicaState))
	rpc.Handle(server, message.MethodFound, handler(core.onFound))
	rpc.Handle(server, message.MethodJoin, handler(core.onJoin))
	rpc.Handle(server, message.MethodLeave, handler(core.onLeave))
	rpc.Handle(server, message.MethodLeaveVoter, handler(core.onLeaveVoter))
	rpc.Handle(server, message.MethodShareSessions, handler(core.onShareSessions))
	rpc.Handle(server, message.MethodFetchChunks, handler(core.onFetchChunks))
	rpc.Handle(server, message.MethodCopyCounts, handler(core.onCopyCounts))
	rpc.Handle(server, message.MethodFetchCounts, handler(core.onFetchCounts))
}

// registerChanges registers changes and reads by operators, which are sent to the leader.
func (core *Core) registerChanges(server *rpc.Server) {
	rpc.Handle(server, message.MethodChange, handler(core.onChange))
	rpc.Handle(server, message.MethodRead, handler(core.onRead))
	rpc.Handle(server, message.MethodReadIndex, handler(core.onReadIndex))
	rpc.Handle(server, message.MethodRoutingChange, handler(core.onRoutingChange))
	rpc.Handle(server, message.MethodRoutingRead, handler(core.onRoutingRead))
	rpc.Handle(server, message.MethodEvacuate, handler(core.onEvacuate))
	rpc.Handle(server, message.MethodRolloutOrder, handler(core.onRolloutOrder))
	rpc.Handle(server, message.MethodRolloutRead, handler(core.onRolloutRead))
	rpc.Handle(server, message.MethodRemoveVoter, handler(core.onRemoveVoter))
	rpc.Handle(server, message.MethodStatus, handler(core.onStatus))
}

// registerDaemons registers the calls that daemons make to a core.
func (core *Core) registerDaemons(server *rpc.Server) {
	rpc.Handle(server, message.MethodLeader, handler(core.onLeader))
	rpc.Handle(server, message.MethodSession, handler(core.onSession))
	rpc.Handle(server, message.MethodWatch, handler(core.onWatch))
	rpc.Handle(server, message.MethodFetch, handler(core.onFetch))
	rpc.LimitCalls(server, message.MethodFetch, maxFetches)
	rpc.Handle(server, message.MethodUsageCount, handler(core.onUsageCount))
	rpc.Handle(server, message.MethodWindowCounts, handler(core.onWindowCounts))
	rpc.Handle(server, message.MethodRecordClaims, handler(core.onRecordClaims))
	rpc.Handle(server, message.MethodFetchClaims, handler(core.onFetchClaims))
}

// handler adapts a function that takes no context because its waits have their own time-outs.
func handler[Request, Response any](handle func(*Request) (*Response, error)) func(context.Context, *Request) (*Response, error) {
	return func(_ context.Context, request *Request) (*Response, error) { return handle(request) }
}
