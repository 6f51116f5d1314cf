package agent

import (
	"slices"
	"time"

	"orchidjunction/message"
)

const (
	// askPeersInterval is how often other daemons are asked which cores vote, while no
	// core is reached.
	peerQueryInterval = time.Second
	// maxAskedPeers is how many are asked at once.
	maxQueriedPeers = 3
)

// sessionCore returns the core to hold the session with: the leader, with direct sessions,
// and else the one that it was held with as long as that votes and answers.
func (daemon *Daemon) sessionCore() string {
	if daemon.config.DirectSessions {
		return daemon.chooseCore()
	}
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return daemon.nextCore()
}

// chooseCore returns the leader, unless it is unknown or has failed lately; then it returns
// another core, one after the other. A new leadership is tried whatever its core did before.
func (daemon *Daemon) chooseCore() string {
	leader := daemon.LeaderFinder.Leader()
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	if leader.Known() && daemon.leaderTerm.Less(leader.Term) {
		daemon.leaderTerm = leader.Term
		delete(daemon.failedAt, leader.Address)
	}
	if leader.Known() && !daemon.failedLately(leader.Address) {
		return leader.Address
	}
	return daemon.nextCore()
}

// failedLately reports whether a core or parent failed lately. The caller holds the mutex.
func (daemon *Daemon) failedLately(address string) bool {
	return time.Since(daemon.failedAt[address]) <= failedCoreTimeout
}

// nextCore returns the core that was chosen last if it votes and did not fail lately, and
// else the next voter. A seed without a vote is chosen only while all voters failed
// lately: what is reported to it may reach nobody. The caller holds the mutex.
func (daemon *Daemon) nextCore() string {
	voters, others := daemon.LeaderFinder.Voters()
	begin := max(slices.Index(voters, daemon.lastCore), 0)
	ordered := slices.Concat(voters[begin:], voters[:begin], others)
	chosen := ordered[0]
	for _, core := range ordered {
		if !daemon.failedLately(core) {
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

// shouldAskPeers reports whether to ask other daemons now which cores vote: no core is
// reached, and all that this one knows may have been replaced while it was cut off.
func (daemon *Daemon) shouldQueryPeers() bool {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	isDue := daemon.connectivity.coresUnreachable() && time.Since(daemon.lastPeerQuery) > peerQueryInterval
	if isDue {
		daemon.lastPeerQuery = time.Now()
	}
	return isDue
}

// askPeers asks some other daemons which cores vote.
func (daemon *Daemon) queryPeers() {
	others := []message.Member{}
	for _, member := range daemon.Version().Table.Members {
		if member.Name != daemon.config.Name {
			others = append(others, member)
		}
	}
	shuffle(others)
	for _, response := range daemon.queryLeaders(others[:min(len(others), maxQueriedPeers)]) {
		daemon.LeaderFinder.ObserveMembership(response.Membership, response.Cores)
	}
}
