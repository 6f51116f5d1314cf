package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"time"

	"k8s.io/klog/v2"
)

// members is the newest membership that this core knows: accepted on its disk, or
// heard of since.
func (core *Core) members() *View { return core.known.Load() }

// learnMembers takes a membership that is newer than the one known. It need not be
// decided: who counts by it needs a quorum of it, which meets every quorum of the
// version before it.
func (core *Core) learnMembers(accepted message.AcceptedValue) {
	membership, err := membershipOf(accepted)
	if err != nil {
		core.counters.Add("memberships_unreadable", 1)
		return
	}
	if membership == nil {
		return
	}
	for {
		held := core.members()
		if !held.Mark.Less(membership.Mark) {
			return
		}
		view := viewOf(core.place.Wire, membership)
		if core.known.CompareAndSwap(held, view) {
			core.membersChanged(held, view)
			return
		}
	}
}

// membersChanged tells those in this process that depend on who votes.
func (core *Core) membersChanged(before, after *View) {
	core.chart.name(after.ID)
	core.clocks.retain(after.all())
	core.place.MembersChanged(after.Mark, after.addresses())
	if before.Mark.Serial != after.Mark.Serial {
		klog.Infof("core %d at %s: membership %d: voters %v, next %v", after.ID, after.Wire, after.Mark.Serial, after.Voters, after.Next)
		core.counters.Add("memberships_learned", 1)
	}
	core.prompt.Notify()
}

// newerMembers is the membership that this core knows where it is newer than the
// one at the mark, and nothing otherwise.
func (core *Core) newerMembers(known message.Version) message.AcceptedValue {
	view := core.members()
	if !view.known() || !known.Less(view.Mark) {
		return message.AcceptedValue{}
	}
	return view.accepted()
}

// learn is the duty of a core without a vote: it enlists at the leader, or looks for
// it among the voters and the seeds, and begins as an empty replica once a leader
// admits it. The leader then brings it what it lacks, and its turn comes when a
// voter is gone or leaves.
func (core *Core) learn() {
	core.chart.move(Learner)
	address := core.enlistsAt()
	request := &message.JoinRequest{Address: core.place.Wire, SinceBootstrap: core.opening(), Known: core.members().Mark}
	response, err := rpc.Call[message.JoinRequest, message.JoinResponse](core.line, address, "enlist", core.roundLimit(), request)
	if err != nil {
		core.mutex.Lock()
		core.asked++
		core.mutex.Unlock()
		core.goroutines.Sleep(core.place.Beat)
		return
	}
	core.learnMembers(response.Membership)
	if core.mayBeginEmpty(response) {
		core.beginEmpty(response.Term)
	}
	core.mutex.Lock()
	if response.Leader.Known() {
		if !response.Leader.Term.Less(core.leader.Term) {
			core.leader = response.Leader
		}
		core.heard = time.Now()
	}
	found := response.Leader.Known() && response.Leader.Address != address
	if !response.Admitted {
		core.asked++
	}
	core.mutex.Unlock()
	if !found {
		core.goroutines.Sleep(core.place.Suspect / 2)
	}
}

// enlistsAt is the leader while it is heard of, and otherwise one voter or seed
// after the other.
func (core *Core) enlistsAt() string {
	addresses := core.members().addresses()
	for _, seed := range core.place.Seeds {
		if seed != core.place.Wire {
			addresses = append(addresses, seed)
		}
	}
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.leader.Known() && core.leader.Address != core.place.Wire && time.Since(core.heard) < core.place.Suspect {
		return core.leader.Address
	}
	return addresses[core.asked%len(addresses)]
}

// mayBeginEmpty is whether an answer lets this core's blank disk begin as a replica.
func (core *Core) mayBeginEmpty(response *message.JoinResponse) bool {
	return response.Admitted && core.voter.Blank() && !core.members().votes()
}

// beginEmpty makes a blank disk a replica that accepted nothing but the membership. It
// holds no vote by that: the leader was confirmed after this disk was found blank, and
// the membership then did not count this core. An earlier one may have, and its disk
// was lost since, so the replica must refuse whoever counts by an earlier one. It
// waits for the membership that the admitting leader wrote under its ballot.
func (core *Core) beginEmpty(term message.Term) {
	view := core.members()
	if view.votes() || view.Mark.Term != term {
		return
	}
	accepted := [message.Registers]message.AcceptedValue{}
	accepted[message.MembersRegister] = view.accepted()
	if err := core.voter.Found(term, accepted, nil); err != nil {
		return
	}
	core.counters.Add("learners_begun", 1)
	klog.Infof("core at %s: learns from the leader under %s", core.place.Wire, term)
}
