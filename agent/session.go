package agent

import (
	"maps"
	"time"

	"orchidjunction/concurrent"
	"orchidjunction/message"
	"orchidjunction/rpc"
)

// runSessions renews the session periodically. With direct sessions it also does so as soon
// as a new leader is observed or this daemon becomes ready.
func (daemon *Daemon) runSessions() {
	if !daemon.config.DirectSessions {
		daemon.goroutines.Every(concurrent.Fixed(daemon.intervals.Session), daemon.renewSession)
		return
	}
	for !daemon.goroutines.Stopping() {
		seen := daemon.LeaderFinder.leaderFound.Count()
		daemon.renewSession()
		daemon.LeaderFinder.leaderFound.Wait(seen, daemon.intervals.Session)
	}
}

// memberInfo returns the daemon's own member entry.
func (daemon *Daemon) memberInfo() message.Member {
	isReady, isKeyReplica, demand := daemon.Ready(), daemon.callbacks.isKeyReplica(), daemon.callbacks.demand()
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	return message.Member{
		Name:            daemon.config.Name,
		Kind:            daemon.config.Kind,
		Zone:            daemon.config.Zone,
		InternalAddress: daemon.config.InternalAddress,
		PublicAddress:   daemon.config.PublicAddress,
		OperatorAddress: daemon.config.OperatorAddress,
		Incarnation:     daemon.incarnation,
		Leaving:         daemon.leaving,
		Ready:           isReady && !daemon.leaving,
		KeyReplica:      isKeyReplica && !daemon.leaving,
		Demand:          demand,
		Guest:           daemon.config.Guest,
	}
}

// renewSession sends the session heartbeat to a core. If the core does not respond, the next
// heartbeat goes to another core.
func (daemon *Daemon) renewSession() {
	daemon.sessionLock.Lock()
	defer daemon.sessionLock.Unlock()
	sentAt := time.Now()
	core := daemon.sessionCore()
	session := daemon.newSession(core)
	daemon.countsFlush.heartbeatSent(sentAt)
	response, err := rpc.Call(daemon.client, core, message.MethodSession, daemon.intervals.callTimeout(), session)
	daemon.countsFlush.heartbeatDone()
	roundTrip := time.Since(sentAt)
	if err != nil {
		daemon.recordSessionFailure(core)
		return
	}
	daemon.sentCounts.acknowledge(session.Windows, response.Process)
	daemon.recordSessionResponse(core, session, response, sentAt)
	daemon.recordSerial(response.Serial)
	daemon.LeaderFinder.ObserveMembership(response.Membership, response.Cores)
	formerTerm := daemon.LeaderFinder.Leader().Term
	daemon.LeaderFinder.Observe(response.Leader)
	if response.NowMs > 0 {
		daemon.clock.AddRoundTrip(response.NowMs, roundTrip)
	}
	if daemon.config.DirectSessions {
		daemon.reconsiderWatch(core, response.Leader, formerTerm)
		daemon.catchUp(core)
	}
}

// newSession returns the heartbeat to send to a core.
func (daemon *Daemon) newSession(core string) *message.Session {
	version := daemon.Version()
	daemon.mutex.Lock()
	parent, sessionEnded := daemon.parent, daemon.sessionEnded && daemon.config.DirectSessions
	daemon.mutex.Unlock()
	now := daemon.Now()
	session := &message.Session{
		Member:        daemon.memberInfo(),
		Serial:        version.Serial,
		Table:         version.Table.Version,
		Parent:        parent,
		Probes:        daemon.callbacks.probes(),
		Usage:         daemon.callbacks.usage(),
		Routing:       version.RoutingSerial,
		Rollouts:      version.RolloutSerial,
		RolloutCounts: daemon.rolloutCounts(),
		NowMs:         now,
		Ended:         sessionEnded,
	}
	session.Windows, session.BaseProcess = daemon.sentCounts.unsent(core, daemon.callbacks.windows())
	return session
}

func (daemon *Daemon) recordSessionFailure(core string) {
	daemon.mutex.Lock()
	daemon.failedAt[core] = time.Now()
	daemon.mutex.Unlock()
	daemon.counters.Add("sessions_failed", 1)
	if daemon.config.DirectSessions {
		daemon.dropUnresponsiveCore(core)
	}
}

// recordSessionResponse records a core's response to the heartbeat sent at sentAt. With direct
// sessions or while the cores are unreachable, a core without a leader counts as failed.
func (daemon *Daemon) recordSessionResponse(core string, session *message.Session, response *message.SessionResponse, sentAt time.Time) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	daemon.lastResponseAt = time.Now()
	if response.Leader.Known() {
		daemon.connectivity.recordCoreContact(sentAt)
	} else if daemon.config.DirectSessions || daemon.connectivity.coresUnreachable() {
		daemon.failedAt[core] = time.Now()
	}
	isBehind := response.Serial > session.Serial || response.Routing > session.Routing ||
		response.Rollouts > session.Rollouts || session.Table.Less(response.Table)
	if !isBehind {
		daemon.behindSince = time.Time{}
	} else if daemon.behindSince.IsZero() {
		daemon.behindSince = time.Now()
	}
}

// sendUsage reports usage to the leader if it has changed since the last report, so that a
// crash of this process loses little of it. Session heartbeats report it too, to the session's core.
func (daemon *Daemon) sendUsage() {
	leader, usage := daemon.LeaderFinder.Leader(), daemon.callbacks.usage()
	if !leader.Known() || maps.Equal(usage, daemon.reportedUsage) {
		return
	}
	request := &message.UsageCountRequest{Incarnation: daemon.incarnation, Usage: usage}
	_, err := rpc.Call(daemon.client, leader.Address, message.MethodUsageCount, daemon.intervals.callTimeout(), request)
	if err == nil {
		daemon.reportedUsage = usage
	}
}
