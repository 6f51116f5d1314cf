package control

import (
	"time"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// firstElectionDelay is how long after its start the first core is a candidate where no
// leader is heard of.
const firstElectionDelay = 30 * time.Millisecond

// electionState is what a core knows of the leader and of its own chances to lead. The
// core's mutex guards it.
type electionState struct {
	// leader is the one that was heard of last; its address is empty if it has ended.
	leader       message.Leader
	leaderSeenAt time.Time
	// lameduck says that the leader steps down in favour of successor.
	lameduck  bool
	successor message.Leader
	// candidate is the core that this one promised its term to last, candidateSeenAt when that
	// was, or when the candidate said since that it goes on.
	candidate       int
	candidateSeenAt time.Time
	// failures counts the candidacies in a row that failed after they had raised the term.
	failures int
	// highestTerm is the highest term number seen.
	highestTerm uint64
	// transfer is a leader's request to take over that has not been carried out.
	transfer *message.TransferLeadershipRequest
	// timeout is how long no leader is seen until this core is a candidate.
	timeout time.Duration
	// joinAttempts counts the cores that were asked in vain, by one without a vote.
	joinAttempts int
}

// leaderAlive reports whether a leader was seen within a time-out.
func (state *electionState) leaderAlive(timeout time.Duration) bool {
	return time.Since(state.leaderSeenAt) < timeout
}

// recordPromise notes that a candidate was recordPromise a term, or goes on under it, and when this
// core stands itself if nothing comes of that.
func (state *electionState) recordPromise(term message.Term, timeout time.Duration) {
	now := time.Now()
	state.candidate, state.candidateSeenAt = term.Core, now
	state.leaderSeenAt, state.timeout = now, timeout
}

// candidateAlive reports whether another candidate than one core goes on establishing under
// the term that this core promised.
func (state *electionState) candidateAlive(than int, timeout time.Duration) bool {
	return state.candidate != than && time.Since(state.candidateSeenAt) < timeout
}

// leadershipEnded forgets the leader if it led under the term that ended.
func (state *electionState) leadershipEnded(term message.Term) {
	if state.leader.Term == term {
		state.leader = message.Leader{Term: term}
	}
	state.leaderSeenAt = time.Now()
}

// follow takes what a leader's heartbeat says and reports whether the leader is another.
func (state *electionState) follow(heartbeat *message.HeartbeatRequest) bool {
	isOther := state.leader.Term != heartbeat.Term
	state.failures = 0
	state.leader, state.leaderSeenAt = heartbeat.Leader, time.Now()
	state.lameduck, state.successor = heartbeat.Lameduck, heartbeat.Successor
	return isOther
}

// nextElectionTimeout returns a random time-out, so that cores seldom are candidates at
// the same time.
func (core *Core) nextElectionTimeout() time.Duration {
	suspicion := core.config.SuspicionTimeout
	return core.random.between(suspicion, suspicion*3/2)
}

// firstElectionTimeout returns the time-out of a core that has heard of no leader since
// it started. Where cores know each other by a membership they become candidates one
// after the other, so that they don't compete.
func (core *Core) firstElectionTimeout() time.Duration {
	if !core.config.discoversPeers() {
		return core.nextElectionTimeout()
	}
	return firstElectionDelay + time.Duration(core.membership().Rank())*core.config.SuspicionTimeout*3/5
}

// neverHeardLeader reports whether this core has heard of no leader since it started.
func (core *Core) neverHeardLeader() bool {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	return core.config.discoversPeers() && core.election.leader.Term.Number == 0
}

// observeTermNumber notes a term number that another core uses.
func (core *Core) observeTermNumber(number uint64) {
	core.mutex.Lock()
	core.election.highestTerm = max(core.election.highestTerm, number)
	core.mutex.Unlock()
}

// nextTerm returns a new term of this core's, and that of the leader it knows.
func (core *Core) nextTerm(view *consensus.View) (next, former message.Term) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.election.highestTerm++
	return message.Term{Number: core.election.highestTerm, Core: view.ID}, core.election.leader.Term
}

// startFollowing makes this core a follower that waits for a leader.
func (core *Core) startFollowing() {
	core.mutex.Lock()
	core.election.leaderSeenAt = time.Now()
	core.election.timeout = core.firstElectionTimeout()
	core.mutex.Unlock()
	core.role.transition(Following)
}
