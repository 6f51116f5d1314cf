package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"time"

	"k8s.io/klog/v2"
)

const firstElectionDelay = 30 * time.Millisecond

func (core *Core) nextElectionTimeout() time.Duration {
	return core.random.between(core.config.SuspicionTimeout, core.config.SuspicionTimeout*3/2)
}

// firstElectionTimeout is that of a core that has heard of no leader since it started:
// where cores know each other by a membership they stand one after the other, so that they don't race.
func (core *Core) firstElectionTimeout() time.Duration {
	if !core.config.discoversPeers() {
		return core.nextElectionTimeout()
	}
	return firstElectionDelay + time.Duration(core.membership().rank())*core.config.SuspicionTimeout*3/5
}

// neverHeardLeader is whether this core has heard of no leader since it started.
func (core *Core) neverHeardLeader() bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.config.discoversPeers() && core.leader.Term.Number == 0
}

// runElections is the duty of the election thread.
func (core *Core) runElections() {
	yielded := false
	for !core.goroutines.Stopping() {
		seen := core.wakeElection.Count()
		core.mutex.Lock()
		passed := core.transfer
		core.transfer = nil
		silent := time.Since(core.leaderSeenAt)
		patience := core.electionTimeout
		isLeader := core.leadership != nil
		core.mutex.Unlock()
		switch standing := core.role.Current(); {
		case standing == Retired || standing == Lameduck || isLeader:
		case !core.membership().known():
			core.discoverMembership()
			continue
		case !core.membership().votes():
			core.followAsLearner()
			continue
		case core.replica.Blank():
			core.role.transition(Blank)
			core.restoreReplica()
		case standing == Learner:
			core.startFollowing()
		case passed != nil:
			core.takeOver(passed)
		case silent > patience && core.membership().mayLead(core.membership().ID):
			cold := core.neverHeardLeader()
			core.mutex.Lock()
			heard := core.leaderSeenAt
			core.mutex.Unlock()
			yielded = core.campaign(yielded || cold)
			again := core.random.between(core.config.HeartbeatInterval/2, core.config.SuspicionTimeout)
			if cold {
				again = core.random.between(core.config.HeartbeatInterval/2, core.config.HeartbeatInterval) + core.firstElectionTimeout()
			}
			core.mutex.Lock()
			if core.leaderSeenAt.Equal(heard) {
				core.electionTimeout = time.Since(core.leaderSeenAt) + again
			}
			core.mutex.Unlock()
			continue
		}
		core.wakeElection.Wait(seen, core.electionIdle(silent, patience))
	}
}

// electionIdle is how long nothing is due to the election thread, unless it is prompted.
func (core *Core) electionIdle(silent, patience time.Duration) time.Duration {
	switch core.role.Current() {
	case Retired, Lameduck, Leading:
		return core.config.SuspicionTimeout
	case Following:
		if silent > patience {
			return core.config.HeartbeatInterval
		}
		return max(patience-silent, time.Millisecond)
	}
	return core.config.HeartbeatInterval / 4
}

// campaign runs one candidacy by fence; true when it gave way to a fitter core.
func (core *Core) campaign(yielded bool) bool {
	if !core.diskWritable() || !core.role.transition(Prechecking) {
		return false
	}
	defer core.role.abandonCandidacy()
	core.counters.Add("prechecks", 1)
	versions, view := core.replica.State().Versions(), core.membership()
	response := callPeers(core, view, func(peer Peer) (*message.PreVoteResponse, error) {
		return rpc.Call[message.PreVoteRequest, message.PreVoteResponse](core.client, peer.Address, "precheck", core.callTimeout()/2, &message.PreVoteRequest{Core: view.ID, Versions: versions, Membership: view.Version})
	}, func(*message.PreVoteResponse) bool { return true }, waitForAll)
	reach := 1 + len(response)
	for _, answer := range response {
		core.observeTermNumber(answer.TermNumber)
		core.learnMembership(answer.Membership)
	}
	if !core.membership().same(view) {
		core.counters.Add("prechecks_by_old_members", 1)
		return false
	}
	for _, answer := range response {
		if answer.LeaderAlive {
			core.counters.Add("prechecks_leader_alive", 1)
			return false
		}
	}
	if !view.decides(agreed(response, func(answer *message.PreVoteResponse) bool { return answer.Granted })) {
		core.counters.Add("prechecks_short", 1)
		return false
	}
	for id, answer := range response {
		if !yielded && view.mayLead(id) && answer.Voter && betterCandidate(answer.Versions, answer.Reachable, id, versions, reach, view.ID) {
			core.counters.Add("prechecks_yielded", 1)
			return true
		}
	}
	if !core.role.transition(Revoking) {
		return false
	}
	term, revoked := core.nextTerm(view)
	revocation, err := core.fence(view, term, revoked)
	if err != nil {
		core.counters.Add("revocations_short", 1)
		return false
	}
	core.establishLeadership(view, term, revocation)
	return false
}

// takeOver takes over from a leader that stepped down in this core's favour.
func (core *Core) takeOver(request *message.TransferLeadershipRequest) {
	if !core.role.transition(Revoking) {
		return
	}
	defer core.role.abandonCandidacy()
	view := core.membership()
	term, _ := core.nextTerm(view)
	core.establishLeadership(view, term, resigned(request))
}

// nextTerm is a new ballot of this core's, and the one of the leader it knows.
func (core *Core) nextTerm(view *View) (next, revoked message.Term) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.highestTerm++
	return message.Term{Number: core.highestTerm, Core: view.ID}, core.leader.Term
}

