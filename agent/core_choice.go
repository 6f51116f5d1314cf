package agent

import (
	"slices"
	"time"

	"orchidjunction/message"
)

const (
	// peerQueryInterval is how often other daemons are queried for the voters while no core
	// is reachable.
	peerQueryInterval = time.Second
	// maxQueriedPeers is the number of daemons queried at a time.
	maxQueriedPeers = 3
)

// sessionCore returns the core for the session: with direct sessions preferably the leader,
// otherwise the previous core as long as it is a voter and responds.
func (daemon *Daemon) sessionCore() string {
	if daemon.config.DirectSessions {
		return daemon.chooseCore()
	}
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.nextCore()
}

// chooseCore returns the leader or, if that is unknown or has failed recently, another core.
// The leader of a new term is tried even if its core has failed recently.
func (daemon *Daemon) chooseCore() string {
	leader := daemon.LeaderFinder.Leader()
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	if leader.Known() && daemon.leaderTerm.Less(leader.Term) {
		daemon.leaderTerm = leader.Term
		delete(daemon.failedAt, leader.Address)
	}
	if leader.Known() && !daemon.failedRecently(leader.Address) {
		return leader.Address
	}
	return daemon.nextCore()
}

// failedRecently reports whether a core or parent failed within failedCoreTimeout. The caller
// holds the mutex.
func (daemon *Daemon) failedRecently(address string) bool {
	return time.Since(daemon.failedAt[address]) <= failedCoreTimeout
}

// nextCore returns the last chosen core if it is a voter and has not failed recently, or else
// the next voter. A seed that is not a voter is chosen only if all voters have failed
// recently, since its reports may never reach the leader. The caller holds the mutex.
func (daemon *Daemon) nextCore() string {
	voters, others := daemon.LeaderFinder.Voters()
	first := max(slices.Index(voters, daemon.lastCore), 0)
	ordered := slices.Concat(voters[first:], voters[:first], others)
	chosen := ordered[0]
	for _, core := range ordered {
		if !daemon.failedRecently(core) {
			chosen = core
			break
		}
		if daemon.failedAt[core].Before(daemon.failedAt[chosen]) {
			chosen = core
		}
	}
	daemon.lastCore = chosen
	return chosen
}

// shouldQueryPeers reports whether to query other daemons for the voters now. While no core is
// reachable, all known cores may have been replaced.
func (daemon *Daemon) shouldQueryPeers() bool {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	isDue := daemon.connectivity.coresUnreachable() && time.Since(daemon.lastPeerQuery) > peerQueryInterval
	if isDue {
		daemon.lastPeerQuery = time.Now()
	}
	return isDue
}

// queryPeers queries some other daemons for the voters.
func (daemon *Daemon) queryPeers() {
	others := []message.Member{}
	for _, member := range daemon.Version().Table.Members {
		if member.Name != daemon.config.Name {
			others = append(others, member)
		}
	}
	shuffleMembers(others)
	for _, response := range daemon.queryLeaders(others[:min(len(others), maxQueriedPeers)]) {
		daemon.LeaderFinder.ObserveMembership(response.Membership, response.Cores)
	}
}
