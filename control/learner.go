package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"time"

	"k8s.io/klog/v2"
)

// membership is the newest membership that this core knows: accepted on its disk, or
// heard of since.
func (core *Core) membership() *View { return core.view.Load() }

// learnMembership takes a membership that is newer than the one known. It need not be
// decided: who counts by it needs a quorum of it, which meets every quorum of the
// version before it.
func (core *Core) learnMembership(accepted message.AcceptedValue) {
	membership, err := membershipOf(accepted)
	if err != nil {
		core.counters.Add("memberships_unreadable", 1)
		return
	}
	if membership == nil {
		return
	}
	for {
		held := core.membership()
		if !held.Version.Less(membership.Version) {
			return
		}
		view := viewOf(core.config.InternalAddress, membership)
		if core.view.CompareAndSwap(held, view) {
			core.membershipChanged(held, view)
			return
		}
	}
}

// membershipChanged tells those in this process that depend on who votes.
func (core *Core) membershipChanged(before, after *View) {
	core.role.setCore(after.ID)
	core.peerClocks.retain(after.all())
	core.config.OnMembershipChange(after.Version, after.addresses())
	if before.Version.Serial != after.Version.Serial {
		klog.Infof("core %d at %s: membership %d: voters %v, next %v", after.ID, after.Address, after.Version.Serial, after.Voters, after.Next)
		core.counters.Add("memberships_learned", 1)
	}
	core.wakeElection.Notify()
}

// newerMembership is the membership that this core knows where it is newer than the
// one at the mark, and nothing otherwise.
func (core *Core) newerMembership(known message.Version) message.AcceptedValue {
	view := core.membership()
	if !view.known() || !known.Less(view.Version) {
		return message.AcceptedValue{}
	}
	return view.accepted()
}

// followAsLearner is the duty of a core without a vote: it enlists at the leader, or looks for
// it among the voters and the seeds, and begins as an empty replica once a leader
// admits it. The leader then brings it what it lacks, and its turn comes when a
// voter is gone or leaves.
func (core *Core) followAsLearner() {
	core.role.transition(Learner)
	address := core.joinAddress()
	request := &message.JoinRequest{Address: core.config.InternalAddress, SinceBootstrap: core.sinceBootstrap(), Known: core.membership().Version}
	response, err := rpc.Call[message.JoinRequest, message.JoinResponse](core.client, address, "enlist", core.callTimeout(), request)
	if err != nil {
		core.mutex.Lock()
		core.joinAttempts++
		core.mutex.Unlock()
		core.goroutines.Sleep(core.config.HeartbeatInterval)
		return
	}
	core.learnMembership(response.Membership)
	if core.mayBeginEmpty(response) {
		core.beginEmpty(response.Term)
	}
	core.mutex.Lock()
	if response.Leader.Known() {
		if !response.Leader.Term.Less(core.leader.Term) {
			core.leader = response.Leader
		}
		core.leaderSeenAt = time.Now()
	}
	found := response.Leader.Known() && response.Leader.Address != address
	if !response.Admitted {
		core.joinAttempts++
	}
	core.mutex.Unlock()
	if !found {
		core.goroutines.Sleep(core.config.SuspicionTimeout / 2)
	}
}

// joinAddress is the leader while it is heard of, and otherwise one voter or seed
// after the other.
func (core *Core) joinAddress() string {
	addresses := core.membership().addresses()
	for _, seed := range core.config.Seeds {
		if seed != core.config.InternalAddress {
			addresses = append(addresses, seed)
		}
	}
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.leader.Known() && core.leader.Address != core.config.InternalAddress && time.Since(core.leaderSeenAt) < core.config.SuspicionTimeout {
		return core.leader.Address
	}
	return addresses[core.joinAttempts%len(addresses)]
}

// mayBeginEmpty is whether an answer lets this core's blank disk begin as a replica.
func (core *Core) mayBeginEmpty(response *message.JoinResponse) bool {
	return response.Admitted && core.replica.Blank() && !core.membership().votes()
}

// beginEmpty makes a blank disk a replica that accepted nothing but the membership. It
// holds no vote by that: the leader was confirmed after this disk was found blank, and
// the membership then did not count this core. An earlier one may have, and its disk
// was lost since, so the replica must refuse whoever counts by an earlier one. It
// waits for the membership that the admitting leader wrote under its ballot.
func (core *Core) beginEmpty(term message.Term) {
	view := core.membership()
	if view.votes() || view.Version.Term != term {
		return
	}
	accepted := [message.Registers]message.AcceptedValue{}
	accepted[message.MembersRegister] = view.accepted()
	if err := core.replica.Initialize(term, accepted, nil); err != nil {
		return
	}
	core.counters.Add("learners_begun", 1)
	klog.Infof("core at %s: learns from the leader under %s", core.config.InternalAddress, term)
}