// establishLeadership establishes under the ballot, by the membership that its revocation counted
// by, and takes the lead.
func (core *Core) establishLeadership(view *View, term message.Term, revocation *Revocation) {
	if !view.mayLead(view.ID) || !core.role.transition(Establishing) {
		return
	}
	leadership, err := core.establish(view, term, revocation)
	if err != nil {
		core.counters.Add("establishments_short", 1)
		return
	}
	core.mutex.Lock()
	core.leadership = leadership
	core.leader = core.membership().leader(term)
	core.lameduck, core.successor = false, message.Leader{}
	core.mutex.Unlock()
	if core.replica.State().Promised != term || !core.role.transition(Leading) {
		core.endLeadership(leadership)
		return
	}
	core.config.OnRole(Leading, term)
	klog.Infof("core %d: leads under %s, revoked %s by %s", core.membership().ID, term, leadership.revocation.Revoked, leadership.revocation.Method)
	for register := range message.Registers {
		core.commit(register, message.AcceptedValue{Term: term, Value: leadership.value(register)}, leadership.settings().chunks)
	}
	core.backends.reset(core.Table().Backends)
	core.updates.Notify()
	leadership.heartbeat()
}

// abandonCandidacy ends a candidacy that did not come to lead.
func (role *RoleState) abandonCandidacy() {
	switch role.Current() {
	case Prechecking, Revoking, Establishing:
		role.transition(Following)
	}
}

// sendHeartbeats is the duty of the beat thread.
func (core *Core) sendHeartbeats() {
	leadership, err := core.currentLeadership()
	if err != nil {
		return
	}
	if leadership.heartbeat() {
		return
	}
	leadership.mutex.Lock()
	silent := time.Since(leadership.lastQuorum)
	leadership.mutex.Unlock()
	if silent > 2*core.config.SuspicionTimeout {
		core.counters.Add("leaderships_lost_reach", 1)
		core.endLeadership(leadership)
	}
}

func (core *Core) onPrepare(request *message.PrepareRequest) (*message.PrepareResponse, error) {
	if known := core.membership().accepted(); message.Supersedes(known, request.Membership) {
		return &message.PrepareResponse{Promised: core.replica.State().Promised, Membership: known}, nil
	}
	core.observeTermNumber(request.Term.Number)
	response, err := core.replica.Prepare(request)
	if err == nil && response.Granted {
		core.mutex.Lock()
		core.leaderSeenAt = time.Now()
		core.electionTimeout = core.nextElectionTimeout()
		core.mutex.Unlock()
	}
	return response, err
}

func (core *Core) onAccept(request *message.AcceptRequest) (*message.AcceptResponse, error) {
	core.observeTermNumber(request.Term.Number)
	return core.replica.Accept(request)
}

func (core *Core) onPreVote(request *message.PreVoteRequest) (*message.PreVoteResponse, error) {
	state := core.replica.State()
	core.mutex.Lock()
	heard := core.leadership != nil || (core.leader.Known() && !core.lameduck && time.Since(core.leaderSeenAt) < core.config.SuspicionTimeout)
	round := max(core.highestTerm, state.Promised.Number)
	core.mutex.Unlock()
	votes := core.CanVote()
	return &message.PreVoteResponse{Granted: votes && !heard, LeaderAlive: heard, Voter: votes, Versions: state.Versions(), Reachable: core.reachableCores(), TermNumber: round, Membership: core.newerMembership(request.Membership)}, nil
}

// reachableCores is how many cores told something lately, this one included.
func (core *Core) reachableCores() int {
	return 1 + core.sessions.recentCores(core.config.SuspicionTimeout*2)
}

func (core *Core) onHeartbeat(request *message.HeartbeatRequest) (*message.HeartbeatResponse, error) {
	state := core.replica.State()
	core.observeTermNumber(request.Term.Number)
	if request.Term.Less(state.Promised) {
		return &message.HeartbeatResponse{Voter: state.Initialized, Promised: state.Promised, Versions: state.Versions()}, nil
	}
	core.mutex.Lock()
	moved := core.leader.Term != request.Term
	core.leader, core.leaderSeenAt = request.Leader, time.Now()
	core.lameduck, core.successor = request.Lameduck, request.Successor
	core.wantedTable = request.Table
	core.electionTimeout = core.nextElectionTimeout()
	core.mutex.Unlock()
	if request.NowMs > 0 {
		core.clock.AddOneWay(request.NowMs)
	}
	if moved {
		klog.Infof("core %d: follows core %d under %s", core.membership().ID, request.Leader.Core, request.Term)
		core.updates.Notify()
	}
	for register := range request.Committed {
		if accepted := state.Accepted[register]; accepted.Version() == request.Committed[register] {
			core.commit(message.Register(register), accepted, state.Chunks)
		}
	}
	response := &message.HeartbeatResponse{Accepted: true, Voter: state.Initialized, RefusesWrites: !core.diskWritable(), Promised: state.Promised, Versions: state.Versions(), Reachable: core.reachableCores()}
	response.AnchorMs, response.NowMs = core.clockTimes()
	return response, nil
}

func (core *Core) onTransferLeadership(request *message.TransferLeadershipRequest) (*message.TransferLeadershipResponse, error) {
	state := core.replica.State()
	if !core.CanVote() || request.Term.Less(state.Promised) || core.role.Current() != Following {
		return &message.TransferLeadershipResponse{}, nil
	}
	core.mutex.Lock()
	core.transfer = request
	core.mutex.Unlock()
	core.wakeElection.Notify()
	return &message.TransferLeadershipResponse{Accepted: true}, nil
}
