package control

import (
	"orchidjunction/message"
	"orchidjunction/rpc"
	"time"

	"k8s.io/klog/v2"
)

const firstStand = 30 * time.Millisecond

func (core *Core) nextPatience() time.Duration {
	return core.random.span(core.place.Suspect, core.place.Suspect*3/2)
}

// firstPatience is that of a core that has heard of no leader since it started:
// where cores know each other by a membership they stand one after the other, so that they don't race.
func (core *Core) firstPatience() time.Duration {
	if !core.place.enlists() {
		return core.nextPatience()
	}
	return firstStand + time.Duration(core.members().rank())*core.place.Suspect*3/5
}

// cold is whether this core has heard of no leader since it started.
func (core *Core) cold() bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.place.enlists() && core.leader.Term.Number == 0
}

// elect is the duty of the election thread.
func (core *Core) elect() {
	yielded := false
	for !core.goroutines.Stopping() {
		seen := core.prompt.Count()
		core.mutex.Lock()
		passed := core.passed
		core.passed = nil
		silent := time.Since(core.heard)
		patience := core.patience
		leads := core.leadership != nil
		core.mutex.Unlock()
		switch standing := core.chart.Now(); {
		case standing == Retired || standing == Lameduck || leads:
		case !core.members().known():
			core.enlist()
			continue
		case !core.members().votes():
			core.learn()
			continue
		case core.voter.Blank():
			core.chart.move(Blank)
			core.restore()
		case standing == Learner:
			core.begin()
		case passed != nil:
			core.succeed(passed)
		case silent > patience && core.members().mayLead(core.members().ID):
			cold := core.cold()
			core.mutex.Lock()
			heard := core.heard
			core.mutex.Unlock()
			yielded = core.stand(yielded || cold)
			again := core.random.span(core.place.Beat/2, core.place.Suspect)
			if cold {
				again = core.random.span(core.place.Beat/2, core.place.Beat) + core.firstPatience()
			}
			core.mutex.Lock()
			if core.heard.Equal(heard) {
				core.patience = time.Since(core.heard) + again
			}
			core.mutex.Unlock()
			continue
		}
		core.prompt.Wait(seen, core.idle(silent, patience))
	}
}

// idle is how long nothing is due to the election thread, unless it is prompted.
func (core *Core) idle(silent, patience time.Duration) time.Duration {
	switch core.chart.Now() {
	case Retired, Lameduck, Leading:
		return core.place.Suspect
	case Following:
		if silent > patience {
			return core.place.Beat
		}
		return max(patience-silent, time.Millisecond)
	}
	return core.place.Beat / 4
}

// stand runs one candidacy by fence; true when it gave way to a fitter core.
func (core *Core) stand(yielded bool) bool {
	if !core.takesWrites() || !core.chart.move(Prechecking) {
		return false
	}
	defer core.chart.moveBack()
	core.counters.Add("prechecks", 1)
	versions, view := core.voter.State().Marks(), core.members()
	response := askPeers(core, view, func(peer Peer) (*message.PreVoteResponse, error) {
		return rpc.Call[message.PreVoteRequest, message.PreVoteResponse](core.line, peer.Address, "precheck", core.roundLimit()/2, &message.PreVoteRequest{Core: view.ID, Versions: versions, Membership: view.Mark})
	}, func(*message.PreVoteResponse) bool { return true }, never)
	reach := 1 + len(response)
	for _, answer := range response {
		core.sawRound(answer.TermNumber)
		core.learnMembers(answer.Membership)
	}
	if !core.members().same(view) {
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
		if !yielded && view.mayLead(id) && answer.Voter && fitter(answer.Versions, answer.Reachable, id, versions, reach, view.ID) {
			core.counters.Add("prechecks_yielded", 1)
			return true
		}
	}
	if !core.chart.move(Revoking) {
		return false
	}
	term, revoked := core.nextBallot(view)
	revocation, err := core.fence(view, term, revoked)
	if err != nil {
		core.counters.Add("revocations_short", 1)
		return false
	}
	core.found(view, term, revocation)
	return false
}

// succeed takes over from a leader that stepped down in this core's favour.
func (core *Core) succeed(request *message.TransferLeadershipRequest) {
	if !core.chart.move(Revoking) {
		return
	}
	defer core.chart.moveBack()
	view := core.members()
	term, _ := core.nextBallot(view)
	core.found(view, term, steppedDown(request))
}

// nextBallot is a new ballot of this core's, and the one of the leader it knows.
func (core *Core) nextBallot(view *View) (next, revoked message.Term) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.round++
	return message.Term{Number: core.round, Core: view.ID}, core.leader.Term
}

