package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// survey is the duty of a core that restarted: until a leader is heard of it asks
// the others what they accepted. What a majority accepted under one ballot is
// committed, and daemons may have it before anybody leads.
func (core *Core) survey() {
	for core.cold() && !core.goroutines.Stopping() {
		if core.members().votes() && !core.voter.Blank() && core.surveyed() {
			return
		}
		if !core.goroutines.Sleep(core.place.Beat) {
			return
		}
	}
}

func (core *Core) surveyed() bool {
	own := core.voter.State()
	accepted := own.Accepted[message.RoutingRegister]
	if accepted.Value.Serial == 0 {
		return false
	}
	same := func(response *message.ReplicaStateResponse) bool {
		return response.Initialized && response.Versions[message.RoutingRegister] == accepted.Version()
	}
	view := core.members()
	response := askPeers(core, view, func(peer Peer) (*message.ReplicaStateResponse, error) {
		return rpc.Call[message.ReplicaStateRequest, message.ReplicaStateResponse](core.line, peer.Address, "restore", core.roundLimit(), &message.ReplicaStateRequest{Core: view.ID, Membership: view.Mark})
	}, same, view.decides)
	for _, answer := range response {
		core.learnMembers(answer.Membership)
	}
	if !view.decides(agreed(response, same)) || !core.members().same(view) {
		return false
	}
	core.counters.Add("surveys_proved", 1)
	core.commit(message.RoutingRegister, accepted, own.Texts)
	return true
}
