package control

import (
	"orchidjunction/consensus"
	"orchidjunction/message"
)

// runRoutingRecovery asks the other voters for their accepted versions after a restart until a
// leader is known. A value that a quorum accepted under one term is committed, so daemons can
// get the routing before an election ends.
func (core *Core) runRoutingRecovery() {
	for core.neverHeardLeader() && !core.goroutines.Stopping() {
		if core.membership().IsVoter() && !core.replica.Blank() && core.recoverCommittedRouting() {
			return
		}
		if !core.goroutines.Sleep(core.config.HeartbeatInterval) {
			return
		}
	}
}

// recoverCommittedRouting asks the other voters once, and commits the accepted routing and
// returns true if a quorum accepted that version.
func (core *Core) recoverCommittedRouting() bool {
	own := core.replica.State()
	accepted := own.Accepted[message.RoutingRegister]
	if accepted.Value.Serial == 0 {
		return false
	}
	hasSame := func(response *message.ReplicaStateResponse) bool {
		return consensus.Initialized(response) && response.Versions[message.RoutingRegister] == accepted.Version()
	}
	view := core.membership()
	responses := core.askReplicaStates(view, hasSame, view.IsQuorumWithSelf)
	if !view.IsQuorumWithSelf(consensus.Agreed(responses, hasSame)) || !core.membership().SameVoters(view) {
		return false
	}
	core.counters.Add("surveys_proved", 1)
	core.commit(message.RoutingRegister, accepted, own.Chunks)
	return true
}
