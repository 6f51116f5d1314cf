package control

import (
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"orchidjunction/consensus"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// maxBackoffDoublings limits how often the pause between candidacies is doubled.
const maxBackoffDoublings = 2

// runElections makes this core a learner, a voter, a candidate or the leader as its state
// requires.
func (core *Core) runElections() {
	deferred := false
	for !core.goroutines.Stopping() {
		seen := core.wakeElection.Count()
		snapshot := core.takeElectionSnapshot()
		switch {
		case snapshot.role == Retired || snapshot.role == Lameduck || snapshot.isLeader:
		case !core.membership().HasMembership():
			core.discoverMembership()
			continue
		case !core.membership().IsVoter():
			core.followAsLearner()
			continue
		case core.mayAdoptFirstMembership():
			core.adoptFirstMembership(core.membership().Accepted())
			continue
		case core.replica.Blank():
			core.role.transition(Blank)
			core.restoreReplica()
		case snapshot.role == Learner:
			core.startFollowing()
		case snapshot.transfer != nil:
			core.takeOverLeadership(snapshot.transfer)
		case snapshot.leaderIsSilent() && core.membership().MayLead(core.membership().ID):
			deferred = core.campaignOnce(deferred)
			continue
		}
		core.wakeElection.Wait(seen, core.electionWait(snapshot))
	}
}

// electionSnapshot is the state that decides the next step of the election loop.
type electionSnapshot struct {
	role     Role
	isLeader bool
	transfer *message.TransferLeadershipRequest
	silence  time.Duration
	timeout  time.Duration
}

func (snapshot *electionSnapshot) leaderIsSilent() bool { return snapshot.silence > snapshot.timeout }

// takeElectionSnapshot returns the current state and clears the pending transfer request, so
// that a request is carried out at most once.
func (core *Core) takeElectionSnapshot() *electionSnapshot {
	core.mutex.Lock()
	snapshot := &electionSnapshot{
		isLeader: core.leadership != nil,
		transfer: core.election.transfer,
		silence:  time.Since(core.election.leaderSeenAt),
		timeout:  core.election.timeout,
	}
	core.election.transfer = nil
	core.mutex.Unlock()
	snapshot.role = core.role.Current()
	return snapshot
}

// electionWait returns how long the election loop waits unless it is woken.
func (core *Core) electionWait(snapshot *electionSnapshot) time.Duration {
	switch core.role.Current() {
	case Retired, Lameduck, Leading:
		return core.config.SuspicionTimeout
	case Following:
		if snapshot.leaderIsSilent() {
			return core.config.HeartbeatInterval
		}
		return max(snapshot.timeout-snapshot.silence, time.Millisecond)
	}
	return core.config.HeartbeatInterval / 4
}

// campaignOnce runs one candidacy and sets the time-out until the next. It returns whether the
// core deferred to a better candidate. A core that has deferred once does not defer again.
func (core *Core) campaignOnce(deferred bool) bool {
	isFirst := core.neverHeardLeader()
	core.mutex.Lock()
	seenBefore := core.election.leaderSeenAt
	core.mutex.Unlock()
	deferred = core.campaign(deferred || isFirst, seenBefore)
	pause := core.random.between(core.config.HeartbeatInterval/2, core.maxElectionBackoff())
	if isFirst {
		pause = core.random.between(core.config.HeartbeatInterval/2, core.config.HeartbeatInterval) + core.firstElectionTimeout()
	}
	core.mutex.Lock()
	defer core.mutex.Unlock()
	if core.election.leaderSeenAt.Equal(seenBefore) {
		core.election.timeout = time.Since(core.election.leaderSeenAt) + pause
	}
	return deferred
}

// maxElectionBackoff bounds the random pause after a candidacy. It doubles with each one that
// failed after raising the term, so that candidates stop deposing each other.
func (core *Core) maxElectionBackoff() time.Duration {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.config.SuspicionTimeout << min(core.election.failures, maxBackoffDoublings)
}

// campaign runs one candidacy: pre-vote, fencing of older terms and establishment. It returns
// true if the core deferred to a better candidate. After the pre-vote it gives up if this core
// has seen a leader, or promised a term to another candidate, later than seenBefore: a higher
// term would depose that leader or candidate.
func (core *Core) campaign(mustNotDefer bool, seenBefore time.Time) bool {
	if !core.diskWritable() || !core.role.transition(Prechecking) {
		return false
	}
	defer core.role.abandonCandidacy()
	core.counters.Add("prechecks", 1)
	view := core.membership()
	switch core.preVote(view, mustNotDefer) {
	case preVoteLost:
		return false
	case preVoteDeferred:
		return true
	}
	if core.sawLeaderSince(seenBefore) {
		core.counters.Add("candidacies_given_up", 1)
		return false
	}
	if !core.role.transition(Revoking) {
		return false
	}
	term, former := core.nextTerm(view)
	revocation, err := core.fence(view, term, former)
	if err != nil {
		core.counters.Add("revocations_short", 1)
		core.countFailedCandidacy()
		return false
	}
	core.establishLeadership(view, term, revocation)
	return false
}

// sawLeaderSince reports whether this core has seen a leader, or promised a term to a
// candidate, since leaderSeenAt was seenBefore.
func (core *Core) sawLeaderSince(seenBefore time.Time) bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return !core.election.leaderSeenAt.Equal(seenBefore)
}

