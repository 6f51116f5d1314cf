package control

import (
	"time"

	"orchidjunction/consensus"
	"orchidjunction/message"
)

// firstElectionDelay is how long after its start the first-ranked voter becomes a candidate if
// it has heard of no leader.
const firstElectionDelay = 30 * time.Millisecond

// electionState is what a core knows of the leader and of elections. The core's mutex guards
// it.
type electionState struct {
	// leader is the last known leader; its address is empty if its leadership has ended.
	leader       message.Leader
	leaderSeenAt time.Time
	// lameduck is set while the leader steps down in favour of successor.
	lameduck  bool
	successor message.Leader
	// candidate is the core that this one last promised a term to, and candidateSeenAt the time
	// of the promise or of the candidate's last renewal.
	candidate       int
	candidateSeenAt time.Time
	// failures counts consecutive candidacies that failed after raising the term.
	failures    int
	highestTerm uint64
	// transfer is a pending request of a leader to take over from it.
	transfer *message.TransferLeadershipRequest
	// timeout is how long no leader may be seen before this core becomes a candidate.
	timeout time.Duration
	// joinAttempts counts requests to join that failed or did not admit this core.
	joinAttempts int
}

// leaderAlive reports whether a leader was seen within a time-out.
func (state *electionState) leaderAlive(timeout time.Duration) bool {
	return time.Since(state.leaderSeenAt) < timeout
}

// recordPromise records that a term was promised to a candidate, or that the candidate renewed
// it, and sets the time-out after which this core becomes a candidate itself.
func (state *electionState) recordPromise(term message.Term, timeout time.Duration) {
	now := time.Now()
	state.candidate, state.candidateSeenAt = term.Core, now
	state.leaderSeenAt, state.timeout = now, timeout
}

// candidateAlive reports whether a candidate, other than the given core, was promised a term
// or renewed its candidacy within a time-out.
func (state *electionState) candidateAlive(except int, timeout time.Duration) bool {
	return state.candidate != except && time.Since(state.candidateSeenAt) < timeout
}

// leadershipEnded clears the leader if it led under the term that ended.
func (state *electionState) leadershipEnded(term message.Term) {
	if state.leader.Term == term {
		state.leader = message.Leader{Term: term}
	}
	state.leaderSeenAt = time.Now()
}

// follow applies a leader's heartbeat and reports whether its leadership is another one than
// before.
func (state *electionState) follow(heartbeat *message.HeartbeatRequest) bool {
	isOther := state.leader.Term != heartbeat.Term
	state.failures = 0
	state.leader, state.leaderSeenAt = heartbeat.Leader, time.Now()
	state.lameduck, state.successor = heartbeat.Lameduck, heartbeat.Successor
	return isOther
}

// nextElectionTimeout returns a random time-out, which makes simultaneous candidacies
// unlikely.
func (core *Core) nextElectionTimeout() time.Duration {
	suspicion := core.config.SuspicionTimeout
	return core.random.between(suspicion, suspicion*3/2)
}

// firstElectionTimeout returns the election time-out of a core that has heard of no leader
// since it started. Cores that discover their peers from seeds are staggered by their rank in
// the membership, so that they do not compete.
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

func (core *Core) observeTermNumber(number uint64) {
	core.mutex.Lock()
	core.election.highestTerm = max(core.election.highestTerm, number)
	core.mutex.Unlock()
}

// nextTerm returns a new term for this core, and the term of the last known leader.
func (core *Core) nextTerm(view *consensus.View) (next, former message.Term) {
	core.mutex.Lock()
	defer core.mutex.Unlock()
	core.election.highestTerm++
	return message.Term{Number: core.election.highestTerm, Core: view.ID}, core.election.leader.Term
}

// startFollowing makes this core a follower and restarts its election time-out.
func (core *Core) startFollowing() {
	core.mutex.Lock()
	core.election.leaderSeenAt = time.Now()
	core.election.timeout = core.firstElectionTimeout()
	core.mutex.Unlock()
	core.role.transition(Following)
}
