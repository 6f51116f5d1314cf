package agent

import (
	"slices"
	"sync"
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// silentAfter is how long a heartbeat of the session, or a report of counts, is unanswered
// until counts are sent to another core. It is longer than a round trip between regions.
const fallbackTimeout = 300 * time.Millisecond

// maxVoterChoice spreads the daemons over the voters while the leader is silent.
const voterIndexRange = 1 << 10

// countsFlush is what the reports of counts between two heartbeats need to know of the
// session, and what was sent while that got no answer.
type countsFlush struct {
	mutex     sync.Mutex
	sentAt    time.Time // of the last heartbeat
	isPending bool      // it has no answer yet

	// Used by the reports alone.
	fallback   sentCounts
	voterIndex int // of the voters, that got the last; another one at each daemon to begin with
}

func (flush *countsFlush) heartbeatSent(at time.Time) {
	flush.mutex.Lock()
	defer flush.mutex.Unlock()
	flush.sentAt, flush.isPending = at, true
}

func (flush *countsFlush) heartbeatDone() {
	flush.mutex.Lock()
	defer flush.mutex.Unlock()
	flush.isPending = false
}

// state returns how long ago the last heartbeat began, and whether it has no answer.
func (flush *countsFlush) state() (sinceSent time.Duration, isPending bool) {
	flush.mutex.Lock()
	defer flush.mutex.Unlock()
	return time.Since(flush.sentAt), flush.isPending
}

// flushCounts reports between two heartbeats what was counted in windows since the last:
// what only this process knows is lost with it. While the leader is silent, another core
// gets the counts; whoever leads next asks it for them.
func (daemon *Daemon) flushCounts() {
	sinceSent, isPending := daemon.countsFlush.state()
	leader := daemon.LeaderFinder.Leader()
	switch {
	case isPending && sinceSent > fallbackTimeout || !leader.Known():
		daemon.flushToFallback(leader.Address)
	case !isPending && sinceSent >= daemon.intervals.UsageCount/2:
		if !daemon.flushToLeader(leader.Address) {
			daemon.flushToFallback(leader.Address)
		}
	}
}

// flushToLeader adds to what the leader got with the session, if that is where the session
// is held. It returns false if the leader does not answer.
func (daemon *Daemon) flushToLeader(leader string) bool {
	daemon.sessionLock.Lock()
	defer daemon.sessionLock.Unlock()
	return daemon.sentCounts.core != leader || daemon.sendCounts(leader, &daemon.sentCounts)
}

// flushElsewhere sends all counts to a voter that does not lead, the next one if it fails.
func (daemon *Daemon) flushToFallback(leader string) {
	voters, _ := daemon.LeaderFinder.Voters()
	voters = slices.DeleteFunc(voters, func(core string) bool { return core == leader })
	if len(voters) == 0 {
		return
	}
	flush := &daemon.countsFlush
	if !daemon.sendCounts(voters[flush.voterIndex%len(voters)], &flush.fallback) {
		flush.voterIndex++
	}
}

// sendCounts reports to a core what changed since it was sent counts last, and returns
// whether that core has everything.
func (daemon *Daemon) sendCounts(core string, sent *sentCounts) bool {
	now := daemon.Now()
	windows, base := sent.unsent(core, daemon.callbacks.windows())
	rollouts := daemon.rolloutCounts()
	if len(windows) == 0 && len(rollouts) == 0 {
		return true
	}
	request := &message.WindowCountsRequest{
		Incarnation:   daemon.incarnation,
		Windows:       windows,
		NowMs:         now,
		BaseProcess:   base,
		Rollouts:      daemon.Version().RolloutSerial,
		RolloutCounts: rollouts,
	}
	response, err := rpc.Call(daemon.client, core, message.MethodWindowCounts, fallbackTimeout, request)
	if err != nil {
		daemon.counters.Add("counts_unsent", 1)
		return false
	}
	sent.acknowledge(windows, response.Process)
	return true
}