type preVoteResult int

const (
	preVoteLost preVoteResult = iota
	preVoteDeferred
	preVoteWon
)

// preVote asks the other voters whether they would support this core before it raises its
// term. Raising the term would end the leadership of a leader that others still see.
func (core *Core) preVote(view *consensus.View, mustNotDefer bool) preVoteResult {
	own := consensus.Candidate{ID: view.ID, Versions: core.replica.State().Versions()}
	request := &message.PreVoteRequest{Core: view.ID, Versions: own.Versions, Membership: view.Version}
	responses := callPeers(core, view, func(peer message.Peer) (*message.PreVoteResponse, error) {
		return rpc.Call(core.client, peer.Address, message.MethodPreVote, core.callTimeout()/2, request)
	}, func(*message.PreVoteResponse) bool { return true }, core.allExceptLeader(view))
	own.Reachable = 1 + len(responses)
	leaderAlive := false
	for _, response := range responses {
		core.observeTermNumber(response.TermNumber)
		core.learnMembership(response.Membership)
		leaderAlive = leaderAlive || response.LeaderAlive
	}
	granted := consensus.Agreed(responses, func(response *message.PreVoteResponse) bool { return response.Granted })
	switch {
	case !core.membership().SameVoters(view):
		core.counters.Add("prechecks_by_old_members", 1)
	case leaderAlive:
		core.counters.Add("prechecks_leader_alive", 1)
	case !view.IsQuorumWithSelf(granted):
		core.counters.Add("prechecks_short", 1)
	case !mustNotDefer && hasBetterCandidate(view, own, responses):
		core.counters.Add("prechecks_yielded", 1)
		return preVoteDeferred
	default:
		return preVoteWon
	}
	return preVoteLost
}

// allExceptLeader returns a condition for callPeers: all other voters have answered except the
// leader, whose silence makes this core a candidate.
func (core *Core) allExceptLeader(view *consensus.View) func(has func(id int) bool) bool {
	core.mutex.Lock()
	silent := core.election.leader.Term.Core
	core.mutex.Unlock()
	return func(has func(id int) bool) bool {
		return !slices.ContainsFunc(view.Peers, func(peer message.Peer) bool { return peer.ID != silent && !has(peer.ID) })
	}
}

// hasBetterCandidate reports whether a voter that answered is a better candidate than this
// core.
func hasBetterCandidate(view *consensus.View, own consensus.Candidate, responses map[int]*message.PreVoteResponse) bool {
	for id, response := range responses {
		other := consensus.Candidate{ID: id, Versions: response.Versions, Reachable: response.Reachable}
		if view.MayLead(id) && response.Voter && other.BetterThan(own) {
			return true
		}
	}
	return false
}

// takeOverLeadership makes this core the leader after a leader that resigned in its favour.
func (core *Core) takeOverLeadership(request *message.TransferLeadershipRequest) {
	if !core.role.transition(Revoking) {
		return
	}
	defer core.role.abandonCandidacy()
	view := core.membership()
	term, _ := core.nextTerm(view)
	core.establishLeadership(view, term, resignationRevocation(request))
}

// establishLeadership establishes a leadership under a term, by the membership of its
// revocation, and starts leading.
func (core *Core) establishLeadership(view *consensus.View, term message.Term, revocation *Revocation) {
	if !view.MayLead(view.ID) || !core.role.transition(Establishing) {
		return
	}
	stopRenewing := core.renewCandidacy(view, term)
	leadership, err := core.establish(view, term, revocation)
	stopRenewing()
	if err != nil {
		core.counters.Add("establishments_short", 1)
		core.countFailedCandidacy()
		return
	}
	core.mutex.Lock()
	core.leadership = leadership
	core.election.leader = core.membership().Leader(term)
	core.election.lameduck, core.election.successor = false, message.Leader{}
	core.mutex.Unlock()
	if core.replica.State().Promised != term || !core.role.transition(Leading) {
		core.endLeadership(leadership)
		return
	}
	core.startLeading(leadership)
}

// renewCandidacy periodically tells the other voters that this core is still establishing a
// leadership, so that none of them becomes a candidate: with a large state this may take
// longer than the election time-out. The returned function stops it.
func (core *Core) renewCandidacy(view *consensus.View, term message.Term) (stop func()) {
	var stopped atomic.Bool
	core.goroutines.Start(func() {
		request := &message.RenewCandidacyRequest{Term: term}
		for core.goroutines.Sleep(core.config.HeartbeatInterval) && !stopped.Load() {
			for _, peer := range view.Peers {
				core.goroutines.Start(func() {
					// If the call fails, the voter's own election time-out decides.
					_, _ = rpc.Call(core.client, peer.Address, message.MethodRenewCandidacy, core.callTimeout(), request)
				})
			}
		}
	})
	return func() { stopped.Store(true) }
}

