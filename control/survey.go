package control

import (
	"orchidjunction/wire"
)

// survey is the duty of a core that restarted: until a leader is heard of it asks
// the others what they accepted. What a majority accepted under one ballot is
// committed, and daemons may have it before anybody leads.
func (core *Core) survey() {
	for core.cold() && !core.threads.Stopping() {
		if core.members().votes() && !core.voter.Blank() && core.surveyed() {
			return
		}
		if !core.threads.Rest(core.place.Beat) {
			return
		}
	}
}

func (core *Core) surveyed() bool {
	own := core.voter.State()
	accepted := own.Accepted[wire.RoutingRegister]
	if accepted.Value.Serial == 0 {
		return false
	}
	same := func(told *wire.ReplicaStateResponse) bool {
		return told.Initialized && told.Versions[wire.RoutingRegister] == accepted.Version()
	}
	view := core.members()
	told := askPeers(core, view, func(peer Peer) (*wire.ReplicaStateResponse, error) {
		return wire.Call[wire.ReplicaStateRequest, wire.ReplicaStateResponse](core.line, peer.Address, "restore", core.roundLimit(), &wire.ReplicaStateRequest{Core: view.ID, Membership: view.Mark})
	}, same, view.decides)
	for _, answer := range told {
		core.learnMembers(answer.Membership)
	}
	if !view.decides(agreed(told, same)) || !core.members().same(view) {
		return false
	}
	core.counts.Add("surveys_proved", 1)
	core.commit(wire.RoutingRegister, accepted, own.Texts)
	return true
}
