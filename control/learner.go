package control

import (
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// membership returns the newest membership that this core knows.
func (core *Core) membership() *consensus.View { return core.members.View() }

// learnMembership applies a membership if it is newer than the known one.
func (core *Core) learnMembership(accepted message.AcceptedValue) {
	if core.members.Learn(accepted) != nil {
		core.counters.Add("memberships_unreadable", 1)
	}
}

// membershipChanged informs the parts of this process that depend on the voters.
func (core *Core) membershipChanged(before, after *consensus.View) {
	core.role.setCore(after.ID)
	core.peerClocks.retain(after.All())
	core.config.OnMembershipChange(after.Version, after.Addresses())
	if before.Version.Serial != after.Version.Serial {
		klog.Infof(
			"core %d at %s: membership %d: voters %v, next voters %v",
			after.ID,
			after.Address,
			after.Version.Serial,
			after.Voters,
			after.Next,
		)
		core.counters.Add("memberships_learned", 1)
	}
	core.wakeElection.Notify()
}

// followAsLearner is the step of a core without a vote. It asks the leader, or the voters and
// seeds in turn to find it, for admission as a learner. Once admitted, a blank disk becomes an
// empty replica, and the leader sends the values that it lacks. The learner gets a vote when a
// voter is gone or leaves.
func (core *Core) followAsLearner() {
	core.role.transition(Learner)
	address := core.joinAddress()
	request := &message.JoinRequest{
		Address:        core.config.InternalAddress,
		SinceBootstrap: core.sinceBootstrap(),
		Known:          core.membership().Version,
	}
	response, err := rpc.Call(core.client, address, message.MethodJoin, core.callTimeout(), request)
	if err != nil {
		core.mutex.Lock()
		core.election.joinAttempts++
		core.mutex.Unlock()
		core.goroutines.Sleep(core.config.HeartbeatInterval)
		return
	}
	core.learnMembership(response.Membership)
	if core.mayInitializeLearner(response) {
		core.initializeLearner(response.Term)
	}
	core.mutex.Lock()
	core.election.observeJoinResponse(response)
	core.mutex.Unlock()
	if !response.Leader.Known() || response.Leader.Address == address {
		core.goroutines.Sleep(core.config.SuspicionTimeout / 2)
	}
}

// observeJoinResponse records the leader that a response names. A core that did not admit this
// one is not asked next.
func (state *electionState) observeJoinResponse(response *message.JoinResponse) {
	if response.Leader.Known() {
		if !response.Leader.Term.Less(state.leader.Term) {
			state.leader = response.Leader
		}
		state.leaderSeenAt = time.Now()
	}
	if !response.Admitted {
		state.joinAttempts++
	}
}

// joinAddress returns the address of a live leader, and otherwise the voters and seeds in
// turn.
func (core *Core) joinAddress() string {
	addresses := append(core.membership().Addresses(), core.otherSeeds()...)
	core.mutex.Lock()
	defer core.mutex.Unlock()
	election := &core.election
	isOther := election.leader.Known() && election.leader.Address != core.config.InternalAddress
	if isOther && election.leaderAlive(core.config.SuspicionTimeout) {
		return election.leader.Address
	}
	return addresses[election.joinAttempts%len(addresses)]
}

// mayInitializeLearner reports whether a response allows this core's blank disk to become an
// empty replica.
func (core *Core) mayInitializeLearner(response *message.JoinResponse) bool {
	return response.Admitted && core.replica.Blank() && !core.membership().IsVoter()
}

// initializeLearner makes a blank disk a replica that has accepted nothing but the membership.
// This gives it no vote: the leader was confirmed after the disk was found blank, under a
// membership without this core. An earlier membership may have counted this core before it
// lost its disk, so the replica must refuse candidates of earlier memberships. It therefore
// waits for the membership that the admitting leader wrote under its term.
func (core *Core) initializeLearner(term message.Term) {
	view := core.membership()
	if view.IsVoter() || view.Version.Term != term {
		return
	}
	accepted := [message.Registers]message.AcceptedValue{}
	accepted[message.MembersRegister] = view.Accepted()
	if err := core.replica.Initialize(term, accepted, nil); err != nil {
		return
	}
	core.counters.Add("learners_begun", 1)
	klog.Infof("core at %s: learner of the leader in term %s", core.config.InternalAddress, term)
}