// countFailedCandidacy counts a candidacy that failed after raising the term.
func (core *Core) countFailedCandidacy() {
	core.mutex.Lock()
	core.election.failures++
	core.mutex.Unlock()
}

// startLeading announces a new leadership, commits its values and sends a heartbeat with them.
func (core *Core) startLeading(leadership *Leadership) {
	core.config.OnRole(Leading, leadership.term)
	klog.Infof(
		"core %d: leader in term %s, revoked term %s by %s",
		core.membership().ID,
		leadership.term,
		leadership.revocation.Revoked,
		leadership.revocation.Method,
	)
	for register := range message.Registers {
		accepted := message.AcceptedValue{Term: leadership.term, Value: leadership.value(register)}
		core.commit(register, accepted, leadership.settings().chunks)
	}
	core.backends.Reset(core.Table().Backends)
	core.updates.Notify()
	leadership.heartbeat()
}

// onPreVote answers whether this core would support a candidate. It would not while it leads,
// follows a live leader that is not stepping down, or has recently promised its term to
// another candidate, which a higher term would depose.
func (core *Core) onPreVote(request *message.PreVoteRequest) (*message.PreVoteResponse, error) {
	state := core.replica.State()
	core.mutex.Lock()
	election := &core.election
	followsLeader := election.leader.Known() && !election.lameduck && election.leaderAlive(core.config.SuspicionTimeout)
	leaderAlive := core.leadership != nil || followsLeader
	candidateAlive := election.candidateAlive(request.Core, core.config.SuspicionTimeout)
	termNumber := max(election.highestTerm, state.Promised.Number)
	core.mutex.Unlock()
	canVote := core.CanVote()
	return &message.PreVoteResponse{
		Granted:     canVote && !leaderAlive && !candidateAlive,
		LeaderAlive: leaderAlive,
		Voter:       canVote,
		Versions:    state.Versions(),
		Reachable:   core.reachableCores(),
		TermNumber:  termNumber,
		Membership:  core.members.NewerThan(request.Membership),
	}, nil
}

// reachableCores returns the number of cores that recently contacted this one, including
// itself.
func (core *Core) reachableCores() int {
	return 1 + core.sessions.recentCores(core.config.SuspicionTimeout*2)
}

// onPrepare promises a term to a candidate, unless this core knows a newer membership whose
// voters differ from the candidate's.
func (core *Core) onPrepare(request *message.PrepareRequest) (*message.PrepareResponse, error) {
	if known := core.membership().Accepted(); message.Supersedes(known, request.Membership) {
		return &message.PrepareResponse{Promised: core.replica.State().Promised, Membership: known}, nil
	}
	core.observeTermNumber(request.Term.Number)
	response, err := core.replica.Prepare(request)
	if err == nil && response.Granted {
		core.mutex.Lock()
		core.election.recordPromise(request.Term, core.nextElectionTimeout())
		core.mutex.Unlock()
	}
	return response, err
}

// onRenewCandidacy restarts the election time-out for the candidate that holds this core's
// newest promise.
func (core *Core) onRenewCandidacy(request *message.RenewCandidacyRequest) (*message.RenewCandidacyResponse, error) {
	if core.replica.State().Promised != request.Term {
		return &message.RenewCandidacyResponse{}, nil
	}
	core.mutex.Lock()
	core.election.recordPromise(request.Term, core.nextElectionTimeout())
	core.mutex.Unlock()
	return &message.RenewCandidacyResponse{Accepted: true}, nil
}

func (core *Core) onAccept(request *message.AcceptRequest) (*message.AcceptResponse, error) {
	core.observeTermNumber(request.Term.Number)
	return core.replica.Accept(request)
}

// onTransferLeadership accepts a leader's request to take over from it. The election loop
// carries it out.
func (core *Core) onTransferLeadership(request *message.TransferLeadershipRequest) (*message.TransferLeadershipResponse, error) {
	isStale := request.Term.Less(core.replica.State().Promised)
	if !core.CanVote() || isStale || core.role.Current() != Following {
		return &message.TransferLeadershipResponse{}, nil
	}
	core.mutex.Lock()
	core.election.transfer = request
	core.mutex.Unlock()
	core.wakeElection.Notify()
	return &message.TransferLeadershipResponse{Accepted: true}, nil
}

// promiseRaised ends this core's leadership if its replica has promised a newer term.
func (core *Core) promiseRaised(term message.Term) {
	core.observeTermNumber(term.Number)
	core.mutex.Lock()
	leadership := core.leadership
	core.mutex.Unlock()
	if leadership != nil && leadership.term.Less(term) {
		core.endLeadership(leadership)
	}
}
