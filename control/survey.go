package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// proveCommittedRouting is the duty of a core that restarted: until a leader is heard of it asks
// the others what they accepted. What a majority accepted under one ballot is
// committed, and daemons may have it before anybody leads.
func (core *Core) proveCommittedRouting() {
	for core.neverHeardLeader() && !core.goroutines.Stopping() {
		if core.membership().votes() && !core.replica.Blank() && core.provesCommittedRouting() {
			return
		}
		if !core.goroutines.Sleep(core.config.HeartbeatInterval) {
			return
		}
	}
}

func (core *Core) provesCommittedRouting() bool {
	own := core.replica.State()
	accepted := own.Accepted[message.RoutingRegister]
	if accepted.Value.Serial == 0 {
		return false
	}
	same := func(response *message.ReplicaStateResponse) bool {
		return response.Initialized && response.Versions[message.RoutingRegister] == accepted.Version()
	}
	view := core.membership()
	response := callPeers(core, view, func(peer Peer) (*message.ReplicaStateResponse, error) {
		return rpc.Call[message.ReplicaStateRequest, message.ReplicaStateResponse](core.client, peer.Address, "restore", core.callTimeout(), &message.ReplicaStateRequest{Core: view.ID, Membership: view.Version})
	}, same, view.decides)
	for _, answer := range response {
		core.learnMembership(answer.Membership)
	}
	if !view.decides(agreed(response, same)) || !core.membership().same(view) {
		return false
	}
	core.counters.Add("surveys_proved", 1)
	core.commit(message.RoutingRegister, accepted, own.Chunks)
	return true
}
