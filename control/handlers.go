package control

import (
	"context"

	"orchidjunction/rpc"
)

// Register makes a server answer the calls to this core. The names are those of former
// releases, which run side by side with this one.
func (core *Core) Register(server *rpc.Server) {
	core.registerAgreement(server)
	core.registerChanges(server)
	core.registerDaemons(server)
}

// registerAgreement registers what the cores say to each other.
func (core *Core) registerAgreement(server *rpc.Server) {
	rpc.Handle(server, "precheck", handler(core.onPreVote))
	rpc.Handle(server, "promise", handler(core.onPrepare))
	rpc.Handle(server, "accept", handler(core.onAccept))
	rpc.Handle(server, "beat", handler(core.onHeartbeat))
	rpc.Handle(server, "stepdown", handler(core.onTransferLeadership))
	rpc.Handle(server, "restore", handler(core.onReplicaState))
	rpc.Handle(server, "enlist", handler(core.onJoin))
	rpc.Handle(server, "leave", handler(core.onLeave))
	rpc.Handle(server, "tell", handler(core.onShareSessions))
	rpc.Handle(server, "parts", handler(core.onFetchChunks))
}

// registerChanges registers operators' orders and reads, which go to the leader.
func (core *Core) registerChanges(server *rpc.Server) {
	rpc.Handle(server, "change", handler(core.onChange))
	rpc.Handle(server, "read", handler(core.onRead))
	rpc.Handle(server, "confirm", handler(core.onReadIndex))
	rpc.Handle(server, "routechange", handler(core.onRoutingChange))
	rpc.Handle(server, "routeread", handler(core.onRoutingRead))
	rpc.Handle(server, "evacuate", handler(core.onEvacuate))
	rpc.Handle(server, "removal", handler(core.onRemoveVoter))
	rpc.Handle(server, "status", handler(core.onStatus))
}

// registerDaemons registers what daemons say to a core.
func (core *Core) registerDaemons(server *rpc.Server) {
	rpc.Handle(server, "who", handler(core.onLeader))
	rpc.Handle(server, "session", handler(core.onSession))
	rpc.Handle(server, "watch", handler(core.onWatch))
	rpc.Handle(server, "fetch", handler(core.onFetch))
	rpc.Handle(server, "count", handler(core.onUsageCount))
	rpc.Handle(server, "keep", handler(core.onRecordClaims))
	rpc.Handle(server, "pull", handler(core.onFetchClaims))
}

// handler adapts a function without a context, whose waits have their own time-outs.
func handler[Request, Response any](answer func(*Request) (*Response, error)) func(context.Context, *Request) (*Response, error) {
	return func(_ context.Context, request *Request) (*Response, error) { return answer(request) }
}