// found establishes under the ballot, by the membership that its revocation counted
// by, and takes the lead.
func (core *Core) found(view *View, term message.Term, revocation *Revocation) {
	if !view.mayLead(view.ID) || !core.chart.move(Establishing) {
		return
	}
	leadership, err := core.establish(view, term, revocation)
	if err != nil {
		core.counters.Add("establishments_short", 1)
		return
	}
	core.mutex.Lock()
	core.leadership = leadership
	core.leader = core.members().leader(term)
	core.duck, core.successor = false, message.Leader{}
	core.mutex.Unlock()
	if core.voter.State().Promised != term || !core.chart.move(Leading) {
		core.revoke(leadership)
		return
	}
	core.place.Observe(Leading, term)
	klog.Infof("core %d: leads under %s, revoked %s by %s", core.members().ID, term, leadership.revocation.Revoked, leadership.revocation.Method)
	for register := range message.Registers {
		core.commit(register, message.AcceptedValue{Term: term, Value: leadership.value(register)}, leadership.settings().texts)
	}
	core.platform.begin(core.Table().Backends)
	core.news.Notify()
	leadership.beat()
}

// moveBack ends a candidacy that did not come to lead.
func (chart *Chart) moveBack() {
	switch chart.Now() {
	case Prechecking, Revoking, Establishing:
		chart.move(Following)
	}
}

// lead is the duty of the beat thread.
func (core *Core) lead() {
	leadership, err := core.leading()
	if err != nil {
		return
	}
	if leadership.beat() {
		return
	}
	leadership.mutex.Lock()
	silent := time.Since(leadership.majority)
	leadership.mutex.Unlock()
	if silent > 2*core.place.Suspect {
		core.counters.Add("leaderships_lost_reach", 1)
		core.revoke(leadership)
	}
}

func (core *Core) voterPromise(request *message.PrepareRequest) (*message.PrepareResponse, error) {
	if known := core.members().accepted(); message.Supersedes(known, request.Membership) {
		return &message.PrepareResponse{Promised: core.voter.State().Promised, Membership: known}, nil
	}
	core.sawRound(request.Term.Number)
	response, err := core.voter.Promise(request)
	if err == nil && response.Granted {
		core.mutex.Lock()
		core.heard = time.Now()
		core.patience = core.nextPatience()
		core.mutex.Unlock()
	}
	return response, err
}

func (core *Core) voterAccept(request *message.AcceptRequest) (*message.AcceptResponse, error) {
	core.sawRound(request.Term.Number)
	return core.voter.Accept(request)
}

func (core *Core) onPrecheck(request *message.PreVoteRequest) (*message.PreVoteResponse, error) {
	state := core.voter.State()
	core.mutex.Lock()
	heard := core.leadership != nil || (core.leader.Known() && !core.duck && time.Since(core.heard) < core.place.Suspect)
	round := max(core.round, state.Promised.Number)
	core.mutex.Unlock()
	votes := core.Sound()
	return &message.PreVoteResponse{Granted: votes && !heard, LeaderAlive: heard, Voter: votes, Versions: state.Marks(), Reachable: core.reach(), TermNumber: round, Membership: core.newerMembers(request.Membership)}, nil
}

// reach is how many cores told something lately, this one included.
func (core *Core) reach() int { return 1 + core.sessions.coresHeard(core.place.Suspect*2) }

func (core *Core) onBeat(request *message.HeartbeatRequest) (*message.HeartbeatResponse, error) {
	state := core.voter.State()
	core.sawRound(request.Term.Number)
	if request.Term.Less(state.Promised) {
		return &message.HeartbeatResponse{Voter: state.Founded, Promised: state.Promised, Versions: state.Marks()}, nil
	}
	core.mutex.Lock()
	moved := core.leader.Term != request.Term
	core.leader, core.heard = request.Leader, time.Now()
	core.duck, core.successor = request.Lameduck, request.Successor
	core.wanted = request.Table
	core.patience = core.nextPatience()
	core.mutex.Unlock()
	if request.NowMs > 0 {
		core.clock.AddOneWay(request.NowMs)
	}
	if moved {
		klog.Infof("core %d: follows core %d under %s", core.members().ID, request.Leader.Core, request.Term)
		core.news.Notify()
	}
	for register := range request.Committed {
		if accepted := state.Accepted[register]; accepted.Version() == request.Committed[register] {
			core.commit(message.Register(register), accepted, state.Texts)
		}
	}
	response := &message.HeartbeatResponse{Accepted: true, Voter: state.Founded, RefusesWrites: !core.takesWrites(), Promised: state.Promised, Versions: state.Marks(), Reachable: core.reach()}
	response.AnchorMs, response.NowMs = core.toldClock()
	return response, nil
}

func (core *Core) onStepDown(request *message.TransferLeadershipRequest) (*message.TransferLeadershipResponse, error) {
	state := core.voter.State()
	if !core.Sound() || request.Term.Less(state.Promised) || core.chart.Now() != Following {
		return &message.TransferLeadershipResponse{}, nil
	}
	core.mutex.Lock()
	core.passed = request
	core.mutex.Unlock()
	core.prompt.Notify()
	return &message.TransferLeadershipResponse{Accepted: true}, nil
}
