package agent

import (
	"slices"
	"sync"
	"time"

	"orchidjunction/message"
	"orchidjunction/rpc"
)

// fallbackTimeout is how long a session heartbeat or a count report may stay unanswered before
// counts are sent to another core. It is longer than a round trip between regions.
const fallbackTimeout = 300 * time.Millisecond

// voterIndexRange bounds the random initial voterIndex, which spreads the daemons over the
// voters while the leader is unresponsive.
const voterIndexRange = 1 << 10

// countsFlush is the state of the count reports between session heartbeats: the state of the
// last heartbeat, and the counts sent to a fallback core.
type countsFlush struct {
	mutex     sync.Mutex
	sentAt    time.Time // of the last heartbeat
	isPending bool      // the last heartbeat has no response yet

	// Accessed only by flushCounts and its callees.
	fallback   sentCounts
	voterIndex int // of the fallback core; starts at random
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

// state returns the time since the last heartbeat was sent, and whether it is unanswered.
func (flush *countsFlush) state() (sinceSent time.Duration, isPending bool) {
	flush.mutex.Lock()
	defer flush.mutex.Unlock()
	return time.Since(flush.sentAt), flush.isPending
}

// flushCounts reports new window counts between session heartbeats, so that a crash of this
// process loses few of them. While the leader is unresponsive, another core receives the
// counts; the next leader fetches them from there.
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

// flushToLeader reports counts to the leader if the session is held with it. It returns false
// if the leader does not respond.
func (daemon *Daemon) flushToLeader(leader string) bool {
	daemon.sessionLock.Lock()
	defer daemon.sessionLock.Unlock()
	return daemon.sentCounts.core != leader || daemon.sendCounts(leader, &daemon.sentCounts)
}

// flushToFallback reports counts to a voter other than the leader. If that fails, the next
// report goes to the next voter.
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

// sendCounts reports the counts that a core has not acknowledged, and returns whether the core
// has all counts afterwards.
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
